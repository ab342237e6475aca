"""Detection of entry processes that have disconnected for good."""

from __future__ import annotations

import time
import typing


class EntryLiveness:
    """Tracks which entries have had no connection for the grace time.

    A live entry whose connections are cut reconnects immediately, so one
    that stays without a connection is dead.

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
        self.disconnected_at: dict[str, float] = {}

    def gone(self, entries: typing.AbstractSet[str]) -> frozenset[str]:
        """Return those of the given entries that are gone.

        Call this regularly: the time without a connection counts from the
        first call that finds the entry disconnected.
        """
        now = self.clock()
        self.disconnected_at = {
            entry: self.disconnected_at.get(entry, now)
            for entry in entries - self.connected()
        }
        return frozenset(
            entry
            for entry, started_at in self.disconnected_at.items()
            if now - started_at >= self.grace_s
        )
