"""The clock that endpoints and stores of KV cache share."""

from __future__ import annotations

import collections
import math
import typing

from briarseam import clocks

MS = 1000.0
# Readings of a store to choose from.  The one that took least time tells the
# clock best, and a process that was suspended meanwhile has an old one.
READINGS = 8


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

    def record(self, address: str, shown_ms: float) -> None:
        """Record what a store's clock showed when it answered."""
        readings = self.readings.setdefault(
            address, collections.deque(maxlen=READINGS)
        )
        readings.append(self.clock() * MS - shown_ms)
        self.offsets_ms = {**self.offsets_ms, address: min(readings)}

    def keep_only(self, addresses: typing.Collection[str]) -> None:
        """Drop the readings of all other stores."""
        for address in self.readings.keys() - set(addresses):
            del self.readings[address]
        self.offsets_ms = {
            address: offset_ms
            for address, offset_ms in self.offsets_ms.items()
            if address in addresses
        }

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
        """Return the earliest time that any store's clock shows."""
        if math.isinf(at_s):
            return at_s
        offsets_ms = self.offsets_ms.values()
        return at_s * MS - max(offsets_ms) if offsets_ms else None
