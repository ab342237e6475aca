"""Stand-ins for what the software history depends on."""

from __future__ import annotations

NEVER_S = float("-inf")


class Reads:
    """Reads of entries without a gap, which reach up to now by default."""

    def __init__(self) -> None:
        self.continuous_since_s = NEVER_S
        self.until_s = float("inf")
        self.waits_s: list[float] = []

    def await_complete(self, until_s: float, timeout_s: float) -> bool:
        self.waits_s.append(timeout_s)
        return self.until_s >= until_s
