"""Heads and bodies of requests that callers send without end."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

import pytest

from briarseam import bounded_requests
from briarseam.entry import server as entry
from briarseam.forwarding import bodies
from briarseam.forwarding import server as http
from briarseam.testing import waiting
from tests import flooding

LIMITS = bounded_requests.RequestLimits(
    head_bytes=16384, body_bytes=200_000, head_s=0.5, body_s=0.8
)
SLACK_S = 0.3
TIMEOUT_S = 10.0
GET = b"GET /x HTTP/1.1\r\nHost: h\r\n"
POST = b"POST /x HTTP/1.1\r\nHost: h\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
HEADS = {
    "request-line": (b"GET /", b"x"),
    "header-line": (GET + b"X-A: ", b"x"),
    "headers": (GET, b"X-A: b\r\n"),
    "folded-headers": (GET + b"X-A: b\r\n", b" c\r\n"),
    "no-request": (b"", b"\x00\xfe"),
}
BODIES = {
    "body": (POST + b"Content-Length: 150000\r\n\r\n", b"x"),
    "body-in-chunks": (CHUNKED, flooding.chunk(flooding.KIB)),
    "chunks-of-one-byte": (CHUNKED, flooding.chunk(b"x")),
    "chunk-size": (CHUNKED, b"0"),
    "chunk-extension": (CHUNKED + b"1;", b"x"),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: b\r\n"),
}
ALL = HEADS | BODIES


class Handler:
    """Reads bodies, and keeps what became of them."""

    def __init__(self):
        self.ended = []

    def __call__(self, exchange):
        try:
            exchange.read_body()
            self.ended.append("read")
        except bodies.BodyError as error:
            self.ended.append(type(error).__name__)
            exchange.close_after()
        exchange.answer(400, (), b"refused")


@pytest.fixture
def server():
    handler = Handler()
    server = http.Server("callers", ("127.0.0.1", 0), handler)
    bounded_requests.apply(server, LIMITS)
    server.start_serving()
    yield server
    server.stop()


@pytest.fixture
def entry_server():
    def application(environ, start_response):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        environ["wsgi.input"].read(length)
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]

    server = entry.build_server(("127.0.0.1", 0), application, 4)
    bounded_requests.apply(server, LIMITS)
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    yield server
    server.stop()


def lasting_s(server, before, piece, pace):
    """Send without end; return how long until the server closes."""
    if pace is flooding.Pace.FAST:
        piece *= max(1, 65536 // len(piece))
    begun_s = time.monotonic()
    with socket.create_connection(server.bind_addr, TIMEOUT_S) as caller:
        closed = threading.Event()

        def read():
            with contextlib.suppress(OSError):
                while caller.recv(65536):
                    pass
            closed.set()

        threading.Thread(target=read, daemon=True).start()
        with contextlib.suppress(OSError):
            caller.sendall(before)
            while not closed.is_set():
                caller.sendall(piece)
                if pace is flooding.Pace.DROPS:
                    time.sleep(flooding.DROP_PAUSE_S)
        waiting.until(closed.is_set, TIMEOUT_S)
        return time.monotonic() - begun_s


@pytest.mark.parametrize("pace", list(flooding.Pace))
@pytest.mark.parametrize("name", ALL)
def test_request_without_end_is_closed_in_time(server, name, pace):
    """Guards against callers who hold a thread, or fill the memory."""
    took_s = lasting_s(server, *ALL[name], pace)
    assert took_s <= LIMITS.head_s + LIMITS.body_s + SLACK_S
    # A body of known length ends; what follows is no request.
    is_read = (name, pace) == ("body", flooding.Pace.FAST)
    assert ("read" in server.handler.ended) == is_read


@pytest.mark.parametrize("name", HEADS)
def test_silent_head_is_closed_in_time(server, name):
    """Guards against callers who stop in the middle of a head."""
    with socket.create_connection(server.bind_addr, TIMEOUT_S) as caller:
        caller.sendall(HEADS[name][0] + HEADS[name][1])
        begun_s = time.monotonic()
        while caller.recv(65536):
            pass
        assert time.monotonic() - begun_s <= LIMITS.head_s + SLACK_S


def test_silent_body_is_closed_in_time(server):
    """Guards against callers who stop in the middle of a body."""
    with socket.create_connection(server.bind_addr, TIMEOUT_S) as caller:
        caller.sendall(BODIES["body"][0] + b"x")
        begun_s = time.monotonic()
        while caller.recv(65536):
            pass
        assert time.monotonic() - begun_s <= LIMITS.body_s + SLACK_S


def test_kept_connection_may_be_idle_for_longer_than_a_head_may_take(server):
    """Guards against closing callers between two requests."""
    with socket.create_connection(server.bind_addr, TIMEOUT_S) as caller:
        for _ in range(2):
            caller.sendall(POST + b"Content-Length: 2\r\n\r\nok")
            assert b" 400 " in caller.recv(65536)
            time.sleep(LIMITS.head_s + LIMITS.body_s)


def test_body_in_small_chunks_is_read(server):
    """Guards against a limit that counts framing as body."""
    body = 500 * flooding.chunk(b"x" * 50) + b"0\r\n\r\n"
    with socket.create_connection(server.bind_addr, TIMEOUT_S) as caller:
        caller.sendall(CHUNKED + body)
        caller.recv(65536)
    assert server.handler.ended == ["read"]


@pytest.mark.parametrize("pace", list(flooding.Pace))
@pytest.mark.parametrize("name", [*HEADS, "body"])
def test_entry_closes_requests_without_end(entry_server, name, pace):
    """Guards against the same at the project's own protocol."""
    took_s = lasting_s(entry_server, *ALL[name], pace)
    assert took_s <= LIMITS.head_s + LIMITS.body_s + SLACK_S


@pytest.mark.parametrize(
    ("chunks", "ended"),
    [(bodies.MAX_CHUNKS - 2, "read"), (bodies.MAX_CHUNKS, "BodyError")],
)
def test_body_has_a_limit_of_chunks(server, chunks, ended):
    """Guards against processor time taken by chunks of a byte."""
    with socket.create_connection(server.bind_addr, TIMEOUT_S) as caller:
        caller.sendall(CHUNKED + flooding.chunk(b"x") * chunks)
        caller.sendall(b"0\r\n\r\n")
        waiting.until(lambda: server.handler.ended, TIMEOUT_S)
    assert server.handler.ended == [ended]
