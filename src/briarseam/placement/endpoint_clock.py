"""The clock that all endpoints and stores of KV cache share."""

from __future__ import annotations

import collections
import typing

from briarseam import clocks

# Readings to choose from.  The one that came quickest tells the clock best;
# a process that stood still between asking and reading finds an old one.
READINGS = 8


class EndpointClock:
    """What the endpoints' clock shows now, as far as known.

    Parameters
    ----------
    clock
        Seconds, counting while the machine is suspended.
    """

    def __init__(
        self, clock: typing.Callable[[], float] = clocks.boot_clock
    ) -> None:
        self.clock = clock
        self.offsets_ms: collections.deque[float] = collections.deque(
            maxlen=READINGS
        )

    def note(self, shown_ms: float) -> None:
        """Take in what it showed when an answer was made just now."""
        self.offsets_ms.append(self.clock() * 1000 - shown_ms)

    def after(self, wait_s: float) -> float:
        """Return what it will show after a time; 0 if it is not known."""
        offsets_ms = tuple(self.offsets_ms)
        if not offsets_ms:
            return 0.0
        return (self.clock() + wait_s) * 1000 - min(offsets_ms)
