"""News of endpoints' starts that calls to them show before their entries do.

A call may show that an endpoint has restarted, or an answer that it is
leaving.
"""

from __future__ import annotations

import collections
import dataclasses
import threading
import typing

import msgpack

from briarseam import clocks
from briarseam.discovery import starts

# News is published in six heartbeats, of which some may be lost.  By then a
# restarted endpoint has written its new entry; it writes one about every
# second.
PUBLISH_S = 3.0
# Exceeds the number of concurrent orders, each of which detects at most one
# restart, and of endpoints that are usually replaced at a time.
MAX_PUBLISHED = 100

# Applies news of a start; returns whether it was new.
Apply = typing.Callable[[starts.Start], bool]


@dataclasses.dataclass(frozen=True)
class Published:
    """A start whose news is published to peers.

    Attributes
    ----------
    start
        The start.
    until_s
        When publishing ends, by the clock of :class:`StartUpdates`.
    """

    start: starts.Start
    until_s: float


class StartUpdates:
    """News of one kind about starts, published to peers; thread-safe.

    News that entries tell is not published: each instance reads the entries
    itself, and the restart of a whole availability zone would fill the
    heartbeats.

    Parameters
    ----------
    apply
        Applies news to the registry of endpoints.
    clock
        Seconds.
    """

    def __init__(
        self,
        apply: Apply,
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.apply = apply
        self.clock = clock
        self.published: collections.deque[Published] = collections.deque(
            maxlen=MAX_PUBLISHED
        )
        self.lock = threading.Lock()

    def record(self, start: starts.Start) -> None:
        """Record news that a call to an endpoint has shown."""
        if not self.apply(start):
            return
        with self.lock:
            self.published.append(Published(start, self.clock() + PUBLISH_S))

    def provide(self) -> bytes:
        """Return the encoded news to publish in a heartbeat."""
        now_s = self.clock()
        with self.lock:
            rows = [
                (published.start.name, published.start.born_ms)
                for published in self.published
                if now_s < published.until_s
            ]
        packed: bytes = msgpack.packb(rows)
        return packed

    def consume(self, member: str, data: bytes) -> None:
        """Apply the news that a peer publishes."""
        del member
        for name, born_ms in msgpack.unpackb(data):
            self.apply(starts.Start(str(name), int(born_ms)))
