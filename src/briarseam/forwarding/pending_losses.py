"""Losses of requests that may have another cause than the request.

When an instance loses its path to all endpoints, the requests under way are
lost at each of them.  A faulty endpoint may break off its answers and go on.
If these losses counted, callers who repeat a request would find it taken for
one that crashes endpoints, at all instances.

A service without endpoints that answer looks the same if a request has
crashed all of them.  Only what the endpoints' entries at the store show
afterwards tells the two apart, so until then such a loss is held.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import threading
import typing

import msgspec
import structlog

from briarseam import clocks
from briarseam import repeating
from briarseam.discovery import model as discovery
from briarseam.discovery import starts
from briarseam.forwarding import abandoned_attempts
from briarseam.forwarding import loss_counts
from briarseam.forwarding import loss_keys
from briarseam.forwarding import suspicion

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.metrics import instruments
    from briarseam.metrics import labels
    from briarseam.reachability import tracker

REVIEW_S = 0.1
# An answer that comes so long after a loss shows that the path is not lost,
# and that its endpoint has not crashed: both end all connections within a few
# milliseconds.
SETTLE_S = 0.2
# After this time a loss counts unless the path seems lost; probes take half
# of it at most.
MAX_PENDING_S = 1.5
# The entry of an endpoint that has crashed expires after so many intervals
# between its heartbeats.
ENTRY_HEARTBEATS = 3
# Reads of entries may be behind by so much beyond that.
ENTRY_LAG_S = 3.0
DEFAULT_HEARTBEAT_S = 1.2
# How long a loss is tracked while nothing shows whether it counts.
MAX_TRACKED_S = 60.0
# Bounds the losses that are tracked: a few waves in which all requests of an
# instance are lost.
MAX_TRACKED = 1000
# Bounds the losses that heartbeats carry.
MAX_PUBLISHED = 100
MS = 1000
log = structlog.get_logger("briarseam.forwarding")


class Decision(enum.StrEnum):
    """What is decided on a loss, as far as is known."""

    PENDING = "pending"
    HELD = "held"
    # Another instance lost the request; it counts here if the endpoint ends.
    AT_PEER = "at-peer"
    # The same of what an instance had recorded before this one started.
    RECORDED = "recorded"
    COUNTED = "counted"
    NOT_COUNTED = "not-counted"


PUBLISHED = frozenset({Decision.HELD, Decision.COUNTED})
OF_OTHERS = frozenset({Decision.AT_PEER, Decision.RECORDED})
UNDECIDED = OF_OTHERS | {Decision.PENDING, Decision.HELD}
# A request that an instance has lost with its path is not refused by others.
OWN_UNDECIDED = UNDECIDED - {Decision.AT_PEER}


class EndpointEntries(typing.Protocol):
    """What the endpoints' entries at the store tell of their starts."""

    def is_read(self) -> bool:
        """Return whether entries have been read at all."""

    def is_known(self, endpoint_id: str) -> bool:
        """Return whether a start may be running."""

    def observed_s(self, endpoint_id: str, since_s: float) -> float:
        """Return for how long a start's entry was read without a gap."""


@dataclasses.dataclass
class Loss:
    """A request that was lost at an endpoint.

    Attributes
    ----------
    digest
        Key of the request.
    endpoint
        The endpoint.
    at_s
        When it was lost, by the clock.
    decision
        What is decided so far.
    parts
        Keys of the parts of its prompt that the loss speaks against.
    was_abandoned
        Whether the request was ended before its endpoint was lost, so that it
        may not have run there any more.
    """

    digest: bytes
    endpoint: discovery.Endpoint
    at_s: float
    decision: Decision = Decision.PENDING
    parts: tuple[bytes, ...] = ()
    was_abandoned: bool = False

    @property
    def keys(self) -> tuple[bytes, ...]:
        """Keys of all that the loss speaks against."""
        return (self.digest, *self.parts)


class PublishedLoss(msgspec.Struct, array_like=True, frozen=True):
    """A loss as heartbeats carry it.

    Attributes
    ----------
    digest, endpoint, service, parts
        What was lost where.
    age_ms
        Time since then, in milliseconds.
    """

    digest: bytes
    endpoint: str
    service: str
    age_ms: int
    parts: tuple[bytes, ...] = ()


