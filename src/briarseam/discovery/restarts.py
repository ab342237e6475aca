"""Restarts of endpoints that are detected before their entries change."""

from __future__ import annotations

import collections
import dataclasses
import threading
import typing

import msgpack

from briarseam import clocks
from briarseam.discovery import starts

if typing.TYPE_CHECKING:
    from briarseam.discovery import registry as registries

# A restart is published in six heartbeats, of which some may be lost.  By
# then the endpoint has written its new entry; it writes one about every
# second.
PUBLISH_S = 3.0
# Exceeds the number of concurrent orders, each of which detects at most one
# restart.
MAX_PUBLISHED = 100


@dataclasses.dataclass(frozen=True)
class Published:
    """A restart that is published to peers.

    Attributes
    ----------
    start
        The new start.
    until_s
        When publishing ends, by the clock of :class:`Restarts`.
    """

    start: starts.Start
    until_s: float


class Restarts:
    """Restarts that calls detect, published to peers; thread-safe.

    Restarts that entries show are not published: each instance reads the
    entries itself, and the restart of a whole availability zone would fill
    the heartbeats.

    Parameters
    ----------
    registry
        The endpoints.
    clock
        Seconds.
    """

    def __init__(
        self,
        registry: registries.EndpointRegistry,
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.registry = registry
        self.clock = clock
        self.published: collections.deque[Published] = collections.deque(
            maxlen=MAX_PUBLISHED
        )
        self.lock = threading.Lock()

    def record(self, start: starts.Start) -> None:
        """Record a start that answered a call."""
        if not self.registry.apply_start(start):
            return
        with self.lock:
            self.published.append(Published(start, self.clock() + PUBLISH_S))

    def provide(self) -> bytes:
        """Return the encoded restarts to publish in a heartbeat."""
        now_s = self.clock()
        with self.lock:
            rows = [
                (restart.start.name, restart.start.born_ms)
                for restart in self.published
                if now_s < restart.until_s
            ]
        packed: bytes = msgpack.packb(rows)
        return packed

    def consume(self, member: str, data: bytes) -> None:
        """Apply the restarts that a peer publishes."""
        del member
        for name, born_ms in msgpack.unpackb(data):
            self.registry.apply_start(starts.Start(str(name), int(born_ms)))
