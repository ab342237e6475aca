"""Noticing a log that keeps records for less than the window."""

from __future__ import annotations

import collections
import dataclasses
import time
import typing

# So many arrivals are remembered over one window.
MAX_ARRIVALS = 360


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A record that this reader saw arrive.

    Attributes
    ----------
    offset
        The record.
    read_at
        Monotonic seconds.
    """

    offset: int
    read_at: float


class RetentionCheck:
    """Tells when the log drops records that are younger than the window.

    With a retention shorter than the window, a key that is still accepted
    may have lost its claim and would be free again.  It shows as a record
    gone that this reader saw arrive less than the window ago, by its own
    monotonic clock.

    Parameters
    ----------
    window_s
        Greatest age of a key.
    clock
        Monotonic seconds.
    """

    def __init__(
        self,
        window_s: float,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self.window_s = window_s
        self.clock = clock
        self.arrivals: collections.deque[Arrival] = collections.deque()

    def record_arrival(self, offset: int) -> None:
        """Remember when the newest record came, now and then."""
        now = self.clock()
        if self.arrivals:
            elapsed_s = now - self.arrivals[-1].read_at
            if elapsed_s < self.window_s / MAX_ARRIVALS:
                return
        self.arrivals.append(Arrival(offset, now))

    def is_short(self, first: int) -> bool:
        """Tell whether a record younger than the window is gone.

        Parameters
        ----------
        first
            Lowest offset that the log still has.
        """
        dropped_read_at: float | None = None
        while self.arrivals and self.arrivals[0].offset < first:
            dropped_read_at = self.arrivals.popleft().read_at
        if dropped_read_at is None:
            return False
        return self.clock() - dropped_read_at < self.window_s
