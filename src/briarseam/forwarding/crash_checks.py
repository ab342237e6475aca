"""Checks of requests that may crash the endpoints that run them."""

from __future__ import annotations

import dataclasses
import typing

import structlog

from briarseam import clocks
from briarseam import verdict
from briarseam.forwarding import attempts
from briarseam.forwarding import loss_counts
from briarseam.forwarding import outcomes
from briarseam.forwarding import refusing
from briarseam.forwarding import suspicion
from briarseam.forwarding import trial_messages as messages
from briarseam.forwarding import trial_requests

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.discovery import model as discovery
    from briarseam.forwarding import crash_guard
    from briarseam.forwarding import pending_losses
    from briarseam.forwarding import supervision

# An endpoint that crashes when it begins to answer has ended so long after
# the first event.
SETTLE_S = 0.2
MS = 1000
log = structlog.get_logger("briarseam.forwarding")


@dataclasses.dataclass
class CrashState:
    """What is known of a request in view of crashes.

    Attributes
    ----------
    request
        Id of the request.
    digest
        Same for repeats of the request.
    parts
        Ids of the shared parts of its prompt, by key.
    trial
        Keys of the suspected parts that the request tries.
    began_s
        When the first event of the present attempt came, by the boot clock;
        ``None`` before it.
    is_recorded
        Whether the present attempt has cleared its parts.
    """

    request: str
    digest: bytes
    parts: dict[bytes, str] = dataclasses.field(default_factory=dict)
    trial: frozenset[bytes] = frozenset()
    began_s: float | None = None
    is_recorded: bool = False


