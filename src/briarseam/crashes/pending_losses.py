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
import threading
import typing

import msgspec
import structlog

from briarseam import clocks
from briarseam import repeating
from briarseam.crashes import abandoned_attempts
from briarseam.crashes import loss_counts
from briarseam.crashes import loss_decisions
from briarseam.crashes import loss_times
from briarseam.crashes import suspicion
from briarseam.crashes import undecided
from briarseam.discovery import model as discovery

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.metrics import instruments
    from briarseam.metrics import labels
    from briarseam.reachability import tracker

REVIEW_S = 0.1
# Bounds the losses that are tracked: a few waves in which all requests of an
# instance are lost.
MAX_TRACKED = 1000
# Bounds the losses that heartbeats carry.
MAX_PUBLISHED = 100
MS = 1000
log = structlog.get_logger("briarseam.forwarding")


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
        Called after this instance has lost a request, and after the
        repeated attempts have changed.
    """

    def __init__(
        self,
        counts: loss_counts.LossCounts,
        reachability: tracker.Reachability,
        entries: loss_decisions.EndpointEntries,
        clock: typing.Callable[[], float] = clocks.boot_clock,
        heartbeat_s: float = loss_decisions.DEFAULT_HEARTBEAT_S,
        decisions: labels.Family[instruments.Counter] | None = None,
    ) -> None:
        self.decisions = decisions
        self.counts = counts
        self.reachability = reachability
        self.entries = entries
        self.clock = clock
        self.rules = loss_decisions.LossDecisions(
            reachability, entries, clock, heartbeat_s
        )
        self.on_decided: typing.Callable[[], None] = ignore
        self.on_added: typing.Callable[[], None] = ignore
        self.tracked: collections.deque[loss_decisions.Loss] = (
            collections.deque(maxlen=MAX_TRACKED)
        )
        self.abandoned = abandoned_attempts.AbandonedAttempts(
            reachability, clock
        )
        # The repeated attempts of the last review.
        self.repeated: frozenset[tuple[bytes, str]] = frozenset()
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
    def pending(self) -> list[loss_decisions.Loss]:
        """Losses whose cause is not known yet."""
        unknown = (
            loss_decisions.Decision.PENDING,
            loss_decisions.Decision.HELD,
        )
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
            self.tracked.append(
                loss_decisions.Loss(digest, endpoint, now_s, parts=parts)
            )
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
            self.track_abandoned([attempt], loss_decisions.Decision.HELD)
            self.on_added()
            self.on_decided()
        else:
            self.abandoned.add(attempt)

    def track_abandoned(
        self,
        attempts: collections.abc.Iterable[abandoned_attempts.Attempt],
        decision: loss_decisions.Decision = loss_decisions.Decision.PENDING,
    ) -> None:
        """Track attempts as losses whose endpoint has ended since."""
        with self.lock:
            self.tracked.extend(
                loss_decisions.Loss(
                    one.digest,
                    one.endpoint,
                    one.at_s,
                    decision,
                    one.parts,
                    was_abandoned=True,
                )
                for one in attempts
            )

    def adopt(
        self,
        key: bytes,
        endpoint: str,
        at_s: float,
        was_abandoned: bool = False,
    ) -> None:
        """Track a loss that was recorded by this or another instance.

        Parameters
        ----------
        key
            Key of the request or part.
        endpoint
            Id of the endpoint.
        at_s
            When it was lost, by the clock.
        was_abandoned
            Whether it is an attempt that was ended early; it counts only once
            entries show that the endpoint has ended.
        """
        start = discovery.Endpoint(endpoint, "", "", "", 0)
        with self.lock:
            self.tracked.append(
                loss_decisions.Loss(
                    key,
                    start,
                    at_s,
                    loss_decisions.Decision.RECORDED,
                    was_abandoned=was_abandoned,
                )
            )

    def undecided(self) -> loss_times.Lost:
        """Return when keys were lost in losses that are not decided yet."""
        return {
            (key, loss.endpoint.id): loss.at_s
            for loss in self.snapshot()
            if loss.decision in loss_decisions.UNDECIDED
            and not is_recorded_attempt(loss)
            for key in loss.keys
        }

    def repeated_attempts(self) -> loss_times.Lost:
        """Return when requests were ended early that were so elsewhere, too.

        A request that was lost at another endpoint is a repeat as well.  All
        instances may end before anything shows that the endpoint of such an
        attempt has crashed.
        """
        attempts = self.abandoned.unexplained()
        lost = set()
        for loss in self.snapshot():
            if is_recorded_attempt(loss):
                attempts[loss.digest, loss.endpoint.id] = loss.at_s
            elif loss.decision is not loss_decisions.Decision.NOT_COUNTED:
                lost.add(loss.digest)
        endpoints = collections.Counter(key for key, _endpoint in attempts)
        return {
            (key, endpoint): at_s
            for (key, endpoint), at_s in attempts.items()
            if (endpoints[key] > 1 or key in lost)
            and not self.counts.is_answered(key)
        }

    def snapshot(self) -> list[loss_decisions.Loss]:
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
        """Return when a key was lost at endpoints that may have ended."""
        if self.counts.is_answered(key):
            return {}
        losses = undecided.believed(
            key, self.snapshot(), self.counts, self.reachability
        )
        return {loss.endpoint.id: loss.at_s for loss in losses}

    def review(self) -> None:
        """Decide on the tracked losses by what is known by now."""
        with self.reviewing:
            is_news = self.review_all()
        if is_news:
            self.on_decided()

    def review_all(self) -> bool:
        """Decide on all tracked losses; return whether peers must know."""
        is_news = False
        ended = self.abandoned.take_ended(self.rules.has_ended)
        self.track_abandoned(ended)
        repeated = frozenset(self.repeated_attempts())
        if ended or repeated != self.repeated:
            self.repeated = repeated
            self.on_added()
        for loss in self.snapshot():
            decision, reason = self.rules.decide(loss)
            if decision is not loss.decision:
                self.apply(loss, decision, reason)
                is_news = is_news or decision in loss_decisions.PUBLISHED
        with self.lock:
            kept = [
                loss for loss in self.tracked if not self.rules.is_final(loss)
            ]
            self.tracked = collections.deque(kept, MAX_TRACKED)
        return is_news

    def provide(self) -> bytes:
        """Return the losses that peers must track as well, encoded.

        An instance that ends, or starts again, would take what it holds with
        it.
        """
        now_s = self.clock()
        losses = [
            loss
            for loss in self.snapshot()
            if loss.decision in loss_decisions.PUBLISHED
            and now_s - loss.at_s < self.rules.expiry_s
        ]
        repeats = collections.Counter(loss.digest for loss in losses)
        losses.sort(key=lambda loss: (-repeats[loss.digest], -loss.at_s))
        return msgspec.msgpack.encode(
            [
                PublishedLoss(
                    loss.digest,
                    loss.endpoint.id,
                    loss.endpoint.service,
                    round((now_s - loss.at_s) * MS),
                    loss.parts,
                )
                for loss in losses[:MAX_PUBLISHED]
            ]
        )

    def consume(self, member: str, data: bytes) -> None:
        """Track the losses of a peer."""
        rows = msgspec.msgpack.decode(data, type=list[PublishedLoss])
        now_s = self.clock()
        with self.lock:
            # A peer's loss says more than a recorded attempt: it has parts.
            known = {
                (one.digest, one.endpoint.id)
                for one in self.tracked
                if not is_recorded_attempt(one)
            }
            news = [
                loss_decisions.Loss(
                    row.digest,
                    discovery.Endpoint(row.endpoint, row.service, "", "", 0),
                    now_s - row.age_ms / MS,
                    loss_decisions.Decision.AT_PEER,
                    row.parts,
                    peer=member,
                )
                for row in rows
                if (row.digest, row.endpoint) not in known
            ]
            self.tracked.extend(news)
        for loss in news:
            self.record_decision(loss, "a peer has lost it")

    def apply(
        self,
        loss: loss_decisions.Loss,
        decision: loss_decisions.Decision,
        reason: str,
    ) -> None:
        """Apply, log and count a decision on a loss."""
        if decision is loss_decisions.Decision.COUNTED:
            self.count(loss)
        elif loss.decision is loss_decisions.Decision.COUNTED:
            for key in loss.keys:
                self.counts.withdraw_loss(key, loss.endpoint.id)
        loss.decision = decision
        self.record_decision(loss, reason)

    def record_decision(self, loss: loss_decisions.Loss, reason: str) -> None:
        """Log and count what is decided on a loss."""
        if self.decisions is not None:
            self.decisions.labelled(loss.decision.value).add()
        log.info(
            f"loss_{loss.decision.value.replace('-', '_')}",
            digest=loss.digest.hex(),
            endpoint=loss.endpoint.id,
            service=loss.endpoint.service,
            peer=loss.peer,
            age_ms=round((self.clock() - loss.at_s) * MS),
            peers_without_path=self.reachability.peers_without_path(
                loss.endpoint.service
            ),
            reason=reason,
        )

    def count(self, loss: loss_decisions.Loss) -> None:
        """Count a loss; the instance that lost it tells other cells."""
        is_own = loss.decision not in loss_decisions.OF_OTHERS
        for key in loss.keys:
            if is_own:
                self.counts.record_loss(key, loss.endpoint.id, loss.at_s)
            else:
                self.counts.add_loss(key, loss.endpoint.id, loss.at_s)


def is_recorded_attempt(loss: loss_decisions.Loss) -> bool:
    """Return whether a loss is a recorded attempt, of unknown outcome."""
    return (
        loss.was_abandoned
        and loss.decision is loss_decisions.Decision.RECORDED
    )


def ignore() -> None:
    """Do nothing; the default of the callback."""
