"""Notices that the process was suspended.

A suspended process goes on with what it knew before.  What has changed
meanwhile is read within milliseconds, but requests may be handled first.
"""

from __future__ import annotations

import typing

import structlog

from briarseam import clocks
from briarseam import repeating

TICK_S = 0.1
# A thread that ticks so late was suspended, or got no processor time.
SUSPENDED_S = 0.5
# Within which a resumed process has read what has changed, if it reaches the
# store.
CATCH_UP_S = 1.0
NEVER_S = float("-inf")
log = structlog.get_logger("briarseam.suspension")


class SuspensionWatch:
    """Tells for a moment that the process was suspended; thread-safe.

    Parameters
    ----------
    clock
        Seconds; goes on while the process is suspended.
    """

    def __init__(
        self, clock: typing.Callable[[], float] = clocks.boot_clock
    ) -> None:
        self.clock = clock
        self.ticked_s: float | None = None
        self.resumed_s = NEVER_S
        self.ticks = repeating.Repeater("suspension", self.tick, TICK_S)

    def start(self) -> None:
        """Start watching."""
        self.tick()
        self.ticks.start()

    def stop(self) -> None:
        """Stop watching."""
        self.ticks.stop()
        self.ticked_s = None

    def tick(self) -> None:
        """Note that the process runs, and whether it did until now."""
        now_s = self.clock()
        late_s = self.late_s(now_s)
        if late_s >= SUSPENDED_S:
            self.resumed_s = now_s
            log.warning("resumed", suspended_ms=round(late_s * 1000))
        self.ticked_s = now_s

    def late_s(self, now_s: float) -> float:
        """Return for how long there was no tick; 0 if it does not watch."""
        ticked_s = self.ticked_s
        return 0.0 if ticked_s is None else now_s - ticked_s

    def was_suspended_since(self, time_s: float) -> bool:
        """Return whether the process was suspended after a time."""
        if self.resumed_s > time_s:
            return True
        return self.late_s(self.clock()) >= SUSPENDED_S

    def is_catching_up(self) -> bool:
        """Return whether the process was suspended a moment ago.

        Requests may be handled before the thread that ticks gets its turn.
        """
        now_s = self.clock()
        if now_s - self.resumed_s < CATCH_UP_S:
            return True
        return self.late_s(now_s) >= SUSPENDED_S
