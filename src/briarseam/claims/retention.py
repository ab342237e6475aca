"""Detects a log that retains records for less than the window."""

from __future__ import annotations

import collections
import dataclasses
import time
import typing

# Maximum number of arrivals stored over one window.
MAX_ARRIVALS = 360


@dataclasses.dataclass(frozen=True)
class Arrival:
    """Arrival of a record at this reader.

    Attributes
    ----------
    offset
        Offset of the record.
    read_at
        Monotonic time of the read, in seconds.
    """

    offset: int
    read_at: float


class RetentionCheck:
    """Detects that the log drops records younger than the window.

    With a retention shorter than the window, the claim of a key that is
    still accepted may be gone, and the key would be free again.  The check
    fails if the log no longer has a record that this reader received less
    than the window ago, by its own monotonic clock.

    Parameters
    ----------
    window_s
        Maximum age of a key, in seconds.
    clock
        Returns monotonic seconds.
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
        """Record when the newest record arrived, unless the last is recent."""
        now = self.clock()
        if self.arrivals:
            elapsed_s = now - self.arrivals[-1].read_at
            if elapsed_s < self.window_s / MAX_ARRIVALS:
                return
        self.arrivals.append(Arrival(offset, now))

    def is_short(self, first: int) -> bool:
        """Return whether the log has dropped a record within the window.

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
