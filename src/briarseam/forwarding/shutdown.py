"""What a process that shuts down still takes on."""

from __future__ import annotations

import typing

from briarseam import clocks
from briarseam.routes import model as routes

# Streams run for some seconds.  One that begins later than this after the
# order to stop would be cut off when the process ends; its caller finds
# another instance by then, since lookups have run out.
STREAMS_FOR_S = 2.5
# Other requests are answered well within this.
LAST_REQUESTS_S = 1.5


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

    def since_ms(self) -> int:
        """Return the milliseconds since the order to stop, 0 before it."""
        if self.begun_s is None:
            return 0
        return round((self.clock() - self.begun_s) * 1000)

    def begin(self) -> None:
        """Note the order to stop."""
        if self.begun_s is None:
            self.begun_s = self.clock()

    def takes(self, route: routes.Route) -> bool:
        """Tell whether a request on a route can still be answered whole."""
        if self.begun_s is None:
            return True
        since_s = self.clock() - self.begun_s
        if route.repeat is routes.Repeat.STREAM:
            return since_s < min(STREAMS_FOR_S, self.bound_s() / 2)
        return since_s < self.bound_s() - LAST_REQUESTS_S
