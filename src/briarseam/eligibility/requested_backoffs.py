"""Times for which endpoints have asked this instance for no requests.

An endpoint that rejects requests at once has no load, so it looks like the
best choice for each request while it asks for the opposite.
"""

from __future__ import annotations

import random
import threading
import typing

import structlog

from briarseam import clocks

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.discovery import model as discovery

# A longer time is taken for a mistake.  The endpoint asks again if it isn't.
MAX_BACKOFF_S = 3600.0
# Each instance adds a random part of this time: instances that were rejected
# together do not return together.
SPREAD_S = 0.3
MS = 1000.0
log = structlog.get_logger("briarseam.eligibility")


class RequestedBackoffs:
    """Backoffs by the start that asked for them; thread-safe.

    Parameters
    ----------
    clock
        Seconds.
    chance
        Returns random numbers from 0 to 1.
    """

    def __init__(
        self,
        clock: typing.Callable[[], float] = clocks.boot_clock,
        chance: typing.Callable[[], float] = random.random,
    ) -> None:
        self.clock = clock
        self.chance = chance
        self.until_s: dict[str, float] = {}
        self.lock = threading.Lock()

    def record_answer(self, endpoint_id: str, backoff_s: float | None) -> None:
        """Record the time that an answer asks for.

        A later answer extends a backoff but never shortens it, since each of
        them asks for its own time.

        Parameters
        ----------
        endpoint_id
            The endpoint's start.
        backoff_s
            The time in seconds; ``None`` if the answer asks for none.
        """
        if not backoff_s:
            return
        asked_s = min(backoff_s, MAX_BACKOFF_S)
        until_s = self.clock() + asked_s + SPREAD_S * self.chance()
        with self.lock:
            known_s = self.until_s.get(endpoint_id)
            self.until_s[endpoint_id] = max(until_s, known_s or until_s)
        if known_s is None:
            log.info(
                "endpoint_backoff",
                endpoint=endpoint_id,
                asked_ms=round(backoff_s * MS),
            )

    def without_backoff(
        self, endpoints: list[discovery.Endpoint]
    ) -> list[discovery.Endpoint]:
        """Return the endpoints that may get requests."""
        if not self.until_s:
            return endpoints
        return [
            endpoint
            for endpoint in endpoints
            if self.remaining_s(endpoint.id) <= 0
        ]

    def remaining_s(self, endpoint_id: str) -> float:
        """Return the rest of an endpoint's backoff, in seconds, or 0."""
        until_s = self.until_s.get(endpoint_id)
        return 0.0 if until_s is None else max(0.0, until_s - self.clock())

    def count(self) -> int:
        """Return the number of endpoints in a backoff."""
        now_s = self.clock()
        with self.lock:
            return sum(until_s > now_s for until_s in self.until_s.values())

    def keep_only(self, endpoint_ids: collections.abc.Collection[str]) -> None:
        """Drop backoffs that have ended, and those of other endpoints."""
        now_s = self.clock()
        with self.lock:
            self.until_s = {
                endpoint_id: until_s
                for endpoint_id, until_s in self.until_s.items()
                if until_s > now_s and endpoint_id in endpoint_ids
            }
