"""Requests of an HTTP server that counts them."""

from __future__ import annotations

import contextlib
import socket

import pytest

from briarseam import inflight
from briarseam.forwarding import server as http
from briarseam.testing import ports
from briarseam.testing import waiting

PATIENCE_S = 10.0
REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


class NotedInFlight(inflight.InFlight):
    """Remembers how often it was entered."""

    def __init__(self) -> None:
        super().__init__()
        self.entered = 0

    def enter(self) -> bool:
        """Count in."""
        self.entered += 1
        return super().enter()


class Served:
    """A server, its count, and what it answered."""

    def __init__(self) -> None:
        self.in_flight = NotedInFlight()
        self.counts: list[int] = []
        (port,) = ports.free_ports(1)
        self.server = http.Server(
            "test", ("127.0.0.1", port), self.handle, self.in_flight
        )
        self.server.start_serving()

    def handle(self, exchange: http.Exchange) -> None:
        """Answer, and note how many requests are in flight."""
        self.counts.append(self.in_flight.count)
        exchange.answer(200, (), b"whole")

    def connect(self) -> socket.socket:
        """Return a new connection."""
        return socket.create_connection(
            self.server.bind_addr[:2], timeout=PATIENCE_S
        )


@pytest.fixture
def served():
    made = Served()
    yield made
    made.server.stop()


def read_answers(sock, count=1):
    """Read so many answers."""
    data = b""
    while data.count(b"whole") < count:
        more = sock.recv(4096)
        if not more:
            raise AssertionError(f"only {data!r}")
        data += more


def test_connection_that_sends_nothing_is_not_in_flight(served):
    """Callers connect ahead of their requests.  Counted as requests, they
    would hold up each stop until its bound.
    """
    with served.connect(), served.connect() as second:
        second.sendall(REQUEST)
        read_answers(second)
        waiting.until(lambda: served.in_flight.count == 0, PATIENCE_S)
    assert served.counts == [1]


def test_first_byte_of_a_request_counts(served):
    """A caller sends the beginning of a request and pauses.  A stop that
    does not see it ends while the rest is read.
    """
    with served.connect() as sock:
        sock.sendall(REQUEST[:1])
        waiting.until(lambda: served.in_flight.count == 1, PATIENCE_S)
        sock.sendall(REQUEST[1:])
        read_answers(sock)
        waiting.until(lambda: served.in_flight.count == 0, PATIENCE_S)


def test_request_that_was_sent_ahead_is_answered_in_the_same_count(served):
    """Two requests come in one packet.  The second has been read with the
    first, so a stop between the two would lose it.
    """
    with served.connect() as sock:
        sock.sendall(REQUEST * 2)
        read_answers(sock, 2)
        # Before the connection ends, which is looked at like a request.
        assert served.in_flight.entered == 1
    assert served.counts == [1, 1]


def test_nothing_is_read_once_closed(served):
    """A process is about to end; a request is left to its caller unread."""
    with served.connect() as new, served.connect() as kept:
        kept.sendall(REQUEST)
        read_answers(kept)
        waiting.until(lambda: served.in_flight.close(0.0), PATIENCE_S)
        for sock in (new, kept):
            sock.sendall(REQUEST)
            with contextlib.suppress(ConnectionResetError):
                assert sock.recv(1) == b""
    assert len(served.counts) == 1
