"""A hybrid logical clock: wall time that never contradicts causality.

A stamp is one integer: microseconds since the epoch shifted left by
``LOGICAL_BITS``, plus a counter.  It follows the wall clock while it can
and counts on from the last stamp when the wall clock stands still, steps
back, or is behind a stamp that came in from another process.  So an event
that was caused by a message is always stamped later than the sending of
that message, however wrong the wall clocks are.

After Kulkarni and others, "Logical Physical Clocks" (2014).
"""

from __future__ import annotations

import datetime
import threading
import time
import typing

LOGICAL_BITS = 12
MAX_AHEAD_S = 30.0
US_PER_S = 1_000_000
NS_PER_US = 1_000
MAX_STAMP = 2**64 - 1


def stamp_of(seconds: float) -> int:
    """Return the lowest stamp of a wall time in s since the epoch."""
    return int(seconds * US_PER_S) << LOGICAL_BITS


def seconds_of(stamp: int) -> float:
    """Return the wall part of a stamp in s since the epoch."""
    return (stamp >> LOGICAL_BITS) / US_PER_S


def micros_of(stamp: int) -> int:
    """Return the wall part of a stamp in us since the epoch."""
    return stamp >> LOGICAL_BITS


def iso_of(stamp: int) -> str:
    """Return the wall part of a stamp as UTC, to the millisecond."""
    when = datetime.datetime.fromtimestamp(seconds_of(stamp), datetime.UTC)
    return when.strftime("%Y-%m-%dT%H:%M:%S.%f")[:-3] + "Z"


class HybridClock:
    """A process's clock; safe for several threads.

    Parameters
    ----------
    wall_ns
        Returns the wall clock in ns since the epoch.
    max_ahead_s
        A stamp from elsewhere that is further ahead of the wall clock than
        this is not taken over.

    Attributes
    ----------
    last
        The highest stamp given out or taken over.
    refused
        Stamps from elsewhere that were too far ahead.
    """

    def __init__(
        self,
        wall_ns: typing.Callable[[], int] = time.time_ns,
        max_ahead_s: float = MAX_AHEAD_S,
    ) -> None:
        self.wall_ns = wall_ns
        self.max_ahead = int(max_ahead_s * US_PER_S) << LOGICAL_BITS
        self.last = 0
        self.refused = 0
        self.lock = threading.Lock()

    def now(self) -> int:
        """Return a stamp above all that this process has seen."""
        wall = (self.wall_ns() // NS_PER_US) << LOGICAL_BITS
        with self.lock:
            self.last = max(self.last + 1, wall)
            return self.last

    def observe(self, remote: int) -> bool:
        """Take over the stamp that came with a message.

        Parameters
        ----------
        remote
            The sender's stamp; 0 stands for a sender without a clock.

        Returns
        -------
        bool
            False when the stamp was refused.
        """
        if remote <= self.last:
            return True
        wall = (self.wall_ns() // NS_PER_US) << LOGICAL_BITS
        with self.lock:
            # One instance whose wall clock is years ahead would drag the
            # stamps of every process along, and all time lines would show
            # its time for good.  Past the bound the order of its events is
            # lost instead; the count shows on the metrics page.
            if remote - wall > self.max_ahead:
                self.refused += 1
                return False
            self.last = max(self.last, remote)
        return True
