"""When refused callers should come back: spaced by what can be served.

A Retry-After that is the same for everybody turns one outage into a second
one: all who were refused come back in the same moment.  Here each refusal
takes the next free place of a schedule that moves on at the rate at which
requests have been finishing, so that those who return find room.
"""

from __future__ import annotations

import threading
import typing

SMOOTHING = 0.05
FIRST_RATE_PER_S = 5.0
MIN_RATE_PER_S = 0.5
# Returning callers share the capacity with those who come for the first
# time, so the schedule gives out only a part of it.
RETURN_SHARE = 0.5
MIN_RETRY_S = 0.2
MAX_RETRY_S = 60.0
FIXED_S = 1.0


class RetrySchedule:
    """Gives each refused request a time to return; thread-safe.

    Parameters
    ----------
    clock
        Monotonic seconds.
    fixed
        Whether all are told the same instead, to measure against.
    """

    def __init__(
        self,
        clock: typing.Callable[[], float],
        fixed: typing.Callable[[], bool] = lambda: False,
    ) -> None:
        self.clock = clock
        self.fixed = fixed
        self.rate_per_s = FIRST_RATE_PER_S
        self.last_end: float | None = None
        self.next_at = clock()
        self.lock = threading.Lock()

    def note_end(self) -> None:
        """Learn the rate from a run that finished."""
        now = self.clock()
        with self.lock:
            if self.last_end is not None:
                gap_s = max(now - self.last_end, 1e-3)
                rate = max(1.0 / gap_s, MIN_RATE_PER_S)
                # Averaging gaps and not rates: a rate averaged over
                # irregular ends is too high by the irregularity.
                average_gap_s = 1.0 / self.rate_per_s
                average_gap_s += SMOOTHING * (1.0 / rate - average_gap_s)
                self.rate_per_s = 1.0 / average_gap_s
            self.last_end = now

    def assign(self, earliest_s: float = MIN_RETRY_S) -> float:
        """Return the seconds after which one refused request may return.

        Parameters
        ----------
        earliest_s
            No earlier than this.
        """
        if self.fixed():
            return FIXED_S
        now = self.clock()
        with self.lock:
            step_s = 1.0 / max(self.rate_per_s * RETURN_SHARE, MIN_RATE_PER_S)
            earliest_at = now + max(earliest_s, MIN_RETRY_S)
            self.next_at = max(self.next_at + step_s, earliest_at)
            wait_s = self.next_at - now
            if wait_s > MAX_RETRY_S:
                self.next_at = earliest_at
                wait_s = MAX_RETRY_S
            return wait_s
