"""Number of threads of this process by purpose."""

from __future__ import annotations

import collections
import re
import threading
import typing

if typing.TYPE_CHECKING:
    from briarseam.metrics import registry as registries

# The end of a thread's name that distinguishes it from others of the same
# purpose: an address, a number, or the instance that it queries.
DISCRIMINATOR = re.compile(r"(-by-|[-_ (]?\d).*")


class ThreadGauge:
    """Gauges of threads by purpose, which `update` sets.

    Parameters
    ----------
    registry
        Registry to which the gauges are added.
    """

    def __init__(self, registry: registries.Registry) -> None:
        self.gauges = registry.gauges(
            "threads", "Threads by what they are for", ("purpose",)
        )
        self.purposes: set[str] = set()

    def update(self) -> None:
        """Set the gauges to the number of threads that are running.

        Purposes without a thread any more are set to 0.
        """
        counts = count_by_purpose()
        self.purposes |= counts.keys()
        for purpose in self.purposes:
            self.gauges.labelled(purpose).set(counts.get(purpose, 0))


def count_by_purpose() -> collections.Counter[str]:
    """Return the number of running threads by purpose."""
    return collections.Counter(
        DISCRIMINATOR.sub("", thread.name) or "other"
        for thread in threading.enumerate()
    )
