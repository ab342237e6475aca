"""Which entry processes have been gone for a while."""

from __future__ import annotations

import time
import typing


class EntryLiveness:
    """Tells which entries had no connection for longer than a grace time.

    An entry whose connections were cut opens new ones at once; one that
    stays without is dead.

    Parameters
    ----------
    connected
        Names of the entry processes that have a connection open.
    grace_s
        Seconds without a connection after which an entry is gone.
    clock
        Monotonic seconds.
    """

    def __init__(
        self,
        connected: typing.Callable[[], frozenset[str]],
        grace_s: float,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self.connected = connected
        self.grace_s = grace_s
        self.clock = clock
        self.missing: dict[str, float] = {}

    def gone(self, entries: typing.AbstractSet[str]) -> frozenset[str]:
        """Return those of some entries that are gone.

        To be called regularly: the time without a connection counts from
        the first call that found none.
        """
        now = self.clock()
        self.missing = {
            entry: self.missing.get(entry, now)
            for entry in entries - self.connected()
        }
        return frozenset(
            entry
            for entry, since in self.missing.items()
            if now - since >= self.grace_s
        )
