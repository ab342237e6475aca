"""The loop that accepts connections and reads heads.

It takes the place of cheroot's, in which each connection whose request has
begun has a thread, and which fails when there are no more descriptors.
"""

from __future__ import annotations

import errno
import functools
import queue
import select
import socket
import time
import typing

import structlog

from briarseam import bounded_requests
from briarseam import clocks
from briarseam.clients import budget as budgets

if typing.TYPE_CHECKING:
    from briarseam import inflight
    from briarseam.clients import connection as connection_types

POLL_S = 0.5
ACCEPT_AT_ONCE = 16
# How long no connection is accepted if there is no descriptor for it.
ACCEPT_PAUSE_S = 0.05
ONE_SHOT = select.EPOLLIN | select.EPOLLONESHOT
# There is no memory or descriptor for a connection just now.
EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# Repeated by its client after some time: nothing of the request has run.
OVERLOADED = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Retry-After: 1\r\n"
    b"Content-Length: 0\r\n"
    b"Connection: close\r\n\r\n"
)
TIMED_OUT = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"Content-Length: 0\r\n"
    b"Connection: close\r\n\r\n"
)
log = structlog.get_logger("briarseam.clients")


class ConnectionManager:
    """Accepts connections, and hands those over that have sent a head.

    Cheroot's server takes it in place of its own.

    Parameters
    ----------
    owner
        The server, bound and listening.
    budget
        Counts what connections make the process hold.
    in_flight
        Counts requests from their first byte, and keeps them out when the
        process ends; none if nobody waits for them.
    """

    def __init__(
        self,
        owner: typing.Any,
        budget: budgets.Budget,
        in_flight: inflight.InFlight | None = None,
    ) -> None:
        self.server = owner
        self.budget = budget
        self.in_flight = in_flight
        self.is_running = False
        self.is_stopping = False
        # Those that no thread serves, by descriptor.
        self.waiting: dict[int, connection_types.Connection] = {}
        self.accept_again_s: float | None = None
        self.expire_again_s = 0.0
        self.poller = select.epoll()
        self.listener: socket.socket = owner.socket
        self.listener.setblocking(False)
        self.poller.register(self.listener.fileno(), select.EPOLLIN)

    # These are called by cheroot.

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Whether a connection may be kept: it may have to give way later."""
        return True

    def run(self, _interval_s: float) -> None:
        """Watch connections until stopped."""
        self.is_running = True
        try:
            while not self.is_stopping:
                self.run_once()
        finally:
            self.is_running = False

    def put(self, connection: connection_types.Connection) -> None:
        """Take a connection back whose request was answered.

        Raises
        ------
        ValueError
            If the server has stopped.
        """
        account, reader = connection.account, connection.rfile
        connection.last_used = clocks.boot_clock()
        size = budgets.CONNECTION_BYTES + len(reader.buffer)
        self.budget.settle(account, size, 1)
        if not reader.has_data():
            self.leave(connection)
            self.budget.move(account, budgets.State.IDLE)
            self.watch(connection)
            return
        bounded_requests.begin_head(connection.meter, self.server.limits)
        connection.meter.begun_s = connection.last_used
        if self.has_head(connection):
            self.hand_over(connection)
            return
        self.budget.move(account, budgets.State.HEAD)
        self.watch(connection)

    def begin_next(self, connection: connection_types.Connection) -> None:
        """Begin another request, whose head is there, in the same thread."""
        account = connection.account
        size = budgets.CONNECTION_BYTES + budgets.SERVICE_BYTES
        self.budget.settle(account, size, account.descriptors)
        self.budget.force(account, connection.rfile.weight())
        bounded_requests.begin_head(connection.meter, self.server.limits)

    def stop(self) -> None:
        """Stop to watch connections, and wait for that."""
        self.is_stopping = True
        while self.is_running:
            time.sleep(0.01)

    def close(self) -> None:
        """Close all connections that no thread serves."""
        for connection in list(self.waiting.values()):
            self.drop(connection)
        self.poller.close()

    # These are called by the loop.

    def run_once(self) -> None:
        """Wait for events once and handle them."""
        poll_s = POLL_S
        if self.accept_again_s is not None:
            poll_s = ACCEPT_PAUSE_S
        events = self.poller.poll(poll_s)
        listening = self.listener.fileno()
        is_called = False
        for descriptor, _event in events:
            if descriptor == listening:
                is_called = True
                continue
            connection = self.waiting.get(descriptor)
            if connection is not None:
                self.handle(connection)
        if is_called:
            self.accept_some()
        self.resume_accepting()
        self.expire()

    def accept_some(self) -> None:
        """Accept the connections that wait, some at a time."""
        for _ in range(ACCEPT_AT_ONCE):
            try:
                sock, address = self.listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in EXHAUSTED:
                    self.pause_accepting(error)
                # Otherwise the client has left already.
                return
            self.add(sock, address)

    def pause_accepting(self, error: OSError) -> None:
        """Accept nothing for a moment: the listener would stay ready."""
        log.warning(
            "accept_failed", server=self.server.name, detail=str(error)
        )
        self.poller.unregister(self.listener.fileno())
        self.accept_again_s = clocks.boot_clock() + ACCEPT_PAUSE_S

    def resume_accepting(self) -> None:
        """Accept again after a pause."""
        again_s = self.accept_again_s
        if again_s is not None and clocks.boot_clock() >= again_s:
            self.accept_again_s = None
            self.poller.register(self.listener.fileno(), select.EPOLLIN)

    def add(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """Watch a new connection, if there is room for it."""
        account = budgets.Account()
        account.interrupt = functools.partial(interrupt, sock, account)
        if not self.budget.add(account, budgets.CONNECTION_BYTES, 1):
            # Its client knows that nothing was read.
            sock.close()
            return
        sock.settimeout(self.server.timeout)
        connection = self.server.ConnectionClass(self.server, sock, account)
        connection.remote_addr, connection.remote_port = address[:2]
        connection.last_used = clocks.boot_clock()
        self.budget.move(account, budgets.State.SILENT)
        self.waiting[sock.fileno()] = connection
        self.poller.register(sock.fileno(), ONE_SHOT)

    def watch(self, connection: connection_types.Connection) -> None:
        """Wait for the next bytes of a connection."""
        descriptor = connection.socket.fileno()
        self.waiting[descriptor] = connection
        self.poller.modify(descriptor, ONE_SHOT)

    def handle(self, connection: connection_types.Connection) -> None:
        """Read what a connection has sent; hand it over with a whole head."""
        if not connection.has_entered and not self.enter(connection):
            # Nothing of a request was read, so its client may ask again.
            self.drop(connection)
            return
        reader = connection.rfile
        before = len(reader.buffer)
        try:
            has_arrived = reader.receive()
        except OSError:
            self.drop(connection)
            return
        if not has_arrived:
            if not reader.buffer:
                self.leave(connection)
            self.watch(connection)
            return
        if not reader.buffer:
            self.drop(connection)
            return
        if self.has_head(connection):
            self.hand_over(connection)
            return
        account = connection.account
        if account.state is not budgets.State.HEAD:
            self.budget.move(account, budgets.State.HEAD)
        if self.budget.add(account, len(reader.buffer) - before):
            self.watch(connection)
        else:
            self.refuse(connection, OVERLOADED)

    def has_head(self, connection: connection_types.Connection) -> bool:
        """Return whether a thread need not wait for a connection's head."""
        return connection.rfile.has_head(self.server.limits.head_bytes)

    def hand_over(self, connection: connection_types.Connection) -> None:
        """Have a connection's request answered by a thread."""
        self.waiting.pop(connection.socket.fileno(), None)
        size = budgets.SERVICE_BYTES + connection.rfile.weight()
        if not self.budget.add(connection.account, size, 1):
            self.refuse(connection, OVERLOADED)
            return
        self.budget.move(connection.account, budgets.State.SERVING)
        try:
            self.server.requests.put(connection)
        except queue.Full:
            self.refuse(connection, OVERLOADED)

    def refuse(
        self, connection: connection_types.Connection, answer: bytes
    ) -> None:
        """Refuse a request whose body was not read, and close."""
        try:
            connection.socket.send(answer)
        except OSError as error:
            log.debug("client_gone", detail=str(error))
        self.drop(connection)

    def drop(self, connection: connection_types.Connection) -> None:
        """Close a connection that no thread serves."""
        self.waiting.pop(connection.socket.fileno(), None)
        self.leave(connection)
        connection.close()

    def enter(self, connection: connection_types.Connection) -> bool:
        """Count a request, from before its first byte is read."""
        if self.in_flight is not None and not self.in_flight.enter():
            return False
        connection.has_entered = True
        bounded_requests.begin_head(connection.meter, self.server.limits)
        return True

    def leave(self, connection: connection_types.Connection) -> None:
        """Count a request out, if it was counted."""
        if connection.has_entered:
            connection.has_entered = False
            if self.in_flight is not None:
                self.in_flight.leave()

    def expire(self) -> None:
        """Close connections that were idle, or within a head, for too long."""
        now_s = clocks.boot_clock()
        if now_s < self.expire_again_s:
            return
        self.expire_again_s = now_s + POLL_S
        idle_since_s = now_s - self.server.timeout
        for connection in self.waiting.copy().values():
            if connection.has_entered:
                if connection.meter.wait_s() <= 0:
                    self.refuse(connection, TIMED_OUT)
            elif connection.last_used < idle_since_s:
                self.drop(connection)


def interrupt(sock: socket.socket, account: budgets.Account) -> None:
    """Wake whoever waits for a connection that gives way.

    A caller whose body gives way is still told that nothing has run.  One who
    does not read is reset by the writer: an orderly end would make an answer
    of unknown length look complete.
    """
    is_served = account.state in (budgets.State.BODY, budgets.State.STALLED)
    sock.shutdown(socket.SHUT_RD if is_served else socket.SHUT_RDWR)
