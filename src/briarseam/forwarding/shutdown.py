"""What a process that shuts down still takes on."""

from __future__ import annotations

import typing

from briarseam import clocks

# Callers may still be sent here by their last lookup, so for this long every
# request is taken.  Most end before the process does, which has 7 s.
ACCEPT_ALL_FOR_S = 2.5


class Shutdown:
    """When this process was told to stop, and what it takes since.

    Parameters
    ----------
    bound_s
        Returns the longest time from the order to stop to the end of
        serving, in seconds.
    clock
        Seconds.
    """

    def __init__(
        self,
        bound_s: typing.Callable[[], float],
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.bound_s = bound_s
        self.clock = clock
        self.begun_s: float | None = None

    @property
    def begun(self) -> bool:
        """Whether this process was told to stop."""
        return self.begun_s is not None

    def elapsed_ms(self) -> int:
        """Return the milliseconds since the order to stop, 0 before it."""
        if self.begun_s is None:
            return 0
        return round((self.clock() - self.begun_s) * 1000)

    def begin(self, requested_s: float | None = None) -> None:
        """Note the order to stop.

        Parameters
        ----------
        requested_s
            When it came, by the clock; now unless given.
        """
        if self.begun_s is None:
            self.begun_s = self.clock() if requested_s is None else requested_s

    def accepts(self, deadline_s: float) -> bool:
        """Tell whether a request can still be answered whole.

        Guard: an endpoint may use all the time that a request has.  One that
        has more of it than this process would be cut off when the process
        ends, while other instances serve it whole.

        Parameters
        ----------
        deadline_s
            When the request is to have its answer, by the clock.
        """
        if self.begun_s is None:
            return True
        elapsed_s = self.clock() - self.begun_s
        if elapsed_s < min(ACCEPT_ALL_FOR_S, self.bound_s() / 2):
            return True
        return deadline_s <= self.begun_s + self.bound_s()
