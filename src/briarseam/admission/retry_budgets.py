"""Retry budgets, which limit retries to a small share of first tries.

When endpoints fail, retries add load to the remaining ones.  An organisation
earns a fraction of a retry with each first try and spends one with each
retry; once its budget is spent, requests are refused with a retry time.
"""

from __future__ import annotations

import threading
import typing

MAX_BALANCE = 10.0
INITIAL_BALANCE = 3.0


class RetryBudgets:
    """Retry budgets by organisation; thread-safe.

    Parameters
    ----------
    ratio
        Returns the retries earned with each first try.
    """

    def __init__(self, ratio: typing.Callable[[], float]) -> None:
        self.ratio = ratio
        self.balances: dict[str, float] = {}
        self.lock = threading.Lock()

    def earn(self, organisation: str) -> None:
        """Add the share of a retry that a first try earns."""
        with self.lock:
            balance = self.balances.get(organisation, INITIAL_BALANCE)
            self.balances[organisation] = min(
                balance + self.ratio(), MAX_BALANCE
            )

    def spend(self, organisation: str) -> bool:
        """Spend one retry; return false if the budget has none left."""
        with self.lock:
            balance = self.balances.get(organisation, INITIAL_BALANCE)
            if balance < 1.0:
                return False
            self.balances[organisation] = balance - 1.0
            return True
