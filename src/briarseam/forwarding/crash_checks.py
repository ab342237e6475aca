"""Checks of requests that may crash the endpoints that run them."""

from __future__ import annotations

import dataclasses
import typing

import structlog

from briarseam import clocks
from briarseam import verdict
from briarseam.crashes import loss_keys
from briarseam.crashes import trial_messages as messages
from briarseam.crashes import trial_requests
from briarseam.forwarding import attempts
from briarseam.forwarding import outcomes
from briarseam.forwarding import refusing
from briarseam.forwarding import supervision

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.crashes import loss_counts
    from briarseam.crashes import pending_losses
    from briarseam.discovery import model as discovery
    from briarseam.forwarding import calls

# An endpoint that crashes when it begins to answer has ended so long after
# the first event.
SETTLE_S = 0.2
# How long a trial goes on after its caller has left: an answer would free
# requests whose callers always leave.  Endpoints must stop after half a
# second.
TRIAL_GRACE_S = 0.4
GIVEN_UP = "given-up"
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
        Key of the request, the same for its repeats.
    parts
        Ids of the shared parts of its prompt, by key.
    common_parts
        The same by the keys of all organisations, if the caller's has keys of
        its own.  They are checked, but its losses don't count against them.
    trial
        The trial that the request is, as long as its end is not told.
    began_s
        When the first event of the present attempt came, by the boot clock;
        ``None`` before it.
    is_recorded
        Whether the present attempt has cleared its parts.
    """

    request: str
    digest: bytes
    parts: dict[bytes, str] = dataclasses.field(default_factory=dict)
    common_parts: dict[bytes, str] = dataclasses.field(default_factory=dict)
    trial: trial_requests.Granted | None = None
    began_s: float | None = None
    is_recorded: bool = False

    @property
    def keys(self) -> tuple[bytes, ...]:
        """Keys of the request and of the shared parts of its prompt."""
        return (self.digest, *self.all_parts)

    @property
    def all_parts(self) -> dict[bytes, str]:
        """Ids of the shared parts by any of their keys."""
        return self.parts | self.common_parts


class CrashChecks:
    """Refuses requests that seem to crash endpoints, and counts losses.

    Parameters
    ----------
    counts
        Counts losses by request and by part of a prompt.
    losses
        Decides which losses count.
    trials
        Asks for trials of suspects.
    clock
        Seconds.

    Attributes
    ----------
    is_settled
        Returns whether it is known what other instances have lost.
    """

    def __init__(
        self,
        counts: loss_counts.LossCounts,
        losses: pending_losses.PendingLosses,
        trials: trial_requests.TrialRequests,
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.counts = counts
        self.losses = losses
        self.trials = trials
        self.clock = clock
        self.is_settled: typing.Callable[[], bool] = is_always_settled

    # Before a request is sent.

    def refusal_on_arrival(self, state: CrashState) -> verdict.NotRun | None:
        """Return the refusal of a request that can't be sent now."""
        if not self.is_settled():
            return refusing.NOT_SETTLED
        suspects = self.losses.suspects(state.keys)
        if not suspects:
            return None
        refused = self.trials.refusal(suspects)
        if refused is None:
            return None
        return self.refuse(state, suspects, refused)

    def is_suspected(self, state: CrashState) -> bool:
        """Return whether a request or a part of its prompt is suspected."""
        return bool(self.losses.suspects(state.keys))

    def refusal_of_send(self, state: CrashState) -> verdict.NotRun | None:
        """Return the refusal of a request that is about to be sent.

        It is asked before each send: losses may have been learned while the
        request waited, or was tried elsewhere.
        """
        suspects = self.losses.suspects(state.keys)
        if not suspects:
            return None
        if state.trial is not None and suspects.keys() <= state.trial.keys:
            return None
        match self.trials.begin(suspects):
            case trial_requests.Refused() as refused:
                return self.refuse(state, suspects, refused)
            case trial_requests.Granted(keys=keys) as granted if keys:
                state.trial = granted
        return None

    def refuse(
        self,
        state: CrashState,
        suspects: collections.abc.Mapping[bytes, float],
        refused: trial_requests.Refused,
    ) -> verdict.NotRun:
        """Return the refusal of a request that is suspected, or its parts."""
        self.counts.record_refusal(suspects)
        known = state.all_parts
        parts = [part for part in known if part in suspects]
        if not parts:
            usual = refusing.SUSPECTED
            if self.trials.ledger.has_tried(suspects):
                usual = refusing.CONDEMNED
            return dataclasses.replace(
                usual, retry_after_s=refused.retry_after_s
            )
        ids = ", ".join(dict.fromkeys(known[part] for part in parts))
        endpoints = max(len(self.counts.endpoints_of(one)) for one in parts)
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
        """Record that an endpoint goes on after it began to answer.

        That clears the parts of the prompt.  The request itself may still
        crash its endpoint, until it is answered completely.
        """
        state.is_recorded = True
        self.counts.record_answer(state.all_parts, began_s)
        if state.trial is None:
            return
        requests = loss_keys.only_requests(state.trial.keys)
        cleared = state.trial.keys - requests
        if cleared:
            ended = messages.TrialEnd.ANSWERED
            self.trials.end(state.trial, ended, cleared)
        rest = trial_requests.Granted(state.trial.id, requests)
        state.trial = rest if requests else None

    def record_complete_answer(self, state: CrashState) -> None:
        """Record that an endpoint has answered a request completely."""
        self.counts.record_answer((state.digest,), self.clock())
        if state.trial is None:
            return
        if state.digest in state.trial.keys:
            ended = messages.TrialEnd.ANSWERED
            keys = loss_keys.only_requests(state.trial.keys)
            self.trials.end(state.trial, ended, keys)

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
                if status < attempts.SUCCESS_END and not state.is_recorded:
                    self.record_answer(state, state.began_s or sent_s)
                self.record_complete_answer(state)
                state.trial = None
            case outcomes.Failed(head):
                if head.status not in attempts.NOT_RUN_STATUSES:
                    self.record_complete_answer(state)
                state.trial = None
            case outcomes.Broken(given_up=True):
                # The endpoint goes on, unless it crashes a moment later.
                self.abandon(state, endpoint, GIVEN_UP, sent_s)
            case outcomes.Broken():
                self.record_loss(state, endpoint)
                trial, state.trial = state.trial, None
                if trial is not None:
                    self.trials.end(trial, messages.TrialEnd.LOST)
            case outcomes.Unreached() | outcomes.Withheld():
                # The trial has reached no endpoint; the next one is part of
                # it.
                return
            case outcomes.Rejected(attempts.MISDIRECTED):
                return
            case _:
                state.trial = None

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
        is_stopping = ending is supervision.Ending.CUT_OFF
        self.abandon(state, endpoint, ending.value, sent_s, is_stopping)

    def abandon(
        self,
        state: CrashState,
        endpoint: discovery.Endpoint,
        reason: str,
        sent_s: float,
        is_stopping: bool = False,
    ) -> None:
        """Track an attempt that this instance has ended.

        Parameters
        ----------
        state
            The request.
        endpoint
            The endpoint that may still run it.
        reason
            Why it was ended, for the log.
        sent_s
            When it was sent, by the boot clock.
        is_stopping
            Whether this instance stops.
        """
        state.trial = None
        log.info(
            "request_abandoned",
            request=state.request,
            digest=state.digest.hex(),
            endpoint=endpoint.id,
            ending=reason,
            after_ms=round((self.clock() - sent_s) * MS),
            shared_parts=list(state.parts.values()),
            events_sent=state.began_s is not None,
        )
        self.losses.add_abandoned(
            state.digest,
            endpoint,
            self.blamed(state),
            is_stopping,
        )

    def blamed(self, state: CrashState) -> tuple[bytes, ...]:
        """Return the parts that a loss of a request speaks against."""
        if state.is_recorded:
            # The endpoint has begun to answer, and gone on.
            return ()
        return self.counts.blamed(tuple(state.parts))

    def record_loss(
        self, state: CrashState, endpoint: discovery.Endpoint
    ) -> None:
        """Record that a request was lost at an endpoint."""
        blamed = self.blamed(state)
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
        if state.trial is not None:
            self.trials.end(state.trial, messages.TrialEnd.UNUSED)
            state.trial = None


def is_always_settled() -> bool:
    """Return that nothing more is to be learned; the default."""
    return True


def keys_of_parts(
    prompt: calls.Prompt | None, isolated_organisation: str
) -> dict[bytes, str]:
    """Return the ids of a prompt's shared parts, by key.

    Keys of an isolated organisation are its own, so that its losses neither
    refuse the prompts of others nor tell of them.  Its prompts are checked by
    the keys of the others as well: what was lost before it was isolated
    counts against them.

    Parameters
    ----------
    prompt
        The prompt; ``None`` for a request without one.
    isolated_organisation
        Name of the caller's organisation if it is isolated, else empty.
    """
    if prompt is None:
        return {}
    return {
        loss_keys.key_of_part(
            prompt.model, isolated_organisation, part.id
        ): part.id
        for part in prompt.shared
    }
