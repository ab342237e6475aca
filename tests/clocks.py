"""A clock that stands still until a test moves it."""

from __future__ import annotations


class ManualClock:
    """Seconds that pass when a test says so.

    Attributes
    ----------
    now_s
        The time it tells.
    """

    def __init__(self, now_s: float = 100.0) -> None:
        self.now_s = now_s

    def __call__(self) -> float:
        return self.now_s
