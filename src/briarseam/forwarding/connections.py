"""Pool of connections to endpoints."""

from __future__ import annotations

import collections
import dataclasses
import select
import threading
import typing

import urllib3.exceptions

from briarseam import bounded_http
from briarseam import clocks
from briarseam import sockets

# A handshake between availability zones takes 3 ms.  If an endpoint drops
# one because its backlog is full, the kernel repeats it only after a second,
# too late for most requests, so another endpoint is tried instead.
CONNECT_TIMEOUT_S = 0.4
# An endpoint closes idle connections after its own timeout.  A request that
# is sent at this moment is lost, and cannot be sent again if it must not run
# twice.  So reuse stops this long before the timeout.
REUSE_MARGIN_S = 1.0
# For endpoints that do not send a keep-alive timeout.
DEFAULT_IDLE_S = 4.0
# Whoever reads a body knows what it may be.
LIMITS = bounded_http.Limits(body_bytes=None)


class UnreachableError(Exception):
    """The connection failed, so nothing was sent."""


class RefusedError(UnreachableError):
    """The connection was refused: no process listens at the address."""


@dataclasses.dataclass(frozen=True)
class IdleConnection:
    """A connection that waits for its next request.

    Attributes
    ----------
    connection
        The connection.
    expires_s
        When it must no longer be used, by the boot clock.
    """

    connection: bounded_http.Connection
    expires_s: float


class Pool:
    """Connections to all endpoints, by endpoint id and address.

    The address of an endpoint that is gone may be reused for another
    service's endpoint, so connections are never looked up by address alone.
    """

    def __init__(self) -> None:
        self.idle: dict[
            tuple[str, str], collections.deque[IdleConnection]
        ] = {}
        self.lock = threading.Lock()
        self.opened = 0

    def acquire(
        self,
        endpoint_id: str,
        address: str,
        timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> bounded_http.Connection:
        """Return a connection to an endpoint, an idle one if available.

        Parameters
        ----------
        endpoint_id, address
            The endpoint.
        timeout_s
            Maximum time to establish a new one, in seconds, if that is
            shorter than ``CONNECT_TIMEOUT_S``.

        Raises
        ------
        UnreachableError
            If the connection cannot be established in time.
        """
        reused = self.acquire_idle(endpoint_id, address)
        if reused is not None:
            return reused
        return self.connect(address, timeout_s)

    def connect(
        self, address: str, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> bounded_http.Connection:
        """Return a new connection; see :meth:`acquire`.

        Raises
        ------
        UnreachableError
            If the connection cannot be established in time.
        RefusedError
            If it is refused.
        """
        host, _, port = address.rpartition(":")
        connection = bounded_http.Connection(
            host,
            int(port),
            limits=LIMITS,
            timeout=min(timeout_s, CONNECT_TIMEOUT_S),
            socket_options=sockets.ENDPOINT_OPTIONS,
        )
        try:
            connection.connect()
        except (OSError, urllib3.exceptions.HTTPError) as error:
            connection.close()
            kind = RefusedError if is_refusal(error) else UnreachableError
            raise kind(f"{address}: {error}") from error
        self.opened += 1
        # Requests have no socket timeout; the supervisor ends those that
        # take too long.
        connection.timeout = None
        return connection

    def acquire_idle(
        self, endpoint_id: str, address: str
    ) -> bounded_http.Connection | None:
        """Return an idle connection that is still usable, if any."""
        now_s = clocks.boot_clock()
        while True:
            with self.lock:
                queue = self.idle.get((endpoint_id, address))
                if not queue:
                    return None
                idle = queue.pop()
            if now_s < idle.expires_s and is_reusable(idle.connection):
                return idle.connection
            idle.connection.close()

    def has_open(self, endpoint_id: str, address: str) -> bool:
        """Return whether an endpoint keeps an idle connection open."""
        with self.lock:
            queue = list(self.idle.get((endpoint_id, address), ()))
        return any(is_reusable(idle.connection) for idle in queue)

    def release(
        self,
        endpoint_id: str,
        address: str,
        connection: bounded_http.Connection,
        keep_alive: str,
    ) -> None:
        """Return a connection to the pool for the next request.

        Parameters
        ----------
        endpoint_id, address
            The endpoint of the connection.
        connection
            The connection; its last answer must have been read completely.
        keep_alive
            The answer's ``Keep-Alive`` header.
        """
        expires_s = clocks.boot_clock() + idle_s(keep_alive)
        with self.lock:
            queue = self.idle.setdefault(
                (endpoint_id, address), collections.deque()
            )
            queue.append(IdleConnection(connection, expires_s))

    def forget(self, endpoint_ids: typing.Collection[str]) -> None:
        """Close the connections of endpoints that are gone."""
        with self.lock:
            keys = [key for key in self.idle if key[0] in endpoint_ids]
            queues = [self.idle.pop(key) for key in keys]
        for queue in queues:
            for idle in queue:
                idle.connection.close()

    def keep_only(self, endpoint_ids: typing.Collection[str]) -> None:
        """Close the connections of all endpoints except these.

        A request that was in flight when :meth:`forget` was called may have
        returned its connection afterwards.
        """
        with self.lock:
            stale = {key[0] for key in self.idle if key[0] not in endpoint_ids}
        self.forget(stale)

    def close_expired(self) -> None:
        """Close the expired connections."""
        now_s = clocks.boot_clock()
        expired = []
        with self.lock:
            for queue in self.idle.values():
                while queue and queue[0].expires_s <= now_s:
                    expired.append(queue.popleft())
        for idle in expired:
            idle.connection.close()


def is_refusal(error: BaseException) -> bool:
    """Return whether a connection failed because nothing listens."""
    causes = (error, error.__cause__)
    return any(isinstance(one, ConnectionRefusedError) for one in causes)


def idle_s(keep_alive: str) -> float:
    """Return the maximum idle time of a connection before reuse."""
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        # float() refuses some of the digits outside of ASCII.
        is_number = value.isascii() and value.isdigit()
        if name.lower() == "timeout" and is_number:
            return max(0.0, float(value) - REUSE_MARGIN_S)
    return DEFAULT_IDLE_S


def is_reusable(connection: bounded_http.Connection) -> bool:
    """Return whether an idle connection is open and has no unread data.

    Bytes that arrive after a complete answer belong to no request.  Read as
    the head of the next answer, they would be sent to another caller.
    """
    sock = connection.sock
    if sock is None:
        return False
    poller = select.poll()
    poller.register(sock, select.POLLIN | select.POLLHUP | select.POLLERR)
    return not poller.poll(0)
