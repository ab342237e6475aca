"""Limits on the rate of requests that endpoints name in their answers.

Such an endpoint takes so many requests per second from all instances
together.  They share the rate without asking each other; see
:mod:`briarseam.eligibility.rate_sharing`.  Those that get no part of it
learn from the others when the limit changes or ends.
"""

from __future__ import annotations

import random
import typing

from briarseam import clocks
from briarseam import malformed
from briarseam.eligibility import announced_limits
from briarseam.eligibility import rate_sharing

if typing.TYPE_CHECKING:
    from briarseam.discovery import model as discovery

# An endpoint that limits its rate to less than this is still asked so often,
# since only its answers tell when the limit ends.
MIN_RATE_PER_S = 0.25


class RateLimits(announced_limits.AnnouncedLimits):
    """Limits of endpoints, and this instance's part of them; thread-safe.

    Parameters
    ----------
    senders
        The instances that share an endpoint's rate.
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
            "endpoint_rate_limit", senders, clock, chance, malformed_counter
        )

    def with_room(
        self, endpoints: list[discovery.Endpoint]
    ) -> list[discovery.Endpoint]:
        """Return the endpoints to which this instance may send now."""
        if not self.states:
            return endpoints
        with self.lock:
            return [
                endpoint
                for endpoint in endpoints
                if self.wait_s(endpoint) <= 0
            ]

    def try_acquire(self, endpoint: discovery.Endpoint) -> bool:
        """Count a send to an endpoint; return if it may go."""
        if endpoint.id not in self.states:
            return True
        with self.lock:
            if self.wait_s(endpoint) > 0:
                return False
            state = self.states.get(endpoint.id)
            if state is not None:
                state.window.add(self.clock())
            return True

    def rate_per_s(self, endpoint: discovery.Endpoint) -> float:
        """Return the rate at which all instances together may send."""
        with self.lock:
            state = self.states.get(endpoint.id)
            return float("inf") if state is None else rate_of(state)

    # Requires the lock.

    def wait_s(self, endpoint: discovery.Endpoint) -> float:
        """Return the time until this instance may send to an endpoint.

        In seconds; infinite while it has no part of the rate.
        """
        now_s = self.clock()
        state = self.states.get(endpoint.id)
        if state is None or not announced_limits.is_in_force(state, now_s):
            return 0.0
        rate_per_s = rate_of(state)
        instances = max(1, self.senders.known_count())
        count = rate_sharing.sender_count(rate_per_s, instances)
        if not self.has_part(state, endpoint, count, now_s):
            return self.stale_wait_s(state, rate_per_s, now_s)
        allowance = rate_sharing.allowance_of(rate_per_s / count)
        # A process that has just started doesn't know what its former
        # process has sent.
        not_before_s = self.started_s + allowance.span_s
        return max(
            state.window.wait_s(allowance, now_s), not_before_s - now_s, 0.0
        )


def rate_of(state: announced_limits.LimitState) -> float:
    """Return the rate to share, in requests per second; more than 0."""
    return max(state.per_s, MIN_RATE_PER_S)
