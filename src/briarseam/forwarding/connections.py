"""Kept connections to endpoints, and when one may be used again."""

from __future__ import annotations

import collections
import dataclasses
import select
import threading
import typing

import urllib3.connection
import urllib3.exceptions

from briarseam import clocks
from briarseam import sockets

# A handshake between availability zones takes 3 ms.  One that an endpoint
# drops for want of room is repeated by the kernel after a second, which is
# too late for most requests; another endpoint is asked instead.
CONNECT_TIMEOUT_S = 0.4
# An endpoint closes an idle connection when its own timeout is over; a
# request that crosses the close is lost, and one that must not run twice
# can't be sent again.  Reuse ends this much earlier.
REUSE_MARGIN_S = 1.0
# Endpoints that don't say how long they keep connections are given this.
DEFAULT_IDLE_S = 4.0


class UnreachableError(Exception):
    """No connection could be made, so nothing was sent."""


@dataclasses.dataclass(frozen=True)
class IdleConnection:
    """A connection that waits for its next request.

    Attributes
    ----------
    connection
        The connection.
    until_s
        When it is too old to be used, by the boot clock.
    """

    connection: urllib3.connection.HTTPConnection
    expires_s: float


class Pool:
    """The connections to all endpoints, by endpoint id and address.

    An address may be given to another service's endpoint once its endpoint
    is gone, so connections are never looked up by address alone.
    """

    def __init__(self) -> None:
        self.idle: dict[
            tuple[str, str], collections.deque[IdleConnection]
        ] = {}
        self.lock = threading.Lock()
        self.opened = 0

    def acquire(
        self, endpoint_id: str, address: str
    ) -> urllib3.connection.HTTPConnection:
        """Return a connection to an endpoint, a kept one if there is one.

        Raises
        ------
        UnreachableError
            If no connection can be made in time.
        """
        reused = self.acquire_idle(endpoint_id, address)
        if reused is not None:
            return reused
        host, _, port = address.rpartition(":")
        connection = urllib3.connection.HTTPConnection(
            host,
            int(port),
            timeout=CONNECT_TIMEOUT_S,
            socket_options=sockets.OPTIONS,
        )
        try:
            connection.connect()
        except (OSError, urllib3.exceptions.HTTPError) as error:
            connection.close()
            raise UnreachableError(f"{address}: {error}") from error
        self.opened += 1
        # Each request sets the socket's timeout from this; the supervisor
        # ends what takes too long.
        connection.timeout = None
        return connection

    def acquire_idle(
        self, endpoint_id: str, address: str
    ) -> urllib3.connection.HTTPConnection | None:
        """Return a kept connection that is still good, if there is one."""
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

    def release(
        self,
        endpoint_id: str,
        address: str,
        connection: urllib3.connection.HTTPConnection,
        keep_alive: str,
    ) -> None:
        """Keep a connection for the next request.

        Parameters
        ----------
        endpoint_id, address
            Whose it is.
        connection
            Its last answer must have been read whole.
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
        """Close the connections of all endpoints but these.

        A request that was under way when its endpoint was forgotten has
        given its connection back since.
        """
        with self.lock:
            stale = {key[0] for key in self.idle if key[0] not in endpoint_ids}
        self.forget(stale)

    def close_expired(self) -> None:
        """Close the connections that are too old to be used."""
        now_s = clocks.boot_clock()
        expired = []
        with self.lock:
            for queue in self.idle.values():
                while queue and queue[0].expires_s <= now_s:
                    expired.append(queue.popleft())
        for idle in expired:
            idle.connection.close()


def idle_s(keep_alive: str) -> float:
    """Return how long a connection may be idle before its next use."""
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return max(0.0, float(value) - REUSE_MARGIN_S)
    return DEFAULT_IDLE_S


def is_reusable(connection: urllib3.connection.HTTPConnection) -> bool:
    """Tell whether an idle connection has neither ended nor said anything.

    Bytes that come after a whole answer belong to no request.  Read as the
    head of the next answer they would reach another caller.
    """
    sock = connection.sock
    if sock is None:
        return False
    poller = select.poll()
    poller.register(sock, select.POLLIN | select.POLLHUP | select.POLLERR)
    return not poller.poll(0)
