"""Losses of requests that may have another cause than the request.

When an instance loses its path to all endpoints, the requests under way are
lost at each of them.  A faulty endpoint may break off its answers and go on.
If these losses counted, callers who repeat a request would find it taken for
one that crashes endpoints, at all instances.
"""

from __future__ import annotations

import dataclasses
import enum
import threading
import typing

import structlog

from briarseam import clocks
from briarseam import repeating

if typing.TYPE_CHECKING:
    from briarseam.discovery import model as discovery
    from briarseam.forwarding import crash_guard
    from briarseam.metrics import instruments
    from briarseam.metrics import labels
    from briarseam.reachability import tracker

REVIEW_S = 0.1
# An answer that comes so long after a loss shows that the path is not lost,
# and that its endpoint has not crashed: both end all connections within a few
# milliseconds.
SETTLE_S = 0.2
# After this time a loss counts in any case; probes take half of it at most.
MAX_PENDING_S = 1.5
log = structlog.get_logger("briarseam.forwarding")


class Decision(enum.StrEnum):
    """What was decided on a loss."""

    COUNTED = "counted"
    NOT_COUNTED = "not-counted"


@dataclasses.dataclass(frozen=True)
class Loss:
    """A request that was lost at an endpoint.

    Attributes
    ----------
    digest
        Same for repeats of the request.
    endpoint
        The endpoint.
    at_s
        When it was lost, by the clock.
    """

    digest: bytes
    endpoint: discovery.Endpoint
    at_s: float


class PendingLosses:
    """Counts losses that the request may have caused; thread-safe.

    Parameters
    ----------
    guard
        Counts losses.
    reachability
        Tells whether the path is lost, and which endpoints answer.
    clock
        Seconds.
    decisions
        Counts decisions on losses, if given.
    """

    def __init__(
        self,
        guard: crash_guard.CrashGuard,
        reachability: tracker.Reachability,
        clock: typing.Callable[[], float] = clocks.boot_clock,
        decisions: labels.Family[instruments.Counter] | None = None,
    ) -> None:
        self.decisions = decisions
        self.guard = guard
        self.reachability = reachability
        self.clock = clock
        self.pending: list[Loss] = []
        self.lock = threading.Lock()
        self.reviews = repeating.Repeater(
            "pending-losses", self.review, REVIEW_S
        )

    def start(self) -> None:
        """Start counting."""
        self.reviews.start()

    def stop(self) -> None:
        """Stop counting."""
        self.reviews.stop()

    def add(self, digest: bytes, endpoint: discovery.Endpoint) -> None:
        """Add a request that was lost at an endpoint."""
        with self.lock:
            self.pending.append(Loss(digest, endpoint, self.clock()))

    def review(self) -> None:
        """Count or drop the losses whose cause is known by now."""
        with self.lock:
            pending, self.pending = self.pending, []
        kept = [loss for loss in pending if not self.is_settled(loss)]
        with self.lock:
            self.pending = kept + self.pending

    def is_settled(self, loss: Loss) -> bool:
        """Count or drop a loss; return whether its cause is known."""
        service = loss.endpoint.service
        settled_s = loss.at_s + SETTLE_S
        if self.reachability.cut_off_after(service, loss.at_s):
            self.record(loss, Decision.NOT_COUNTED, "the path was lost")
            return True
        if self.reachability.heard_from_after(loss.endpoint, settled_s):
            self.record(
                loss, Decision.NOT_COUNTED, "the endpoint has not crashed"
            )
            return True
        if self.reachability.heard_after(service, settled_s):
            self.guard.record_loss(loss.digest, loss.endpoint.id)
            self.record(loss, Decision.COUNTED, "other endpoints answer")
            return True
        if self.clock() - loss.at_s >= MAX_PENDING_S:
            self.guard.record_loss(loss.digest, loss.endpoint.id)
            self.record(loss, Decision.COUNTED, "no endpoint has answered")
            return True
        self.reachability.suspect(service)
        return False

    def record(self, loss: Loss, decision: Decision, reason: str) -> None:
        """Log and count a decision."""
        if self.decisions is not None:
            self.decisions.labelled(decision.value).add()
        counted = decision is Decision.COUNTED
        log.info(
            "loss_counted" if counted else "loss_not_counted",
            digest=loss.digest.hex(),
            endpoint=loss.endpoint.id,
            service=loss.endpoint.service,
            age_ms=round((self.clock() - loss.at_s) * 1000),
            peers_without_path=self.reachability.peers_without_path(
                loss.endpoint.service
            ),
            reason=reason,
        )
