"""Client for calls to one process over a pool of connections."""

from __future__ import annotations

import socket
import threading

from briarseam.wire import codec
from briarseam.wire import connection as connections
from briarseam.wire import hello

CONNECT_TIMEOUT_S = 2.0
DEFAULT_MAX_IDLE = 32


class NotSentError(connections.WireError):
    """The message was not sent, so the server never received it."""


class CallLostError(connections.WireError):
    """The message was sent but no reply was received."""


def connect(
    address: str,
    identity: connections.Identity,
    key: bytes,
    timeout_s: float = CONNECT_TIMEOUT_S,
    clock: connections.Clock | None = None,
) -> connections.Connection:
    """Open an authenticated connection.

    Parameters
    ----------
    address
        ``ip:port`` of the server.
    identity
        Identity of this process.
    key
        The shared key.
    timeout_s
        Timeout of the connect and of each receive of the handshake, in
        seconds.
    clock
        Stamps the frames after the handshake.

    Raises
    ------
    NotSentError
        When the connection or its handshake fails.
    """
    try:
        sock = socket.create_connection(
            connections.parse_address(address), timeout_s
        )
    except (OSError, ValueError) as error:
        raise NotSentError(f"cannot connect to {address}: {error}") from error
    connection = connections.Connection(sock)
    try:
        hello.client_handshake(connection, identity, key, timeout_s)
    except connections.WireError as error:
        connection.close()
        raise NotSentError(
            f"handshake with {address} failed: {error}"
        ) from error
    connection.clock = clock
    return connection


class Client:
    """Makes calls to one process, with one connection per call in progress.

    Parameters
    ----------
    address
        ``ip:port`` of the server.
    identity
        Identity of this process.
    key
        The shared key.
    max_idle
        Maximum number of idle connections in the pool.
    clock
        Stamps the frames; ``None`` sends them with stamp 0.
    observer
        Notified of every request and its reply.
    """

    def __init__(
        self,
        address: str,
        identity: connections.Identity,
        key: bytes,
        max_idle: int = DEFAULT_MAX_IDLE,
        clock: connections.Clock | None = None,
        observer: connections.Observer | None = None,
    ) -> None:
        self.observer = observer
        self.address = address
        self.identity = identity
        self.key = key
        self.max_idle = max_idle
        self.clock = clock
        self.idle: list[connections.Connection] = []
        self.lock = threading.Lock()
        self.bytes_sent = 0
        self.bytes_received = 0

    def call(self, request: codec.Message, timeout_s: float) -> codec.Message:
        """Send ``request`` and return the reply.

        Parameters
        ----------
        request
            A registered message.
        timeout_s
            Timeout of the reply, in seconds; opening a new connection first
            may take as long again.

        Raises
        ------
        NotSentError
            When the server did not receive the message.
        CallLostError
            When the server may have received the message.
        """
        if self.observer is None:
            return self.exchange(request, timeout_s)
        self.observer.on_request(request)
        try:
            reply = self.exchange(request, timeout_s)
        except connections.WireError as error:
            failed = codec.Failed("lost", str(error))
            self.observer.on_reply(request, failed)
            raise
        self.observer.on_reply(request, reply)
        return reply

    def exchange(
        self, request: codec.Message, timeout_s: float
    ) -> codec.Message:
        """Send a request and return its reply, without the observer."""
        connection = self.acquire(timeout_s)
        connection.set_timeout(timeout_s)
        sent = connection.bytes_sent
        received = connection.bytes_received
        try:
            connection.send(request)
            reply = connection.receive()
        except codec.CodecError as error:
            self.release(connection)
            raise NotSentError(str(error)) from error
        except connections.WireError as error:
            connection.close()
            raise CallLostError(f"{self.address}: {error}") from error
        with self.lock:
            self.bytes_sent += connection.bytes_sent - sent
            self.bytes_received += connection.bytes_received - received
        self.release(connection)
        return reply

    def acquire(
        self, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> connections.Connection:
        """Return an open idle connection from the pool, or a new one."""
        # The kernel accepts connections for a frozen server: without the
        # timeout of the call, a handshake would block a call of 0.5 s for
        # CONNECT_TIMEOUT_S.
        bound_s = min(timeout_s, CONNECT_TIMEOUT_S)
        while True:
            with self.lock:
                candidate = self.idle.pop() if self.idle else None
            if candidate is None:
                return connect(
                    self.address, self.identity, self.key, bound_s, self.clock
                )
            if is_open(candidate):
                return candidate
            candidate.close()

    def release(self, connection: connections.Connection) -> None:
        """Return a connection to the pool, or close it if the pool is full."""
        with self.lock:
            if len(self.idle) < self.max_idle:
                self.idle.append(connection)
                return
        connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        with self.lock:
            idle, self.idle = self.idle, []
        for connection in idle:
            connection.close()


def is_open(connection: connections.Connection) -> bool:
    """Return whether an idle connection is still usable.

    The server sends nothing between calls, so a readable socket has reached
    the end of the stream.
    """
    try:
        connection.sock.settimeout(0)
        connection.sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
