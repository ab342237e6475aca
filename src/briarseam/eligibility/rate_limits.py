"""Limits on the rate of requests that endpoints name in their answers."""

from __future__ import annotations

import threading
import typing

import structlog

from briarseam import malformed
from briarseam.discovery import announcements

if typing.TYPE_CHECKING:
    import collections.abc

log = structlog.get_logger("briarseam.eligibility")


class RateLimits:
    """Limits of endpoints, as answers to this instance name them.

    Parameters
    ----------
    malformed_counter
        Counts limits that can't be read.
    """

    def __init__(
        self, malformed_counter: malformed.Tally | None = None
    ) -> None:
        self.malformed_counter = malformed_counter or malformed.Tally()
        # Answers to this instance that named a limit.
        self.answers = 0
        self.per_s: dict[str, float] = {}
        self.lock = threading.Lock()

    def record_answer(
        self, endpoint_id: str, limit: announcements.AnyRateLimit
    ) -> None:
        """Record what an answer to this instance says of the limit."""
        match limit:
            case announcements.NoRateLimit():
                if endpoint_id in self.per_s:
                    self.record(endpoint_id, None)
            case announcements.RateLimit(per_s):
                self.answers += 1
                self.record(endpoint_id, per_s)
            case announcements.UnreadableRateLimit(text):
                # The former limit stays: the endpoint is still in need.
                self.malformed_counter.note(
                    malformed.Kind.ENDPOINT_ANSWER,
                    endpoint_id,
                    f"rate limit {text!r}",
                )

    def record(self, endpoint_id: str, per_s: float | None) -> None:
        """Record a limit, or that an endpoint names none any more."""
        with self.lock:
            if per_s == self.per_s.get(endpoint_id):
                return
            if per_s is None:
                del self.per_s[endpoint_id]
            else:
                self.per_s[endpoint_id] = per_s
        log.info("endpoint_rate_limit", endpoint=endpoint_id, per_s=per_s)

    def keep_only(self, endpoint_ids: collections.abc.Collection[str]) -> None:
        """Drop what is known of all other endpoints."""
        with self.lock:
            for endpoint_id in self.per_s.keys() - set(endpoint_ids):
                del self.per_s[endpoint_id]

    def limited_count(self) -> int:
        """Return the number of endpoints that name a limit."""
        return len(self.per_s)
