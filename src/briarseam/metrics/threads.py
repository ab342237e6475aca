"""Counting this process's threads by what they are for."""

from __future__ import annotations

import collections
import re
import threading
import typing

if typing.TYPE_CHECKING:
    from briarseam.metrics import registry as registries

# What follows in a thread's name tells one of several: an address, a
# number, or the instance that it asks.
WHICH = re.compile(r"(-by-|[-_ (]?\d).*")


class ThreadGauge:
    """Threads by purpose, renewed when asked.

    Parameters
    ----------
    registry
        Where the gauge stands.
    """

    def __init__(self, registry: registries.Registry) -> None:
        self.gauges = registry.gauges(
            "threads", "Threads by what they are for", ("purpose",)
        )
        self.purposes: set[str] = set()

    def update(self) -> None:
        """Count the threads that run now."""
        counts = by_purpose()
        self.purposes |= counts.keys()
        for purpose in self.purposes:
            self.gauges.labelled(purpose).set(counts.get(purpose, 0))


def by_purpose() -> collections.Counter[str]:
    """Return how many threads run for each purpose."""
    return collections.Counter(
        WHICH.sub("", thread.name) or "other"
        for thread in threading.enumerate()
    )
