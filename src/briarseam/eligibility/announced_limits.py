"""What instances learn of limits that endpoints name in their answers.

Instances that get no part of a limit learn from the others when it changes or
ends.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import random
import threading
import typing

import msgspec
import structlog

from briarseam import clocks
from briarseam import malformed
from briarseam.discovery import announcements
from briarseam.eligibility import heard_limits
from briarseam.eligibility import rate_sharing
from briarseam.eligibility import send_window

if typing.TYPE_CHECKING:
    from briarseam.discovery import model as discovery

# Without news of a limit for this long, the instances that get no part of it
# ask for themselves.
STALE_S = 5.0
# All of them together then use this share of the limit.
STALE_SHARE = 0.25
# Each instance keeps an ended limit for a random part of this time, so that
# not all of them turn to the endpoint at once.
RAMP_S = 1.0
# The end of a limit is remembered until all instances have heard of it.
KEEP_ENDED_S = RAMP_S + heard_limits.PUBLISH_S
# An endpoint may name another limit in each answer.
MIN_LOG_INTERVAL_S = 1.0
log = structlog.get_logger("briarseam.eligibility")


@dataclasses.dataclass
class LimitState:
    """What is known of the limit of one start of an endpoint.

    Attributes
    ----------
    per_s
        The limit in force.
    heard
        The last answer to any instance.
    ramp_share
        Random part of the ramp and of the first wait while news are stale,
        0 to 1.
    window
        Sends of this instance.
    logged_s
        When the limit was last logged.
    part_known_until_s, is_sender
        Whether this instance has a part of the rate, and until when that is
        not looked up again.
    """

    per_s: float
    heard: heard_limits.Heard
    ramp_share: float
    window: send_window.SendWindow = dataclasses.field(
        default_factory=send_window.SendWindow
    )
    logged_s: float = float("-inf")
    part_known_until_s: float = float("-inf")
    is_sender: bool = False


class AnnouncedLimits:
    """Limits of one kind that endpoints name; thread-safe.

    Parameters
    ----------
    event
        Name of the log line for a limit that begins, changes or ends.
    senders
        The instances that share a limit.
    clock
        Seconds.
    chance
        Returns random numbers from 0 to 1.
    malformed_counter
        Counts limits that can't be read.
    """

    def __init__(
        self,
        event: str,
        senders: rate_sharing.Senders,
        clock: typing.Callable[[], float] = clocks.boot_clock,
        chance: typing.Callable[[], float] = random.random,
        malformed_counter: malformed.Tally | None = None,
    ) -> None:
        self.event = event
        self.senders = senders
        self.clock = clock
        self.chance = chance
        self.malformed_counter = malformed_counter or malformed.Tally()
        self.started_s = clock()
        self.states: dict[str, LimitState] = {}
        # What this instance, and its cell, have heard from endpoints.
        self.own = heard_limits.HeardLimits()
        self.cell = heard_limits.HeardLimits()
        self.lock = threading.Lock()

    def record_answer(
        self,
        endpoint_id: str,
        limit: announcements.AnyRateLimit,
        sent_s: float,
    ) -> None:
        """Record what an answer to this instance says of the limit.

        Parameters
        ----------
        endpoint_id
            The endpoint's start.
        limit
            The limit that it names.
        sent_s
            When its request was sent, by the clock.
        """
        now_s = self.clock()
        match limit:
            case announcements.NoRateLimit():
                if endpoint_id in self.states:
                    # Answers may be held up on the way.  One that is older
                    # than the limit must not end it.
                    self.record_own(
                        endpoint_id, heard_limits.Heard(None, sent_s, now_s)
                    )
            case announcements.RateLimit(per_s):
                self.record_own(
                    endpoint_id, heard_limits.Heard(per_s, now_s, now_s)
                )
            case announcements.UnreadableRateLimit(text):
                # The former limit stays: the endpoint is still in need.
                self.malformed_counter.note(
                    malformed.Kind.ENDPOINT_ANSWER,
                    endpoint_id,
                    f"{self.event} {text!r}",
                )

    def record_own(self, endpoint_id: str, heard: heard_limits.Heard) -> None:
        """Record an answer to this instance."""
        with self.lock:
            self.own.add(endpoint_id, heard)
            self.cell.add(endpoint_id, heard)
            self.apply(endpoint_id, heard)

    def consume(self, member: str, data: bytes) -> None:
        """Apply what a peer of this cell has heard."""
        del member
        now_s = self.clock()
        rows = msgspec.msgpack.decode(data, type=list[heard_limits.Row])
        with self.lock:
            for row in rows:
                heard = heard_limits.from_row(row, now_s)
                self.cell.add(row[0], heard)
                self.apply(row[0], heard)

    def apply_remote(
        self, rows: collections.abc.Iterable[heard_limits.Row]
    ) -> None:
        """Apply what another cell has heard."""
        now_s = self.clock()
        with self.lock:
            for row in rows:
                self.apply(row[0], heard_limits.from_row(row, now_s))

    def provide(self) -> bytes:
        """Return what this instance has heard, for its peers."""
        with self.lock:
            return msgspec.msgpack.encode(self.own.rows(self.clock()))

    def cell_rows(self) -> list[heard_limits.Row]:
        """Return what this cell has heard, for other cells."""
        with self.lock:
            return self.cell.rows(self.clock())

    def keep_only(self, endpoint_ids: collections.abc.Collection[str]) -> None:
        """Drop what is known of all other endpoints, and ended limits."""
        now_s = self.clock()
        with self.lock:
            for endpoint_id, state in list(self.states.items()):
                ended = state.heard.per_s is None and (
                    now_s > state.heard.heard_s + KEEP_ENDED_S
                )
                if ended or endpoint_id not in endpoint_ids:
                    del self.states[endpoint_id]
            self.own.keep_only(self.states)
            self.cell.keep_only(self.states)

    def limited_count(self) -> int:
        """Return the number of endpoints whose limit is in force."""
        now_s = self.clock()
        with self.lock:
            return sum(
                is_in_force(state, now_s) for state in self.states.values()
            )

    # Helpers; they require the lock.

    def apply(self, endpoint_id: str, heard: heard_limits.Heard) -> None:
        """Apply what any instance has heard, unless it is outdated."""
        state = self.states.get(endpoint_id)
        if state is None:
            if heard.per_s is None:
                return
            state = LimitState(heard.per_s, heard, self.chance())
            self.states[endpoint_id] = state
            self.log_change(endpoint_id, state)
            return
        if heard.at_s < state.heard.at_s:
            return
        if heard.per_s is None and state.heard.per_s is None:
            # The ramp counts from the first answer without a limit.
            return
        changed = heard.per_s != state.heard.per_s
        state.heard = heard
        if heard.per_s is not None:
            state.per_s = heard.per_s
        if changed:
            self.log_change(endpoint_id, state)

    def log_change(self, endpoint_id: str, state: LimitState) -> None:
        """Log a limit; at most one line per endpoint and interval."""
        now_s = self.clock()
        if now_s < state.logged_s + MIN_LOG_INTERVAL_S:
            return
        state.logged_s = now_s
        log.info(
            self.event,
            endpoint=endpoint_id,
            per_s=state.heard.per_s,
            heard_ms_ago=round((now_s - state.heard.at_s) * heard_limits.MS),
            from_answer=self.own.by_endpoint.get(endpoint_id) is state.heard,
        )

    def stale_wait_s(
        self, state: LimitState, per_s: float, now_s: float
    ) -> float:
        """Return the time until an instance without a part asks for itself.

        In seconds; infinite while others tell of the limit.
        """
        if now_s < state.heard.at_s + STALE_S:
            return float("inf")
        part_per_s = per_s * STALE_SHARE / max(1, self.senders.known_count())
        allowance = rate_sharing.allowance_of(part_per_s)
        not_before_s = (
            state.heard.at_s + STALE_S + state.ramp_share / part_per_s
        )
        return max(
            state.window.wait_s(allowance, now_s), not_before_s - now_s, 0.0
        )

    def has_part(
        self,
        state: LimitState,
        endpoint: discovery.Endpoint,
        count: int,
        now_s: float,
    ) -> bool:
        """Return whether this instance has a part of an endpoint's rate.

        Looked up once per second: all instances are ranked for it.
        """
        if now_s >= state.part_known_until_s:
            state.part_known_until_s = now_s + 1.0
            state.is_sender = self.senders.is_sender(endpoint, count)
        return state.is_sender


def is_in_force(state: LimitState, now_s: float) -> bool:
    """Return whether a limit is in force, or has only just ended."""
    return state.heard.per_s is not None or (
        now_s < state.heard.heard_s + state.ramp_share * RAMP_S
    )
