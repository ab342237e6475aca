"""The clock that endpoints and stores of KV cache share."""

from __future__ import annotations

import bisect
import collections
import math
import typing

from briarseam import clocks

MS = 1000.0
# Readings of a store to choose from.  The one that took least time tells the
# clock best, and a process that was suspended meanwhile has an old one.
READINGS = 8
# Stores show the same time but for how old their readings are.
AGREE_MS = 5000.0


class EndpointClocks:
    """What the clock shows, as the stores report it.

    A reading is old by the time that it took, so the clock shows at least
    what is told here.  Calls must hold the index's lock.

    Parameters
    ----------
    clock
        Seconds; goes on while the process is suspended.
    """

    def __init__(
        self, clock: typing.Callable[[], float] = clocks.boot_clock
    ) -> None:
        self.clock = clock
        self.readings: dict[str, collections.deque[float]] = {}
        self.offsets_ms: dict[str, float] = {}
        self.latest_offset_ms: float | None = None

    def record(self, address: str, shown_ms: float) -> None:
        """Record what a store's clock showed when it answered."""
        readings = self.readings.setdefault(
            address, collections.deque(maxlen=READINGS)
        )
        readings.append(self.clock() * MS - shown_ms)
        agreeing = most_agreeing(readings)
        # If none is confirmed by others, the clock may be ahead.
        offset_ms = min(agreeing) if agreeing else max(readings)
        self.offsets_ms = {**self.offsets_ms, address: offset_ms}
        self.update_latest()

    def keep_only(self, addresses: typing.Collection[str]) -> None:
        """Drop the readings of all other stores."""
        for address in self.readings.keys() - set(addresses):
            del self.readings[address]
        self.offsets_ms = {
            address: offset_ms
            for address, offset_ms in self.offsets_ms.items()
            if address in addresses
        }
        self.update_latest()

    def shown_by(self, address: str, at_s: float) -> float | None:
        """Return what a store's clock shows at a time; ``None`` if unknown.

        Parameters
        ----------
        address
            Address of the store.
        at_s
            The time by the local clock, in seconds.
        """
        offset_ms = self.offsets_ms.get(address)
        return None if offset_ms is None else at_s * MS - offset_ms

    def shown(self, at_s: float) -> float | None:
        """Return the earliest time that any store's clock shows.

        Clocks that differ from those of most stores don't count: one that is
        far behind would end all fetches at once.
        """
        if math.isinf(at_s):
            return at_s
        offset_ms = self.latest_offset_ms
        return None if offset_ms is None else at_s * MS - offset_ms

    def update_latest(self) -> None:
        """Update which of the offsets that agree is that of most delay."""
        offsets_ms = self.offsets_ms.values()
        agreeing = most_agreeing(offsets_ms) or offsets_ms
        self.latest_offset_ms = max(agreeing, default=None)


def most_agreeing(offsets_ms: typing.Collection[float]) -> list[float]:
    """Return the offsets of which more than half agree; empty if none do."""
    in_order = sorted(offsets_ms)
    count = len(in_order) // 2 + 1
    for first, offset_ms in enumerate(in_order[: len(in_order) - count + 1]):
        if in_order[first + count - 1] - offset_ms <= AGREE_MS:
            end = bisect.bisect_right(in_order, offset_ms + AGREE_MS)
            return in_order[first:end]
    return []
