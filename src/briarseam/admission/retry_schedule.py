"""Retry times for refused callers, spaced by the measured service rate.

With the same Retry-After for all, every caller refused in an outage returns
at the same moment and causes a second outage.  Here each refusal takes the
next slot of a schedule that advances at the rate at which runs have been
completing, so that returning callers find capacity.
"""

from __future__ import annotations

import threading
import typing

SMOOTHING = 0.05
INITIAL_RATE_PER_S = 5.0
MIN_RATE_PER_S = 0.5
# Returning callers share the capacity with new requests, so the schedule
# assigns only this part of it.
RETRY_SHARE = 0.5
MIN_RETRY_S = 0.2
MAX_RETRY_S = 60.0
FIXED_RETRY_S = 1.0


class RetrySchedule:
    """Assigns a retry time to each refused request; thread-safe.

    Parameters
    ----------
    clock
        Returns monotonic time in seconds.
    fixed
        Returns whether to assign the same time to all, as a baseline for
        measurements.
    """

    def __init__(
        self,
        clock: typing.Callable[[], float],
        fixed: typing.Callable[[], bool] = lambda: False,
    ) -> None:
        self.clock = clock
        self.fixed = fixed
        self.rate_per_s = INITIAL_RATE_PER_S
        self.last_end_at: float | None = None
        self.next_retry_at = clock()
        self.lock = threading.Lock()

    def record_end(self) -> None:
        """Update the service rate when a run completes."""
        now = self.clock()
        with self.lock:
            if self.last_end_at is not None:
                gap_s = max(now - self.last_end_at, 1e-3)
                rate = max(1.0 / gap_s, MIN_RATE_PER_S)
                # Averages gaps and not rates: with irregular gaps the
                # average of the rates is too high.
                average_gap_s = 1.0 / self.rate_per_s
                average_gap_s += SMOOTHING * (1.0 / rate - average_gap_s)
                self.rate_per_s = 1.0 / average_gap_s
            self.last_end_at = now

    def assign(self, earliest_s: float = MIN_RETRY_S) -> float:
        """Return after how many seconds one refused request may return.

        Parameters
        ----------
        earliest_s
            Lower bound on the result, in seconds.
        """
        if self.fixed():
            return FIXED_RETRY_S
        now = self.clock()
        with self.lock:
            step_s = 1.0 / max(self.rate_per_s * RETRY_SHARE, MIN_RATE_PER_S)
            earliest_at = now + max(earliest_s, MIN_RETRY_S)
            self.next_retry_at = max(self.next_retry_at + step_s, earliest_at)
            wait_s = self.next_retry_at - now
            if wait_s > MAX_RETRY_S:
                self.next_retry_at = earliest_at
                wait_s = MAX_RETRY_S
            return wait_s
