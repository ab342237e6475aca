"""Restarts of endpoints that show before their new entries are read."""

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

# A restart is told for six heartbeats, of which some may be lost.  By then
# the endpoint has written its new entry, which it does about once a second.
TELL_S = 3.0
# Told at most: one for each order under way, which are far fewer.
MOST_TOLD = 100


@dataclasses.dataclass(frozen=True)
class Told:
    """A restart that peers are told of.

    Attributes
    ----------
    start
        The new start.
    until_s
        How long, by the clock of :class:`Restarts`.
    """

    start: starts.Start
    until_s: float


class Restarts:
    """Takes in restarts that calls showed, and tells peers; thread-safe.

    Restarts that entries show are not told: each instance reads these
    itself, and an availability zone that starts again would fill the
    heartbeats.

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
        self.told: collections.deque[Told] = collections.deque(
            maxlen=MOST_TOLD
        )
        self.lock = threading.Lock()

    def record(self, start: starts.Start) -> None:
        """Take in a start that answered a call."""
        if not self.registry.apply_start(start):
            return
        with self.lock:
            self.told.append(Told(start, self.clock() + TELL_S))

    def provide(self) -> bytes:
        """Return what peers should know."""
        now_s = self.clock()
        with self.lock:
            rows = [
                (told.start.name, told.start.born_ms)
                for told in self.told
                if now_s < told.until_s
            ]
        packed: bytes = msgpack.packb(rows)
        return packed

    def consume(self, member: str, data: bytes) -> None:
        """Take in the restarts that a peer has seen."""
        del member
        for name, born_ms in msgpack.unpackb(data):
            self.registry.apply_start(starts.Start(str(name), int(born_ms)))
