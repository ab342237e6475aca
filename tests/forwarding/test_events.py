from __future__ import annotations

import re

import hypothesis
from hypothesis import strategies
import pytest

from briarseam.forwarding import events

BOM = b"\xef\xbb\xbf"


def split(data):
    """Return the bytes of complete events, and the remaining bytes."""
    splitter = events.Splitter()
    complete = splitter.feed(data)
    return b"".join(event.raw for event in complete), splitter.remainder


def ids(data):
    """Return the ids of complete events."""
    return [event.id for event in events.Splitter().feed(data)]


def is_inside_event(data):
    """Return whether a stream that ends so ends inside an event."""
    splitter = events.Splitter()
    splitter.feed(data)
    return splitter.is_inside_event()


@pytest.mark.parametrize(
    ("data", "complete", "remainder"),
    [
        pytest.param(b"", b"", b"", id="empty"),
        pytest.param(b"id: 1\nda", b"", b"id: 1\nda", id="partial"),
        pytest.param(b"id: 1\n\n", b"id: 1\n\n", b"", id="one"),
        pytest.param(
            b"id: 1\n\nid: 2\n\nid",
            b"id: 1\n\nid: 2\n\n",
            b"id",
            id="two-and-partial",
        ),
        pytest.param(b"id: 1\r\n\r\nid", b"id: 1\r\n\r\n", b"id", id="crlf"),
        pytest.param(b"id: 1\r\rid", b"id: 1\r\r", b"id", id="cr"),
        pytest.param(b"id: 1\n\rid", b"id: 1\n\r", b"id", id="lf-cr"),
        pytest.param(b"id: 1\r\n", b"", b"id: 1\r\n", id="one-crlf"),
    ],
)
def test_streams_are_split_at_event_boundaries(data, complete, remainder):
    assert split(data) == (complete, remainder)


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        pytest.param(b"id: 1\ndata: x\n\nid:2\n\n", ["1", "2"], id="two"),
        pytest.param(b"id: 1\n\ndata: y\n\n", ["1", None], id="without-id"),
        pytest.param(b"data: id: 3\n\n", [None], id="only-in-data"),
        pytest.param(b"id\ndata: x\n\n", [""], id="empty"),
        pytest.param(b"id: a\0b\n\n", [None], id="null-character"),
        pytest.param(BOM + b"id: 1\r\n\r\n", ["1"], id="byte-order-mark"),
        pytest.param(b": id: 3\n\n", [None], id="only-in-comment"),
    ],
)
def test_ids_of_events_are_found(data, expected):
    assert ids(data) == expected


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        pytest.param(b"", False, id="empty"),
        pytest.param(BOM, False, id="byte-order-mark"),
        pytest.param(b"data: x\n\n", False, id="after-event"),
        pytest.param(b"data: x\r\n\r\n", False, id="after-crlf"),
        pytest.param(b"data: x\r\r", False, id="after-cr"),
        pytest.param(b"\r", False, id="only-cr"),
        pytest.param(b"data: x\r\n\r", True, id="inside-crlf"),
        pytest.param(b"data: x\n\ndata: x\r\n\r", False, id="mixed-cr"),
        pytest.param(b"data: x\n\n: kept alive\n", False, id="comment"),
        pytest.param(b"data: x\n\n: c\r", False, id="comment-cr"),
        pytest.param(b"data: x\n\n\r\n", False, id="more-empty-lines"),
        pytest.param(b"data: x\n", True, id="one-newline-short"),
        pytest.param(b"data: x\r\n", True, id="one-crlf-short"),
        pytest.param(b"data: x\n\ndat", True, id="in-field"),
        pytest.param(b"data: x\n: kept alive\n", True, id="comment-in-event"),
        pytest.param(b"data: x\n\n: kep", True, id="in-comment"),
    ],
)
def test_end_inside_an_event_is_noticed(data, expected):
    assert is_inside_event(data) is expected


def test_crlf_in_two_reads_does_not_end_an_event():
    splitter = events.Splitter()
    assert splitter.feed(b"id: 1\r") == []
    assert splitter.feed(b"\ndata: x\r\n\r") == [
        events.Event(b"id: 1\r\ndata: x\r\n\r", "1", has_data=True)
    ]
    assert splitter.feed(b"\ndata: y\r\n\r\n")[-1].has_data
    assert not splitter.is_inside_event()


def parse(stream: bytes) -> tuple[list[tuple[bytes, bytes]], bool]:
    """Return ids and data of a stream's events, by the format's definition.

    Also returns whether fields without the empty line that ends their event
    are left, or the last line end is half a CRLF in a stream without others.
    """
    text = stream.removeprefix(BOM)
    lines = re.split(rb"\r\n|\n|\r", text)
    unfinished = lines.pop()
    found, data, last_id, pending = [], [], b"", False
    ends = re.findall(rb"\r\n|\n|\r", text)
    is_crlf = b"\r\n" in ends and set(ends[:-1]) == {b"\r\n"}
    in_line_end = is_crlf and text.endswith(b"\r") and not lines[-1]
    for line in lines:
        if not line:
            if data:
                found.append((last_id, b"\n".join(data)))
            data, pending = [], False
            continue
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        pending = pending or bool(name)
        if name == b"data":
            data.append(value)
        elif name == b"id" and b"\0" not in value:
            last_id = value
    return found, bool(unfinished) or pending or in_line_end


line_ends = strategies.sampled_from([b"\n", b"\r\n", b"\r"])
line_contents = strategies.sampled_from(
    [b"", b"", b"id: 7", b"id", b"data: x", b"data", b": c", b"retry: 1"]
)
streams = strategies.builds(
    lambda mark, lines, cut: (mark + b"".join(lines))[: cut or None],
    strategies.sampled_from([b"", BOM]),
    strategies.lists(
        strategies.builds(
            lambda content, end: content + end, line_contents, line_ends
        ),
        max_size=12,
    ),
    strategies.integers(-3, 0),
)


@hypothesis.settings(max_examples=1000)
@hypothesis.given(
    stream=streams, cuts=strategies.lists(strategies.integers(0, 80))
)
def test_any_stream_in_any_reads_is_split_as_its_format_says(stream, cuts):
    """Guards against reads that end inside a line end or a field."""
    bounds = [0, *sorted(min(cut, len(stream)) for cut in cuts), len(stream)]
    splitter = events.Splitter()
    found = []
    for start, end in zip(bounds, bounds[1:], strict=False):
        found += splitter.feed(stream[start:end])
    complete = b"".join(event.raw for event in found)
    assert complete + splitter.remainder == stream
    expected, inside = parse(stream)
    assert parse(complete)[0] == expected
    assert sum(event.has_data for event in found) == len(expected)
    assert splitter.is_inside_event() == inside
