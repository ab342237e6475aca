from __future__ import annotations

import json
import socket

import pytest

from briarseam.testing import deployment

TOKEN = deployment.token_of("north")
BODY = json.dumps(deployment.prompt_body("a prompt")).encode()
LENGTH = str(len(BODY))


def exchange(address, lines, body=b""):
    """Send raw bytes; return everything until the server closes."""
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
    """Return status and JSON of the only response in the bytes."""
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
    """Somebody sends a request whose end two parsers would see at
    different places, with a second request hidden behind it.  One clear
    400 comes back, nothing ran, and the hidden request is never read.
    """
    address = running.instances[0].address
    data = exchange(address, [HOST, AUTH, *lines], BODY + SMUGGLED)
    status, document = parse(data)
    assert status == 400
    assert document["ran"] == "no"
    assert document["reason"] == "malformed"


def test_a_body_without_length_is_refused(running):
    """A caller sends a POST without Content-Length; it is told so."""
    address = running.instances[0].address
    lines = [HOST, AUTH, "Connection: close"]
    status, document = parse(exchange(address, lines))
    assert (status, document["ran"]) == (411, "no")


def test_an_oversize_body_is_refused_unread(running):
    """A caller announces more than the settings allow and is slow to send
    it.  The refusal comes at once: a server that first read the body, to
    keep the connection, would hold a thread for as long as it takes.
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
    """A caller's body is no JSON object; the refusal says what is wrong."""
    address = running.instances[0].address
    lines = [HOST, AUTH, f"Content-Length: {len(body)}", "Connection: close"]
    status, document = parse(exchange(address, lines, body))
    assert (status, document["ran"]) == (400, "no")
    assert document["detail"]


def test_an_unknown_path_has_a_problem_document(running):
    """A caller mistypes a path and gets a problem document all the same."""
    response = running.caller().open("GET", "/v1/nothing", None, {})
    assert response.status == 404
    assert response.headers["Content-Type"] == "application/problem+json"
    assert json.loads(response.read())["ran"] == "no"
