"""Backoff for endpoints whose runs have just failed."""

from __future__ import annotations

import dataclasses
import threading
import typing

FIRST_S = 1.0
MAX_S = 16.0
FACTOR = 2.0


@dataclasses.dataclass(frozen=True)
class Backoff:
    """Time during which an endpoint gets no requests.

    Attributes
    ----------
    duration_s
        Length of the backoff, in seconds.
    until
        Monotonic time when the endpoint may be tried again, in seconds.
    """

    duration_s: float
    until: float


class EndpointBackoffs:
    """Endpoints that get no requests for a while; thread-safe.

    Guard: an endpoint that refuses everything at once is never busy, so it
    looks like the best choice for every request, and each request loses an
    attempt there while other endpoints have free slots.  The backoff doubles
    with each failure in a row, so that each period costs one attempt; the
    first success ends it.

    Parameters
    ----------
    clock
        Monotonic seconds.
    """

    def __init__(self, clock: typing.Callable[[], float]) -> None:
        self.clock = clock
        self.by_endpoint: dict[str, Backoff] = {}
        self.lock = threading.Lock()

    def record_failure(self, endpoint: str) -> None:
        """Start or extend the backoff after a run failed with no output."""
        now = self.clock()
        with self.lock:
            known = self.by_endpoint.get(endpoint)
            if known is not None and now < known.until:
                # The run was active when an earlier one failed.
                return
            duration_s = (
                min(known.duration_s * FACTOR, MAX_S) if known else FIRST_S
            )
            self.by_endpoint[endpoint] = Backoff(duration_s, now + duration_s)

    def record_success(self, endpoint: str) -> None:
        """End the backoff of an endpoint that has begun to answer."""
        with self.lock:
            self.by_endpoint.pop(endpoint, None)

    def available(self, names: list[str]) -> list[str]:
        """Return the endpoints not in backoff, or all if all are in it."""
        if not self.by_endpoint:
            return names
        now = self.clock()
        available = [name for name in names if not self.is_active(name, now)]
        return available or names

    def is_active(self, endpoint: str, now: float) -> bool:
        """Return whether an endpoint is in backoff at a monotonic time."""
        known = self.by_endpoint.get(endpoint)
        return known is not None and now < known.until
