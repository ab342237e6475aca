"""Answers whose request is ended while they are being received."""

from __future__ import annotations

import socket
import threading

import pytest

from briarseam.forwarding import attempts
from briarseam.forwarding import connections
from briarseam.forwarding import supervision
from briarseam.routes import model as routes
from tests.forwarding import sending

PATIENCE_S = 10.0
# An endpoint must stop within half a second after its caller disconnects.
NOTIFIED_WITHIN_S = 0.5
END_AFTER_S = 0.1
ANSWER = b"HTTP/1.1 200 OK\r\n%s\r\n%s"
FRAMINGS = {
    "length": b"Content-Length: 10\r\n",
    "length-and-close": b"Content-Length: 10\r\nConnection: close\r\n",
    "connection-only": b"",
}
CHUNKED = b"Transfer-Encoding: chunked\r\n"


class Endpoint:
    """Sends a partial answer, then waits for the connection to close."""

    def __init__(
        self, partial_answer: bytes, watch: supervision.Watch
    ) -> None:
        self.partial_answer = partial_answer
        self.watch = watch
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(PATIENCE_S)
        self.notified = False
        self.thread = threading.Thread(target=self.run)

    @property
    def address(self) -> str:
        """Address of the listener."""
        host, port = self.listener.getsockname()[:2]
        return f"{host}:{port}"

    def run(self) -> None:
        """Answer one request."""
        connection, _ = self.listener.accept()
        with connection:
            connection.recv(65536)
            connection.sendall(self.partial_answer)
            ending = supervision.Ending.CUT_OFF
            threading.Timer(END_AFTER_S, self.watch.end, [ending]).start()
            connection.settimeout(END_AFTER_S + NOTIFIED_WITHIN_S)
            try:
                self.notified = not connection.recv(1)
            except TimeoutError:
                self.notified = False

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *exc_info):
        self.thread.join(PATIENCE_S)
        self.listener.close()


def send(endpoint, watch, exchange, repeat):
    """Send a request that is ended while its answer is received."""
    sender = attempts.Sender(connections.Pool(), sending.head_of)
    with endpoint, pytest.raises(supervision.EndedError):
        sender.send(
            sending.attempt_to(endpoint.address, watch, exchange, repeat)
        )


@pytest.mark.parametrize("framing", FRAMINGS)
def test_end_of_a_request_reaches_its_endpoint(watch, framing):
    """A leaving endpoint announces that it closes the connection and sends
    the body slowly, until the time to shut down is over.  If the end of the
    request does not reach the endpoint, the caller gets no final answer, or
    gets the partial answer as if it were complete.
    """
    exchange = sending.Exchange()
    partial_answer = ANSWER % (FRAMINGS[framing], b"first")
    endpoint = Endpoint(partial_answer, watch)
    send(endpoint, watch, exchange, routes.Repeat.ONCE)
    assert endpoint.notified
    assert exchange.sent == []


@pytest.mark.parametrize("framing", [CHUNKED, b""])
@pytest.mark.parametrize("closing", [b"", b"Connection: close\r\n"])
def test_stream_that_is_ended_does_not_look_complete(watch, framing, closing):
    """A stream that has started must not be finished like a complete one if
    its last events were not received.
    """
    event = b"id: 1\ndata: a\n\n"
    part = b"%x\r\n%s\r\n" % (len(event), event) if framing else event
    exchange = sending.Exchange()
    endpoint = Endpoint(ANSWER % (framing + closing, part), watch)
    send(endpoint, watch, exchange, routes.Repeat.STREAM)
    assert endpoint.notified
    assert exchange.sent == [event]
    assert not exchange.finished


def test_request_that_is_ended_before_it_is_sent_has_not_run(watch):
    """A request is ended while its connection is established.  Its caller
    may retry, so the request must not be reported as possibly run.
    """
    endpoint = Endpoint(b"", watch)
    attempt = sending.attempt_to(
        endpoint.address, watch, sending.Exchange(), routes.Repeat.ONCE
    )
    watch.end(supervision.Ending.CUT_OFF)
    with endpoint, pytest.raises(supervision.EndedError):
        attempts.Sender(connections.Pool(), sending.head_of).send(attempt)
    assert not attempt.progress.maybe_sent
