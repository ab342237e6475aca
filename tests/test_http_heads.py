"""The grammar of heads, line by line."""

from __future__ import annotations

import io

import hypothesis
from hypothesis import strategies
import pytest

from briarseam import http_heads
from tests import broken_answers

Fault = http_heads.Fault
# A quadratic match of a line this long would take minutes.
LONG = 65_000


def read(data):
    """Read a head and its framing, as for a GET."""
    head = http_heads.read_answer_head(io.BytesIO(data))
    return head, http_heads.framing_of(head, "GET")


@pytest.mark.parametrize("name", broken_answers.HEADS)
def test_broken_head_is_refused(name):
    reader = io.BytesIO(broken_answers.HEADS[name].encode())
    with pytest.raises(http_heads.MalformedAnswerError):
        for _interim in range(2):
            head = http_heads.read_answer_head(reader)
            http_heads.framing_of(head, "GET")


@pytest.mark.parametrize("name", broken_answers.SOUND)
def test_sound_head_is_read(name):
    data = broken_answers.SOUND[name].encode()
    head, _framing = read(data[data.rindex(b"HTTP/1.") :])
    assert head.status == 200
    assert head.values("response-signature") == ["s"]


@pytest.mark.parametrize(
    ("fields", "fault"),
    [
        (b"X-Note\r\n", Fault.FIELD),
        (b"A: b\r\n" * (http_heads.MAX_FIELDS + 1), Fault.TOO_MANY_FIELDS),
        (b"Content-Length: x\r\n", Fault.LENGTH),
        (b"Transfer-Encoding: x\r\n", Fault.CODING),
        (
            broken_answers.CHUNKED + b"Content-Length: 5\r\n",
            Fault.LENGTH_AND_CODING,
        ),
    ],
)
def test_error_names_the_fault(fields, fault):
    with pytest.raises(http_heads.MalformedAnswerError) as raised:
        read(b"HTTP/1.1 200 OK\r\n" + fields + b"\r\n")
    assert raised.value.fault is fault
    assert str(raised.value) == f"malformed {fault}"


@pytest.mark.parametrize("status", [b"204", b"304"])
def test_answer_without_a_body_ends_with_its_head(status):
    _head, framing = read(
        b"HTTP/1.1 " + status + b" \r\n" + broken_answers.CHUNKED + b"\r\n"
    )
    assert framing == http_heads.Framing(length=0)


@pytest.mark.parametrize(
    ("start", "fields", "expected"),
    [
        (b"HTTP/1.1 200", b"", True),
        (b"HTTP/1.1 200", b"Connection: x, Close\r\n", False),
        (b"HTTP/1.1 200", b"Connection: x\r\nConnection: close\r\n", False),
        (b"HTTP/1.1 200", b"Connection: disclosed\r\n", True),
        (b"HTTP/1.0 200", b"", False),
        (b"HTTP/1.0 200", b"Connection: Keep-Alive\r\n", True),
        (b"HTTP/1.0 200", b"Keep-Alive: timeout=5\r\n", False),
    ],
)
def test_connection_stays_open_only_if_both_sides_know(
    start, fields, expected
):
    length = b"Content-Length: 5\r\n"
    head, framing = read(start + b"\r\n" + length + fields + b"\r\n")
    assert http_heads.stays_open(head, framing) is expected
    head, framing = read(start + b"\r\n" + fields + b"\r\n")
    assert not http_heads.stays_open(head, framing)


@pytest.mark.parametrize(
    "line",
    [
        b"X:" + b" " * LONG + b"\0\r\n",
        b"X" * LONG + b"\r\n",
        b"X: " + b"a " * (LONG // 2) + b"\r\r\n",
        b"Content-Length: " + b"1," * (LONG // 2) + b"\r\n",
    ],
)
def test_long_malformed_line_takes_linear_time(line):
    """Guards against heads that take a processor for minutes."""
    with pytest.raises(http_heads.MalformedAnswerError):
        read(b"HTTP/1.1 200 OK\r\n" + line + b"\r\n")


@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_are_a_head_or_an_error(data):
    lines = io.BytesIO(b"HTTP/1.1 200 OK\r\n" + data + b"\r\n\r\n")
    try:
        head = http_heads.read_answer_head(lines)
        framing = http_heads.framing_of(head, "GET")
    except http_heads.MalformedAnswerError:
        return
    http_heads.stays_open(head, framing)
    for name, value in head.fields:
        assert http_heads.is_field(name, value)


@hypothesis.given(strategies.text(max_size=20), strategies.text(max_size=20))
def test_field_that_is_written_is_read_as_the_same(name, value):
    """Guards against a writing that this reading would refuse."""
    if not http_heads.is_field(name, value):
        with pytest.raises(http_heads.MalformedFieldError):
            http_heads.check_fields([(name, value)])
        return
    line = f"{name}: {value}\r\n\r\n".encode("latin-1")
    expected = (name, value.strip(http_heads.BLANKS))
    assert http_heads.read_fields(io.BytesIO(line)) == [expected]
