"""Limit on sends within any span of some time."""

from __future__ import annotations

import collections
import dataclasses

WINDOW_S = 1.0


@dataclasses.dataclass(frozen=True)
class Allowance:
    """What an instance may send to an endpoint.

    Attributes
    ----------
    sends
        Maximum number of sends within any span.
    span_s
        Length of the span, in seconds.
    """

    sends: int
    span_s: float = WINDOW_S


class SendWindow:
    """Times of recent sends; not thread-safe.

    A token bucket would allow its capacity and its rate within one span,
    twice the limit.
    """

    def __init__(self) -> None:
        self.sent_s: collections.deque[float] = collections.deque()

    def has_room(self, allowance: Allowance, now_s: float) -> bool:
        """Return whether an allowance permits a further send now."""
        return self.wait_s(allowance, now_s) <= 0

    def wait_s(self, allowance: Allowance, now_s: float) -> float:
        """Return the time until an allowance permits a send, in seconds."""
        if allowance.sends <= 0:
            return float("inf")
        while self.sent_s and self.sent_s[0] <= now_s - allowance.span_s:
            self.sent_s.popleft()
        if len(self.sent_s) < allowance.sends:
            return 0.0
        return self.sent_s[-allowance.sends] + allowance.span_s - now_s

    def add(self, now_s: float) -> None:
        """Record a send."""
        self.sent_s.append(now_s)
