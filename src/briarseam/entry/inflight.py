"""Counting requests in flight, so that a planned stop can wait for them."""

from __future__ import annotations

import threading
import time


class InFlight:
    """How many requests are being answered."""

    def __init__(self) -> None:
        self.count = 0
        self.condition = threading.Condition()

    def enter(self) -> None:
        """Count a request in."""
        with self.condition:
            self.count += 1

    def leave(self) -> None:
        """Count a request out."""
        with self.condition:
            self.count -= 1
            self.condition.notify_all()

    def wait_empty(self, timeout_s: float) -> bool:
        """Wait until nothing is in flight; tell whether that came."""
        deadline = time.monotonic() + timeout_s
        with self.condition:
            while self.count:
                left_s = deadline - time.monotonic()
                if left_s <= 0:
                    return False
                self.condition.wait(left_s)
        return True
