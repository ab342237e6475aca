"""Endpoints that fail if they must reject too many requests per second.

Such an endpoint names in its answers how many requests it may reject in a
second, from all instances together.  What it will reject can't be known
before, so no more requests may be undecided there at a time: sent, but
neither accepted nor rejected.  The instances share that number like a rate;
a rejected request counts on for a second.
"""

from __future__ import annotations

import collections
import random
import typing

from briarseam import clocks
from briarseam import malformed
from briarseam.eligibility import announced_limits
from briarseam.eligibility import rate_sharing

if typing.TYPE_CHECKING:
    from briarseam.discovery import model as discovery

# How long a rejected request counts: the endpoint's second, and the time that
# rejections differ in on their way.
HOLD_S = 1.25
# Part of the limit that is used.  Instances may differ for a while in who
# shares it, and one request too many ends the endpoint.
USED_SHARE = 0.75
# Of an endpoint that may reject none, one instance still asks.
MIN_UNDECIDED = 1.0


class RejectionLimits(announced_limits.AnnouncedLimits):
    """Limits of rejections, and this instance's part of them; thread-safe.

    Parameters
    ----------
    senders
        The instances that share an endpoint's limit.
    clock
        Seconds.
    chance
        Returns random numbers from 0 to 1.
    malformed_counter
        Counts limits that can't be read.
    """

    def __init__(
        self,
        senders: rate_sharing.Senders,
        clock: typing.Callable[[], float] = clocks.boot_clock,
        chance: typing.Callable[[], float] = random.random,
        malformed_counter: malformed.Tally | None = None,
    ) -> None:
        super().__init__(
            "endpoint_rejection_limit",
            senders,
            clock,
            chance,
            malformed_counter,
        )
        # Counted also without a limit: what is undecided when an endpoint
        # names one counts from the first.
        self.undecided: collections.Counter[str] = collections.Counter()
        self.rejected_s: dict[str, collections.deque[float]] = {}

    def with_room(
        self, endpoints: list[discovery.Endpoint]
    ) -> list[discovery.Endpoint]:
        """Return the endpoints to which this instance may send now."""
        if not self.states:
            return endpoints
        with self.lock:
            return [one for one in endpoints if self.has_room(one)]

    def try_acquire(self, endpoint: discovery.Endpoint) -> bool:
        """Count a request as undecided; return if it may be sent."""
        with self.lock:
            if not self.has_room(endpoint):
                return False
            self.undecided[endpoint.id] += 1
            state = self.states.get(endpoint.id)
            if state is not None:
                state.window.add(self.clock())
            return True

    def release(self, endpoint_id: str, rejected: bool = False) -> None:
        """Count a request no more as undecided.

        Parameters
        ----------
        endpoint_id
            The endpoint's start.
        rejected
            Whether the endpoint has rejected it.
        """
        with self.lock:
            self.undecided[endpoint_id] -= 1
            if self.undecided[endpoint_id] <= 0:
                del self.undecided[endpoint_id]
            if rejected:
                times = self.rejected_s.setdefault(
                    endpoint_id, collections.deque()
                )
                times.append(self.clock())

    # Helpers; they require the lock.

    def has_room(self, endpoint: discovery.Endpoint) -> bool:
        """Return whether a further request may be undecided."""
        now_s = self.clock()
        rejections = self.recent_rejections(endpoint.id, now_s)
        state = self.states.get(endpoint.id)
        if state is None or not announced_limits.is_in_force(state, now_s):
            return True
        limit = max(USED_SHARE * state.per_s, MIN_UNDECIDED)
        instances = max(1, self.senders.known_count())
        count = rate_sharing.sender_count(limit, instances)
        if not self.has_part(state, endpoint, count, now_s):
            return self.stale_wait_s(state, limit, now_s) <= 0
        # A process that has just started doesn't know what its former
        # process has sent.
        if now_s < self.started_s + HOLD_S:
            return False
        return self.undecided[endpoint.id] + rejections < int(limit / count)

    def recent_rejections(self, endpoint_id: str, now_s: float) -> int:
        """Return the number of rejections that still count."""
        times = self.rejected_s.get(endpoint_id)
        if times is None:
            return 0
        while times and times[0] <= now_s - HOLD_S:
            times.popleft()
        if not times:
            del self.rejected_s[endpoint_id]
        return len(times)
