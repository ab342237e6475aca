"""The clock by which leases are counted."""

from __future__ import annotations

import time


def boot_clock() -> float:
    """Return seconds since boot, counting suspension too.

    A clock that stood still while the process or its instance is frozen
    would let a holder that wakes believe in a lease that has run out.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
