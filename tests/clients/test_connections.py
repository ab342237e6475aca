from __future__ import annotations

import contextlib
import errno
import select
import socket
import threading

import pytest

from briarseam import bounded_requests
from briarseam import inflight
from briarseam.clients import budget as budgets
from briarseam.forwarding import bodies
from briarseam.forwarding import server as http
from briarseam.testing import waiting

TIMEOUT_S = 10.0
REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
POST = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
CONNECTIONS = 4
LIMITS = budgets.Limits(
    CONNECTIONS * (budgets.CONNECTION_BYTES + budgets.SERVICE_BYTES + 4096),
    2 * CONNECTIONS,
)


class Served:
    """A server with a small budget.

    Attributes
    ----------
    go_on
        Requests are answered while it is set.
    reads
        Whether it reads bodies.
    """

    reads = False

    def __init__(self):
        self.go_on = threading.Event()
        self.go_on.set()
        self.in_flight = inflight.InFlight()
        self.budget = budgets.Budget(LIMITS)
        self.evicted = []
        self.budget.on_evicted = lambda: self.evicted.append(1)
        self.server = http.Server(
            "test",
            ("127.0.0.1", 0),
            self.answer,
            self.in_flight,
            budget=self.budget,
        )
        bounded_requests.apply(
            self.server, bounded_requests.RequestLimits(head_s=1.0)
        )
        self.server.start_serving()

    def answer(self, exchange):
        """Answer, as soon as the test lets it."""
        if self.reads:
            try:
                exchange.read_body()
            except bodies.BodyNotHeldError:
                exchange.close_after()
                exchange.answer(503, (), b"not run")
                return
        assert self.go_on.wait(TIMEOUT_S)
        exchange.answer(200, (), b"whole")

    def connect(self, sent=b""):
        """Return a new connection on which something was sent."""
        address = self.server.bind_addr[:2]
        client = socket.create_connection(address, timeout=TIMEOUT_S)
        client.sendall(sent)
        return client

    def fetch(self):
        """Return the answer to an ordinary request."""
        with self.connect(REQUEST) as client:
            return client.recv(4096)


@pytest.fixture
def served():
    made = Served()
    yield made
    made.go_on.set()
    made.server.stop()


def test_incomplete_heads_take_no_threads(served):
    with contextlib.ExitStack() as stack:
        for _ in range(CONNECTIONS):
            stack.enter_context(served.connect(REQUEST[:9]))
        waiting.until(lambda: served.in_flight.count == CONNECTIONS, TIMEOUT_S)
        assert not served.server.requests.workers.threads
    waiting.until(lambda: not served.in_flight.count, TIMEOUT_S)


def test_incomplete_head_is_refused_as_not_run(served):
    with served.connect(REQUEST[:9]) as client:
        assert client.recv(4096).startswith(b"HTTP/1.1 408 ")
    waiting.until(lambda: not served.in_flight.count, TIMEOUT_S)


@pytest.mark.parametrize("sent", [b"", REQUEST[:9]])
def test_oldest_connection_gives_way_to_a_new_one(served, sent):
    with contextlib.ExitStack() as stack:
        clients = [
            stack.enter_context(served.connect(sent))
            for _ in range(2 * CONNECTIONS)
        ]
        waiting.until(
            lambda: served.budget.descriptors == len(clients), TIMEOUT_S
        )

        def is_answered():
            with contextlib.suppress(ConnectionError):
                return b"whole" in served.fetch()

        waiting.until(is_answered, TIMEOUT_S)
        with contextlib.suppress(ConnectionError):
            assert clients[0].recv(4096) == b""
        assert served.evicted


def test_request_is_refused_at_once_while_all_are_served(served):
    served.go_on.clear()
    with contextlib.ExitStack() as stack:
        clients = [
            stack.enter_context(served.connect(REQUEST))
            for _ in range(CONNECTIONS)
        ]
        waiting.until(lambda: served.in_flight.count == CONNECTIONS, TIMEOUT_S)
        with contextlib.suppress(ConnectionError):
            assert served.fetch()[9:12] in (b"", b"503")
        served.go_on.set()
        for client in clients:
            assert b"whole" in client.recv(4096)
    waiting.until(lambda: not served.budget.bytes, TIMEOUT_S)
    assert not served.evicted


def test_counts_are_zero_after_all_connections(served):
    with served.connect(REQUEST * 3) as client:
        data = b""
        while data.count(b"whole") < 3:
            data += client.recv(4096)
    with served.connect(POST % 5 + b"1234"):
        pass
    waiting.until(
        lambda: not served.budget.descriptors and not served.in_flight.count,
        TIMEOUT_S,
    )
    assert served.budget.bytes == 0


def test_head_sent_ahead_in_part_gets_no_thread(served):
    """Guards against threads that wait for the rest of a second request."""
    with served.connect(REQUEST + REQUEST[:9]) as client:
        assert b"whole" in client.recv(4096)
        waiting.until(
            lambda: served.server.requests.workers.free == 1, TIMEOUT_S
        )
        # A stop that does not see it ends while the rest is read.
        assert served.in_flight.count == 1
        client.sendall(REQUEST[9:])
        assert b"whole" in client.recv(4096)


def test_server_accepts_again_after_it_had_no_descriptor(served, monkeypatch):
    """Guards against a loop that ends, or spins, when accepting fails."""
    manager = served.server.connections
    listener = manager.listener
    failures = iter([errno.EMFILE, errno.ENFILE, errno.ENOMEM])

    class Listener:
        """Fails some times."""

        def fileno(self):
            return listener.fileno()

        def accept(self):
            error = next(failures, None)
            if error is None:
                return listener.accept()
            raise OSError(error, "no descriptor")

    errors = []
    monkeypatch.setattr(
        served.server, "error_log", lambda *words, **_: errors.append(words)
    )
    monkeypatch.setattr(manager, "listener", Listener())
    assert b"whole" in served.fetch()
    assert next(failures, None) is None
    assert not errors


def test_body_that_is_not_read_is_not_the_next_request(served):
    served.server.reads_bodies = False
    with served.connect(POST % len(REQUEST) + REQUEST) as client:
        data = b""
        with contextlib.suppress(ConnectionError):
            while more := client.recv(4096):
                data += more
    assert data.count(b"whole") == 1
    assert b"Connection: close" in data


def test_caller_whose_body_gives_way_is_told_that_nothing_ran(served):
    served.reads = True
    with contextlib.ExitStack() as stack:
        clients = [
            stack.enter_context(served.connect(POST % 100 + b"some"))
            for _ in range(CONNECTIONS)
        ]
        waiting.until(
            lambda: len(served.budget.waiting[budgets.State.BODY]) >= 2,
            TIMEOUT_S,
        )

        def is_answered():
            with contextlib.suppress(ConnectionError):
                return b"whole" in served.fetch()

        waiting.until(is_answered, TIMEOUT_S)
        told = [
            client.recv(4096)
            for client in clients
            if select.select([client], [], [], 0)[0]
        ]
    assert any(b"503" in answer for answer in told)


def test_readable_connection_without_bytes_is_not_in_flight(served):
    """Guards against a stop that waits for a request that never began."""
    manager = served.server.connections
    with served.connect() as client:
        waiting.until(lambda: manager.waiting, TIMEOUT_S)
        (connection,) = manager.waiting.values()
        manager.handle(connection)
        assert not served.in_flight.count
        client.sendall(REQUEST)
        assert b"whole" in client.recv(4096)
