"""Retry budgets: retries are a small part of first tries, or they stop.

When endpoints fail, each request that is tried again adds load where least
is left.  An organisation earns a part of a retry with each first try and
spends one with each retry; with nothing left the request is refused, and
its caller told when to return.
"""

from __future__ import annotations

import threading
import typing

MAX_SAVED = 10.0
FIRST_SAVED = 3.0


class RetryBudgets:
    """Budgets by organisation; thread-safe.

    Parameters
    ----------
    ratio
        Retries earned with each first try.
    """

    def __init__(self, ratio: typing.Callable[[], float]) -> None:
        self.ratio = ratio
        self.saved: dict[str, float] = {}
        self.lock = threading.Lock()

    def earn(self, organisation: str) -> None:
        """Count a first try."""
        with self.lock:
            saved = self.saved.get(organisation, FIRST_SAVED)
            self.saved[organisation] = min(saved + self.ratio(), MAX_SAVED)

    def spend(self, organisation: str) -> bool:
        """Take a retry from the budget; tell whether there was one."""
        with self.lock:
            saved = self.saved.get(organisation, FIRST_SAVED)
            if saved < 1.0:
                return False
            self.saved[organisation] = saved - 1.0
            return True
