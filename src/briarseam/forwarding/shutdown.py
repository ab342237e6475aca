"""Decides which requests a process still accepts during its shutdown."""

from __future__ import annotations

import typing

from briarseam import clocks

# Callers may still come because of their last lookup, so all requests are
# accepted for this long.  Most end before the process does, which has 7 s.
ACCEPT_ALL_FOR_S = 2.5


class Shutdown:
    """State of the shutdown of this process.

    Parameters
    ----------
    bound_s
        Returns the maximum time from the stop request to the end of
        serving, in seconds.
    clock
        Returns the time in seconds.
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
        """Whether this process was requested to stop."""
        return self.begun_s is not None

    def elapsed_ms(self) -> int:
        """Return the milliseconds since the stop request, 0 before it."""
        if self.begun_s is None:
            return 0
        return round((self.clock() - self.begun_s) * 1000)

    def begin(self, requested_s: float | None = None) -> None:
        """Record the stop request; later ones have no effect.

        Parameters
        ----------
        requested_s
            When the request was received, by the clock; default is now.
        """
        if self.begun_s is None:
            self.begun_s = self.clock() if requested_s is None else requested_s

    def accepts(self, deadline_s: float) -> bool:
        """Return whether a request can still be answered completely.

        Guard: an endpoint may use all the time up to a request's deadline.
        A request whose deadline is after the end of the process would be
        cut off, while other instances can answer it completely.

        Parameters
        ----------
        deadline_s
            The request's deadline, by the clock.
        """
        if self.begun_s is None:
            return True
        elapsed_s = self.clock() - self.begun_s
        if elapsed_s < min(ACCEPT_ALL_FOR_S, self.bound_s() / 2):
            return True
        return deadline_s <= self.begun_s + self.bound_s()
