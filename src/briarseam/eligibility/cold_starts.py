"""Limits on requests to endpoints that are warming up.

An endpoint that has just started tolerates few requests per second from all
instances together and crashes at a rate well above that.  A few instances,
the same ones for all, may therefore send to such an endpoint, and the others
use warm endpoints only; see :mod:`briarseam.eligibility.rate_sharing`.
"""

from __future__ import annotations

import dataclasses
import random
import threading
import typing

import structlog

from briarseam import clocks
from briarseam.eligibility import permissions
from briarseam.eligibility import rate_sharing
from briarseam.eligibility import send_window

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.discovery import model as discovery
    from briarseam.routes import model as routes

# Instances that may send to one cold endpoint.
SENDERS = 2
# While an instance joins or leaves, the instances may disagree on the
# senders; up to twice as many then send at once.
DISAGREEMENT_FACTOR = 2
# Each instance adds a random part of this share of the warm-up time, so that
# not all instances send to a zone at the moment when it turns warm.
RAMP_SHARE = 0.3
# Entries are read at least this often while the store answers.  Without them
# an instance does not notice that an endpoint has turned cold.
OUTDATED_AFTER_S = 2.5
# Share of the instances whose entries may be outdated at the same time.
OUTDATED_SHARE = 0.5
log = structlog.get_logger("briarseam.eligibility")


@dataclasses.dataclass(frozen=True)
class Limits:
    """Bounds on all instances' requests to one cold endpoint.

    Attributes
    ----------
    factor, slack
        An endpoint gets at most its tolerated rate times ``factor`` plus
        ``slack`` requests in any second.
    """

    factor: float = 1.5
    slack: float = 5.0

    def for_sender(self, rate_per_s: float) -> int:
        """Return the requests that one sender may send in a second."""
        bound = rate_per_s * self.factor + self.slack
        total = min(rate_per_s, bound / DISAGREEMENT_FACTOR)
        return int(total / SENDERS)

    def for_outdated(self, rate_per_s: float, instances: int) -> int:
        """Return what an instance with outdated entries may send in a second.

        Such instances share what the senders leave of the bound, since an
        endpoint may have turned cold without their knowledge.  A request in
        a second is always allowed: hundreds of instances send each endpoint
        far less than that.
        """
        bound = rate_per_s * self.factor + self.slack
        rest = bound - SENDERS * self.for_sender(rate_per_s)
        return max(1, int(rest / max(1.0, instances * OUTDATED_SHARE)))


@dataclasses.dataclass
class StartState:
    """What is known of one start of an endpoint.

    Attributes
    ----------
    cold_until_s
        Until when it is cold; ``None`` if that was never reported.
    ramp_share
        Random part of the ramp that this instance adds, 0 to 1.
    window
        Sends while it was cold.
    """

    cold_until_s: float | None
    ramp_share: float
    window: send_window.SendWindow = dataclasses.field(
        default_factory=send_window.SendWindow
    )


