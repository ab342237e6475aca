"""Limit on sends within any span of one second."""

from __future__ import annotations

import collections

WINDOW_S = 1.0


class SendWindow:
    """Times of recent sends; not thread-safe.

    A token bucket would allow its capacity and its rate within one span,
    twice the limit.
    """

    def __init__(self) -> None:
        self.sent_s: collections.deque[float] = collections.deque()

    def has_room(self, limit: int, now_s: float) -> bool:
        """Return whether fewer than ``limit`` sends are in the window."""
        while self.sent_s and self.sent_s[0] <= now_s - WINDOW_S:
            self.sent_s.popleft()
        return len(self.sent_s) < limit

    def add(self, now_s: float) -> None:
        """Record a send."""
        self.sent_s.append(now_s)