class PendingLosses:
    """Counts losses that the request may have caused; thread-safe.

    Parameters
    ----------
    counts
        Counts losses by key.
    reachability
        Tells whether the path is lost, and which endpoints answer.
    entries
        Tells which endpoints have ended.
    clock
        Seconds.
    heartbeat_s
        Interval at which endpoints renew their entries, in seconds.
    decisions
        Counts decisions on losses, if given.

    Attributes
    ----------
    on_decided
        Called after losses have been held or counted, to publish them.
    on_added
        Called after this instance has lost a request.
    """

    def __init__(
        self,
        counts: loss_counts.LossCounts,
        reachability: tracker.Reachability,
        entries: EndpointEntries,
        clock: typing.Callable[[], float] = clocks.boot_clock,
        heartbeat_s: float = DEFAULT_HEARTBEAT_S,
        decisions: labels.Family[instruments.Counter] | None = None,
    ) -> None:
        self.decisions = decisions
        self.counts = counts
        self.reachability = reachability
        self.entries = entries
        self.clock = clock
        self.expiry_s = ENTRY_HEARTBEATS * heartbeat_s + ENTRY_LAG_S
        self.on_decided: typing.Callable[[], None] = ignore
        self.on_added: typing.Callable[[], None] = ignore
        self.tracked: collections.deque[Loss] = collections.deque(
            maxlen=MAX_TRACKED
        )
        self.abandoned = abandoned_attempts.AbandonedAttempts(
            reachability, clock
        )
        self.lock = threading.Lock()
        self.reviewing = threading.Lock()
        self.reviews = repeating.Repeater(
            "pending-losses", self.review, REVIEW_S
        )

    def start(self) -> None:
        """Start counting."""
        self.reviews.start()

    def stop(self) -> None:
        """Stop counting."""
        self.reviews.stop()

    @property
    def pending(self) -> list[Loss]:
        """Losses whose cause is not known yet."""
        unknown = (Decision.PENDING, Decision.HELD)
        return [loss for loss in self.snapshot() if loss.decision in unknown]

    def add(
        self,
        digest: bytes,
        endpoint: discovery.Endpoint,
        parts: tuple[bytes, ...] = (),
    ) -> None:
        """Add a request that was lost at an endpoint.

        Parameters
        ----------
        digest
            Key of the request.
        endpoint
            The endpoint.
        parts
            Keys of the parts of its prompt that the loss speaks against.
        """
        now_s = self.clock()
        beside = self.abandoned.take_ended_with(endpoint.id, now_s)
        with self.lock:
            self.tracked.append(Loss(digest, endpoint, now_s, parts=parts))
        self.track_abandoned(beside)
        self.on_added()

    def add_abandoned(
        self,
        digest: bytes,
        endpoint: discovery.Endpoint,
        parts: tuple[bytes, ...],
        is_stopping: bool,
    ) -> None:
        """Add a request that was ended before its endpoint answered.

        Parameters
        ----------
        digest
            Key of the request.
        endpoint
            The endpoint, which may still run it.
        parts
            Keys of the parts of its prompt that a loss would speak against.
        is_stopping
            Whether this instance ends before that shows.
        """
        attempt = abandoned_attempts.Attempt(
            digest, endpoint, self.clock(), parts
        )
        if is_stopping:
            self.track_abandoned([attempt], Decision.HELD)
            self.on_added()
            self.on_decided()
        else:
            self.abandoned.add(attempt)

    def track_abandoned(
        self,
        attempts: collections.abc.Iterable[abandoned_attempts.Attempt],
        decision: Decision = Decision.PENDING,
    ) -> None:
        """Track attempts as losses whose endpoint has ended since."""
        with self.lock:
            self.tracked.extend(
                Loss(
                    one.digest,
                    one.endpoint,
                    one.at_s,
                    decision,
                    one.parts,
                    was_abandoned=True,
                )
                for one in attempts
            )

    def adopt(self, key: bytes, endpoint: str, at_s: float) -> None:
        """Track a loss that was recorded by this or another instance.

        Parameters
        ----------
        key
            Key of the request or part.
        endpoint
            Id of the endpoint.
        at_s
            When it was lost, by the clock.
        """
        start = discovery.Endpoint(endpoint, "", "", "", 0)
        with self.lock:
            self.tracked.append(Loss(key, start, at_s, Decision.RECORDED))

    def undecided(self) -> loss_counts.Lost:
        """Return when keys were lost in losses that are not decided yet."""
        return {
            (key, loss.endpoint.id): loss.at_s
            for loss in self.snapshot()
            if loss.decision in UNDECIDED
            for key in loss.keys
        }

    def snapshot(self) -> list[Loss]:
        """Return the tracked losses."""
        with self.lock:
            return list(self.tracked)

    def suspects(
        self, keys: collections.abc.Collection[bytes]
    ) -> dict[bytes, float]:
        """Return the suspects among keys, and when each was last lost.

        Losses that are not decided yet count as well, unless a key was
        answered lately: then they rather have another cause.
        """
        counted = self.counts.suspects(keys)
        found = {}
        for key in keys:
            undecided_s = self.undecided_s(key)
            endpoints = self.counts.endpoints_of(key) | undecided_s.keys()
            if key in counted or (
                undecided_s
                and len(endpoints) >= suspicion.LOST_ENDPOINTS_LIMIT
            ):
                found[key] = max(
                    [self.counts.last_lost_s(key), *undecided_s.values()]
                )
        return found

    def undecided_s(self, key: bytes) -> dict[str, float]:
        """Return when a key was lost at endpoints that may have ended.

        For parts, losses of peers are included: they may hold what an
        instance that has lost nothing itself would send on.
        """
        if self.counts.is_answered(key):
            return {}
        undecided = UNDECIDED
        if loss_keys.is_request(key):
            undecided = OWN_UNDECIDED
        return {
            loss.endpoint.id: loss.at_s
            for loss in self.snapshot()
            if key in loss.keys and loss.decision in undecided
        }

    def review(self) -> None:
        """Decide on the tracked losses by what is known by now."""
        with self.reviewing:
            is_news = self.review_all()
        if is_news:
            self.on_decided()

    def review_all(self) -> bool:
        """Decide on all tracked losses; return whether peers must know."""
        is_news = False
        ended = self.abandoned.take_ended(self.has_ended)
        if ended:
            self.track_abandoned(ended)
            self.on_added()
        for loss in self.snapshot():
            decision, reason = self.decide(loss)
            if decision is not loss.decision:
                self.apply(loss, decision, reason)
                is_news = is_news or decision in PUBLISHED
        with self.lock:
            kept = [loss for loss in self.tracked if not self.is_final(loss)]
            self.tracked = collections.deque(kept, MAX_TRACKED)
        return is_news

    def has_ended(self, endpoint_id: str) -> bool:
        """Return whether an endpoint has ended, as far as entries tell."""
        return self.entries.is_read() and not self.entries.is_known(
            endpoint_id
        )

    def decide(self, loss: Loss) -> tuple[Decision, str]:
        """Return the decision on a loss and its grounds."""
        decided = self.decide_by_start(loss)
        if decided is not None:
            return decided
        if loss.decision is Decision.COUNTED or loss.decision in OF_OTHERS:
            return loss.decision, ""
        return self.decide_by_path(loss)

    def decide_by_start(self, loss: Loss) -> tuple[Decision, str] | None:
        """Decide by whether the endpoint's start has ended, if that shows."""
        age_s = self.clock() - loss.at_s
        if not self.entries.is_read():
            return None
        if not self.entries.is_known(loss.endpoint.id):
            if loss.decision is Decision.NOT_COUNTED and age_s > self.expiry_s:
                # It has ended long after the loss.
                return loss.decision, ""
            return Decision.COUNTED, "the endpoint has ended"
        if loss.decision is Decision.COUNTED and not has_birth(loss.endpoint):
            # Another start may have the same id.
            return loss.decision, ""
        settled_s = loss.at_s + SETTLE_S
        if self.reachability.heard_from_after(loss.endpoint, settled_s):
            return Decision.NOT_COUNTED, "the endpoint has not crashed"
        observed_s = self.entries.observed_s(loss.endpoint.id, loss.at_s)
        if observed_s >= self.expiry_s:
            return Decision.NOT_COUNTED, "the endpoint has kept its entry"
        return None

    def decide_by_path(self, loss: Loss) -> tuple[Decision, str]:
        """Decide by whether the path to the service was lost as well."""
        service = loss.endpoint.service
        if self.reachability.cut_off_after(service, loss.at_s):
            return Decision.HELD, "no endpoint can be reached"
        if loss.was_abandoned and not self.reachability.has_failed(
            loss.endpoint
        ):
            # Only the end of the endpoint connects the two.
            return loss.decision, ""
        if self.reachability.heard_after(service, loss.at_s + SETTLE_S):
            return Decision.COUNTED, "other endpoints answer"
        if self.clock() - loss.at_s >= MAX_PENDING_S:
            return Decision.COUNTED, "no endpoint has answered"
        self.reachability.suspect(service)
        return Decision.PENDING, ""

    def is_final(self, loss: Loss) -> bool:
        """Return whether nothing can change the decision on a loss."""
        age_s = self.clock() - loss.at_s
        if age_s >= MAX_TRACKED_S and self.entries.is_read():
            return True
        match loss.decision:
            case Decision.NOT_COUNTED:
                return age_s >= self.expiry_s
            case Decision.COUNTED:
                is_told = age_s >= self.expiry_s
                return is_told and not has_birth(loss.endpoint)
        return False

    def provide(self) -> bytes:
        """Return the losses that peers must track as well, encoded.

        An instance that ends, or starts again, would take what it holds with
        it.
        """
        now_s = self.clock()
        rows = [
            PublishedLoss(
                loss.digest,
                loss.endpoint.id,
                loss.endpoint.service,
                round((now_s - loss.at_s) * MS),
                loss.parts,
            )
            for loss in self.snapshot()
            if loss.decision in PUBLISHED and now_s - loss.at_s < self.expiry_s
        ]
        return msgspec.msgpack.encode(rows[-MAX_PUBLISHED:])

    def consume(self, member: str, data: bytes) -> None:
        """Track the losses of a peer."""
        del member
        rows = msgspec.msgpack.decode(data, type=list[PublishedLoss])
        now_s = self.clock()
        with self.lock:
            known = {(one.digest, one.endpoint.id) for one in self.tracked}
            self.tracked.extend(
                Loss(
                    row.digest,
                    discovery.Endpoint(row.endpoint, row.service, "", "", 0),
                    now_s - row.age_ms / MS,
                    Decision.AT_PEER,
                    row.parts,
                )
                for row in rows
                if (row.digest, row.endpoint) not in known
            )

    def apply(self, loss: Loss, decision: Decision, reason: str) -> None:
        """Apply, log and count a decision on a loss."""
        if decision is Decision.COUNTED:
            self.count(loss)
        elif loss.decision is Decision.COUNTED:
            for key in loss.keys:
                self.counts.withdraw_loss(key, loss.endpoint.id)
        loss.decision = decision
        if self.decisions is not None:
            self.decisions.labelled(decision.value).add()
        log.info(
            f"loss_{decision.value.replace('-', '_')}",
            digest=loss.digest.hex(),
            endpoint=loss.endpoint.id,
            service=loss.endpoint.service,
            age_ms=round((self.clock() - loss.at_s) * 1000),
            peers_without_path=self.reachability.peers_without_path(
                loss.endpoint.service
            ),
            reason=reason,
        )

    def count(self, loss: Loss) -> None:
        """Count a loss; the instance that lost it tells other cells."""
        is_own = loss.decision not in OF_OTHERS
        for key in loss.keys:
            if is_own:
                self.counts.record_loss(key, loss.endpoint.id, loss.at_s)
            else:
                self.counts.add_loss(key, loss.endpoint.id, loss.at_s)


def has_birth(endpoint: discovery.Endpoint) -> bool:
    """Return whether an endpoint's id tells its starts apart."""
    return endpoint.start.born_ms != starts.UNKNOWN_MS


def ignore() -> None:
    """Do nothing; the default of the callback."""