class ColdStarts:
    """Which endpoints are cold, and who may send to them; thread-safe.

    An endpoint that isn't known to be warm counts as cold.

    Parameters
    ----------
    senders
        The instances that may send to cold endpoints.
    limits
        Bounds on the requests to one cold endpoint.
    entries_age_s
        Returns the time since entries were last read, in seconds.
    clock
        Seconds.
    chance
        Returns random numbers from 0 to 1.
    """

    def __init__(
        self,
        senders: rate_sharing.Senders,
        limits: Limits,
        entries_age_s: typing.Callable[[], float] = lambda: 0.0,
        clock: typing.Callable[[], float] = clocks.boot_clock,
        chance: typing.Callable[[], float] = random.random,
    ) -> None:
        self.senders = senders
        self.limits = limits
        self.entries_age_s = entries_age_s
        self.clock = clock
        self.started_s = clock()
        self.chance = chance
        self.starts: dict[str, StartState] = {}
        self.released_s: dict[str, float] = {}
        self.lock = threading.Lock()

    # What is learned of endpoints.

    def record_entry(
        self, endpoint_id: str, cold_remaining_s: float | None
    ) -> None:
        """Record an entry that an endpoint has written.

        Parameters
        ----------
        endpoint_id
            The endpoint's start.
        cold_remaining_s
            How long it stays cold; ``None`` if it does not say.
        """
        with self.lock:
            state = self.state_of(endpoint_id)
            if cold_remaining_s is None:
                return
            now_s = self.clock()
            was_cold = now_s < (state.cold_until_s or 0.0)
            if cold_remaining_s > 0:
                state.cold_until_s = now_s + cold_remaining_s
            elif was_cold:
                state.cold_until_s = now_s
            elif state.cold_until_s is None:
                state.cold_until_s = float("-inf")
        if cold_remaining_s > 0 and not was_cold:
            log.info(
                "endpoint_cold",
                endpoint=endpoint_id,
                remaining_ms=round(cold_remaining_s * 1000),
            )

    def record_release(self, zone: str) -> None:
        """Record the end of a zone's evacuation; its endpoints are cold."""
        with self.lock:
            self.released_s[zone] = self.clock()

    def keep_only(self, endpoint_ids: collections.abc.Collection[str]) -> None:
        """Drop what is known of all other endpoints."""
        with self.lock:
            for endpoint_id in self.starts.keys() - set(endpoint_ids):
                del self.starts[endpoint_id]

    # What is decided.

    def permissions(
        self,
        endpoints: collections.abc.Iterable[discovery.Endpoint],
        cold: routes.ColdStart,
    ) -> list[permissions.Permission]:
        """Return for each endpoint whether this instance may send to it."""
        now_s = self.clock()
        is_outdated = self.is_outdated()
        found = []
        with self.lock:
            for endpoint in endpoints:
                state = self.state_of(endpoint.id)
                is_cold = now_s < self.cold_until_s(state, endpoint, cold)
                if not (is_cold or is_outdated):
                    found.append(permissions.Permission.UNLIMITED)
                elif (
                    not state.window.has_room(
                        self.allowance(is_cold, cold), now_s
                    )
                    or is_cold
                    and not self.is_sender(endpoint)
                ):
                    found.append(permissions.Permission.DENIED)
                else:
                    found.append(permissions.Permission.LIMITED)
        return found

    def try_acquire(
        self, endpoint: discovery.Endpoint, cold: routes.ColdStart
    ) -> bool:
        """Count a send to an endpoint with limits; return if it may go."""
        now_s = self.clock()
        with self.lock:
            state = self.state_of(endpoint.id)
            is_cold = now_s < self.cold_until_s(state, endpoint, cold)
            if not (is_cold or self.is_outdated()):
                return True
            if not state.window.has_room(self.allowance(is_cold, cold), now_s):
                return False
            state.window.add(now_s)
            return True

    def cold_remaining_s(
        self, endpoint: discovery.Endpoint, cold: routes.ColdStart
    ) -> float:
        """Return how long an endpoint stays cold, in seconds; at least 0."""
        with self.lock:
            state = self.state_of(endpoint.id)
            until_s = self.cold_until_s(state, endpoint, cold)
        return max(0.0, until_s - self.clock())

    def cold_count(self) -> int:
        """Return the number of endpoints that reported to be cold."""
        now_s = self.clock()
        with self.lock:
            return sum(
                state.cold_until_s is not None and state.cold_until_s > now_s
                for state in self.starts.values()
            )

    def is_outdated(self) -> bool:
        """Return whether an endpoint may have turned cold unnoticed."""
        return self.entries_age_s() > OUTDATED_AFTER_S

    # Helpers; they require the lock.

    def state_of(self, endpoint_id: str) -> StartState:
        """Return the state of a start, created at its first use."""
        state = self.starts.get(endpoint_id)
        if state is None:
            state = StartState(None, self.chance())
            self.starts[endpoint_id] = state
        return state

    def cold_until_s(
        self,
        state: StartState,
        endpoint: discovery.Endpoint,
        cold: routes.ColdStart,
    ) -> float:
        """Return until when this instance takes an endpoint for cold."""
        if state.cold_until_s is None:
            # Never reported: the start is new to this instance.
            state.cold_until_s = self.clock() + cold.duration_s
        until_s = state.cold_until_s
        released_s = self.released_s.get(endpoint.zone)
        if released_s is not None:
            until_s = max(until_s, released_s + cold.duration_s)
        return until_s + state.ramp_share * RAMP_SHARE * cold.duration_s

    def is_sender(self, endpoint: discovery.Endpoint) -> bool:
        """Return whether this instance may send to a cold endpoint.

        A process that has just started doesn't know what its former process
        sent within the last second.
        """
        if self.clock() < self.started_s + send_window.WINDOW_S:
            return False
        return self.senders.is_sender(endpoint, SENDERS)

    def allowance(
        self, is_cold: bool, cold: routes.ColdStart
    ) -> send_window.Allowance:
        """Return what this instance may send to an endpoint."""
        if is_cold:
            sends = self.limits.for_sender(cold.requests_per_s)
        else:
            sends = self.limits.for_outdated(
                cold.requests_per_s, self.senders.known_count()
            )
        return send_window.Allowance(sends)