class CrashChecks:
    """Refuses requests that seem to crash endpoints, and counts losses.

    Parameters
    ----------
    guard
        Counts losses by repeats of a request.
    parts
        Counts losses by part of a prompt.
    losses
        Decides which losses count.
    trials
        Asks for trials of suspected parts.
    clock
        Seconds.

    Attributes
    ----------
    on_trial_lost
        Called with the keys of the parts of a prompt that was lost as a
        trial.
    """

    def __init__(
        self,
        guard: crash_guard.CrashGuard,
        parts: loss_counts.LossCounts,
        losses: pending_losses.PendingLosses,
        trials: trial_requests.TrialRequests,
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.guard = guard
        self.parts = parts
        self.losses = losses
        self.trials = trials
        self.clock = clock
        self.on_trial_lost: typing.Callable[[frozenset[bytes]], None] = ignore

    # Before a request is sent.

    def refusal_on_arrival(self, state: CrashState) -> verdict.NotRun | None:
        """Return the refusal of a request that can't be sent now."""
        if self.guard.is_refused(state.digest):
            return refusing.CONDEMNED
        suspects = self.suspects(state.parts)
        if not suspects:
            return None
        refused = self.trials.refusal(suspects)
        if refused is None:
            return None
        return self.refuse_parts(state, suspects, refused)

    def refusal_of_send(self, state: CrashState) -> verdict.NotRun | None:
        """Return the refusal of a request that is about to be sent.

        It is asked before each send: losses may have been learned while the
        request waited, or was tried elsewhere.
        """
        if self.guard.is_refused(state.digest):
            return refusing.CONDEMNED
        if self.losses.is_suspect(state.digest):
            return refusing.SUSPECTED
        suspects = self.suspects(state.parts)
        if suspects.keys() <= state.trial:
            return None
        refused = self.trials.begin(suspects)
        if refused is not None:
            return self.refuse_parts(state, suspects, refused)
        state.trial = frozenset(suspects)
        return None

    def suspects(
        self, parts: collections.abc.Iterable[bytes]
    ) -> dict[bytes, float]:
        """Return which parts are suspected, and when each was last lost.

        Losses that are not decided yet count as well, unless a part was
        answered lately: then they rather have another cause.
        """
        counted = set(self.parts.suspects(parts))
        found = {}
        for part in parts:
            undecided_s = {}
            if not self.parts.is_answered(part):
                undecided_s = self.losses.undecided_s(part)
            endpoints = self.parts.endpoints_of(part) | undecided_s.keys()
            if part in counted or (
                undecided_s
                and len(endpoints) >= suspicion.LOST_ENDPOINTS_LIMIT
            ):
                found[part] = max(
                    [self.parts.last_lost_s(part), *undecided_s.values()]
                )
        return found

    def refuse_parts(
        self,
        state: CrashState,
        suspects: collections.abc.Mapping[bytes, float],
        refused: trial_requests.Refused,
    ) -> verdict.NotRun:
        """Return the refusal of a prompt with suspected parts."""
        self.parts.record_refusal(suspects)
        ids = ", ".join(state.parts[part] for part in suspects)
        endpoints = max(len(self.parts.endpoints_of(one)) for one in suspects)
        return verdict.NotRun(
            verdict.Reason.CONDEMNED,
            f"{endpoints} endpoints were lost with part {ids}, which none has "
            "answered since",
            refused.retry_after_s,
        )

    # While a request is sent, and after.

    def record_start(self, state: CrashState) -> None:
        """Record that a request is sent to an endpoint."""
        state.began_s = None
        state.is_recorded = False

    def record_first_event(self, state: CrashState) -> None:
        """Record the first event of the present attempt."""
        state.began_s = self.clock()

    def record_data(self, state: CrashState) -> None:
        """Record that the endpoint sends on."""
        if state.is_recorded or state.began_s is None:
            return
        if self.clock() - state.began_s >= SETTLE_S:
            self.record_answer(state, state.began_s)

    def record_answer(self, state: CrashState, began_s: float) -> None:
        """Record that an endpoint goes on after it began to answer."""
        state.is_recorded = True
        trial, state.trial = state.trial, frozenset()
        self.parts.record_answer(state.parts, began_s)
        if trial:
            self.trials.end(trial, messages.TrialEnd.ANSWERED)

    def record_outcome(
        self,
        state: CrashState,
        endpoint: discovery.Endpoint,
        outcome: outcomes.Outcome,
        sent_s: float,
    ) -> None:
        """Record how an attempt ended.

        Parameters
        ----------
        state
            The request.
        endpoint
            The endpoint that it was sent to.
        outcome
            How that ended.
        sent_s
            When it was sent, by the boot clock.
        """
        match outcome:
            case outcomes.Answered(status):
                self.guard.record_answer(state.digest)
                if status < attempts.SUCCESS_END and not state.is_recorded:
                    self.record_answer(state, state.began_s or sent_s)
            case outcomes.Broken():
                self.record_loss(state, endpoint)
                trial, state.trial = state.trial, frozenset()
                if trial:
                    self.trials.end(trial, messages.TrialEnd.LOST)
                    self.on_trial_lost(trial)
            case outcomes.Unreached():
                # The trial has reached no endpoint; the next one is part of
                # it.
                return
            case outcomes.Rejected(attempts.MISDIRECTED):
                return
            case _:
                state.trial = frozenset()

    def record_abandoned(
        self,
        state: CrashState,
        endpoint: discovery.Endpoint,
        ending: supervision.Ending,
        sent_s: float,
    ) -> None:
        """Record that a request was ended at an endpoint before its outcome.

        Parameters
        ----------
        state
            The request.
        endpoint
            The endpoint that may still run it.
        ending
            Why it was ended.
        sent_s
            When it was sent, by the boot clock.
        """
        state.trial = frozenset()
        log.info(
            "request_abandoned",
            request=state.request,
            digest=state.digest.hex(),
            endpoint=endpoint.id,
            ending=ending.value,
            after_ms=round((self.clock() - sent_s) * MS),
            shared_parts=list(state.parts.values()),
            events_sent=state.began_s is not None,
        )

    def record_loss(
        self, state: CrashState, endpoint: discovery.Endpoint
    ) -> None:
        """Record that a request was lost at an endpoint."""
        blamed: tuple[bytes, ...] = ()
        # Otherwise the endpoint has begun to answer, and gone on.
        if not state.is_recorded:
            blamed = self.parts.blamed(state.parts)
        log.info(
            "request_lost",
            request=state.request,
            digest=state.digest.hex(),
            endpoint=endpoint.id,
            shared_parts=list(state.parts.values()),
            blamed_parts=[state.parts[part] for part in blamed],
            events_sent=state.began_s is not None,
        )
        self.losses.add(state.digest, endpoint, blamed)

    def end_trial(self, state: CrashState) -> None:
        """Tell of a trial that the request did not use."""
        if state.trial:
            self.trials.end(state.trial, messages.TrialEnd.UNUSED)
            state.trial = frozenset()


def ignore(parts: frozenset[bytes]) -> None:
    """Do not record a lost trial; the default of the callback."""
