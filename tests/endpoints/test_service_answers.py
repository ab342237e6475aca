"""Answers of plain services that are not whole."""

from __future__ import annotations

import socket
import threading

import pytest

from briarseam.endpoints import engine
from briarseam.endpoints import service

PATIENCE_S = 10.0
REQUEST_BODY = b'{"certificate": 7}'
BODY = b'{"filed": true}'
LENGTH = b"Content-Length: %d\r\n" % len(BODY)
CHUNKED = b"Transfer-Encoding: chunked\r\n"


def answer(listener, headers, body):
    """Answer one call and close the connection.

    A connection that is closed with bytes unread is reset.
    """
    connection, _ = listener.accept()
    with connection:
        received = b""
        while not received.endswith(REQUEST_BODY):
            received += connection.recv(65536)
        connection.sendall(b"HTTP/1.1 200 OK\r\n" + headers + b"\r\n" + body)


def call(headers, body):
    """Return a service's answer to a call."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()[:2]
        thread = threading.Thread(
            target=answer, args=(listener, headers, body)
        )
        thread.start()
        try:
            return service.ServiceClient().call(
                f"{host}:{port}", "file", "run-1", REQUEST_BODY, PATIENCE_S
            )
        finally:
            thread.join(PATIENCE_S)


@pytest.mark.parametrize(
    ("headers", "body"),
    [
        pytest.param(b"", BODY, id="neither-length-nor-chunks"),
        pytest.param(b"", b"", id="empty"),
        pytest.param(LENGTH, BODY[:5], id="short-of-its-length"),
        pytest.param(CHUNKED, b"5\r\n" + BODY[:5] + b"\r\n", id="last-chunk"),
        pytest.param(
            b"Content-Length: %d\r\n" % (service.MAX_ANSWER_BYTES + 1),
            b"x" * (service.MAX_ANSWER_BYTES + 1),
            id="too-long",
        ),
    ],
)
def test_answer_that_may_be_truncated_is_lost(headers, body):
    """Guards against a part of an answer that is delivered as a whole."""
    with pytest.raises(engine.LostError):
        call(headers, body)


def test_whole_answer_is_returned():
    assert call(LENGTH, BODY).body == BODY
    assert call(CHUNKED, b"f\r\n" + BODY + b"\r\n0\r\n\r\n").body == BODY
