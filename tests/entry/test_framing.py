from __future__ import annotations

import json
import socket

import pytest

from briarseam.testing import deployment

TOKEN = deployment.token_of("north")
BODY = json.dumps(deployment.prompt_body("a prompt")).encode()
LENGTH = str(len(BODY))


def exchange(address, lines, body=b""):
    """Send raw bytes; return all bytes until the server closes."""
    host, _, port = address.rpartition(":")
    head = "\r\n".join(["POST /v1/answers HTTP/1.1", *lines, "", ""])
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.sendall(head.encode("latin-1") + body)
        sock.settimeout(5)
        data = b""
        while chunk := sock.recv(65536):
            data += chunk
    return data


def parse(data):
    """Return the status and JSON of the bytes' only response."""
    head, _, body = data.partition(b"\r\n\r\n")
    assert data.count(b"HTTP/1.1 ") == 1, data
    return int(head.split()[1]), json.loads(body)


AUTH = f"Authorization: Bearer {TOKEN}"
HOST = "Host: 127.0.0.1"
SMUGGLED = b"POST /v1/answers HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.mark.parametrize(
    "lines",
    [
        pytest.param(
            [f"Content-Length: {LENGTH}", "Content-Length: 3"],
            id="two-lengths",
        ),
        pytest.param(
            [f"Content-Length: {LENGTH}", "Transfer-Encoding: chunked"],
            id="length-and-chunks",
        ),
        pytest.param(["Transfer-Encoding: chunked"], id="chunks"),
        pytest.param(["Content-Length: +5"], id="signed-length"),
        pytest.param(["Content-Length: 0x10"], id="hex-length"),
        pytest.param(["Content-Length : 5"], id="space-before-colon"),
        pytest.param(
            [f"Content-Length: {LENGTH}", "Content_Length: 3"],
            id="underscore",
        ),
        pytest.param(
            [f"Content-Length: {LENGTH}", "X-A: 1", " folded: 2"],
            id="folded",
        ),
        pytest.param(
            [f"Content-Length: {LENGTH}", "Authorization: Bearer other"],
            id="two-tokens",
        ),
        pytest.param(
            [
                f"Content-Length: {LENGTH}",
                "Idempotency-Key: a",
                "Idempotency-Key: b",
            ],
            id="two-keys",
        ),
    ],
)
def test_ambiguous_framing_is_refused_and_the_connection_closed(
    running, lines
):
    """Guards against request smuggling: two parsers find the end of the
    request at different places, and a second one is hidden behind it.  The
    only response is a 400, nothing runs, and the second request is not read.
    """
    address = running.instances[0].address
    data = exchange(address, [HOST, AUTH, *lines], BODY + SMUGGLED)
    status, document = parse(data)
    assert status == 400
    assert document["ran"] == "no"
    assert document["reason"] == "malformed"


def test_a_body_without_length_is_refused(running):
    """A POST without Content-Length gets status 411."""
    address = running.instances[0].address
    lines = [HOST, AUTH, "Connection: close"]
    status, document = parse(exchange(address, lines))
    assert (status, document["ran"]) == (411, "no")


def test_an_oversize_body_is_refused_unread(running):
    """A body above the limit is refused by its Content-Length alone.  If
    the server read it first, to keep the connection open, a slow caller
    would occupy a thread for as long as it takes to send it.
    """
    address = running.instances[0].address
    lines = [HOST, AUTH, "Content-Length: 99999999"]
    status, document = parse(exchange(address, lines))
    assert (status, document["ran"]) == (413, "no")
    assert document["reason"] == "too-large"


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b"{", id="broken"),
        pytest.param(b"[]", id="no-object"),
        pytest.param(b"\xff\xfe", id="no-utf8"),
        pytest.param(b"", id="empty"),
    ],
)
def test_broken_json_is_refused(running, body):
    """A body that is not a JSON object is refused with a detail."""
    address = running.instances[0].address
    lines = [HOST, AUTH, f"Content-Length: {len(body)}", "Connection: close"]
    status, document = parse(exchange(address, lines, body))
    assert (status, document["ran"]) == (400, "no")
    assert document["detail"]


def test_an_unknown_path_has_a_problem_document(running):
    """An unknown path is answered by a problem document as well."""
    response = running.caller().open("GET", "/v1/nothing", None, {})
    assert response.status == 404
    assert response.headers["Content-Type"] == "application/problem+json"
    assert json.loads(response.read())["ran"] == "no"
