"""Endpoints that have just failed runs, left alone for a while."""

from __future__ import annotations

import dataclasses
import threading
import typing

FIRST_S = 1.0
MAX_S = 16.0
FACTOR = 2.0


@dataclasses.dataclass(frozen=True)
class Trouble:
    """What is held against an endpoint.

    Attributes
    ----------
    for_s
        How long it is left alone.
    until
        Monotonic time when it may be tried again, in seconds.
    """

    for_s: float
    until: float


class Troubles:
    """Endpoints to leave alone; safe for several threads.

    Guard: an endpoint that refuses everything at once is never busy, so it
    looks like the best choice for every request and each of them loses a
    try there.  It shows as a stream of refusals while other endpoints have
    slots free.  Left alone for twice as long after each failure in a row,
    it costs one try each time; its first success ends that.

    Parameters
    ----------
    clock
        Monotonic seconds.
    """

    def __init__(self, clock: typing.Callable[[], float]) -> None:
        self.clock = clock
        self.by_endpoint: dict[str, Trouble] = {}
        self.lock = threading.Lock()

    def failed(self, endpoint: str) -> None:
        """Take in that a run failed before it gave anything."""
        now = self.clock()
        with self.lock:
            known = self.by_endpoint.get(endpoint)
            if known is not None and now < known.until:
                # It was under way when an earlier one failed.
                return
            for_s = min(known.for_s * FACTOR, MAX_S) if known else FIRST_S
            self.by_endpoint[endpoint] = Trouble(for_s, now + for_s)

    def worked(self, endpoint: str) -> None:
        """Take in that an endpoint has begun to answer."""
        with self.lock:
            self.by_endpoint.pop(endpoint, None)

    def avoid(self, names: list[str]) -> list[str]:
        """Return the endpoints not to be left alone; all if that is none."""
        if not self.by_endpoint:
            return names
        now = self.clock()
        good = [name for name in names if not self.barred(name, now)]
        return good or names

    def barred(self, endpoint: str, now: float) -> bool:
        """Tell whether an endpoint is left alone at a time."""
        known = self.by_endpoint.get(endpoint)
        return known is not None and now < known.until
