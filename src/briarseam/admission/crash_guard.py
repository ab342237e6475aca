"""Limits a prompt that crashes endpoints to two of them."""

from __future__ import annotations

import dataclasses
import secrets
import threading
import time
import typing

from briarseam import verdict
from briarseam.admission import condemnation
from briarseam.admission import condemnation_records as records
from briarseam.admission import crash_messages as messages
from briarseam.admission import evidence
from briarseam.admission import messages as admission
from briarseam.admission import refusals

TRIAL_ID_BYTES = 12
TRIAL_WAIT_S = 0.4
MAX_GRANTS = 4
# A loss reaches all agents through the log within this time.
LOSS_PROPAGATION_S = 0.3
MIN_RETRY_AFTER_S = 1.0
MS = 1000.0
LOST_RESULTS = (
    admission.RunResult.LOST_BEFORE_FIRST,
    admission.RunResult.LOST_AFTER_FIRST,
)


class Peers(typing.Protocol):
    """The agents that share the guard's work, including this one."""

    def hold(self, query: messages.Hold) -> messages.Holding | None:
        """Query the prompt's owner; ``None`` if there is no reply."""

    def release(self, message: messages.Release) -> None:
        """Notify the prompt's owner; the message may be lost."""

    def request_trial(
        self, query: messages.AskTrial
    ) -> messages.TrialAnswered | None:
        """Query the trial coordinator; ``None`` if there is no reply."""

    def report(self, items: typing.Sequence[evidence.Item]) -> None:
        """Send evidence to the trial coordinator; it may be lost."""


class Endpoints(typing.Protocol):
    """What the guard needs to know about endpoints."""

    def boot_id(self, endpoint: str) -> str:
        """Return an endpoint's last reported boot id; empty if unknown."""

    def has_died(self, endpoint: str, boot_id: str) -> bool:
        """Query an endpoint and return whether that boot of it has ended."""

    def least_loaded(
        self, request: admission.Admit, version: str
    ) -> list[str]:
        """Return the engines that may run a prompt, least loaded first."""


class Granter(typing.Protocol):
    """Grants one prompt an endpoint."""

    def grant(self, only_endpoint: str, deadline: float) -> admission.Granted:
        """Grant any endpoint, or only the named one; raise a refusal."""

    def withdraw(self, granted: admission.Granted) -> None:
        """Withdraw a grant that has not been sent to an entry."""


@dataclasses.dataclass(frozen=True)
class PlacementRequest:
    """A prompt that is to be granted an endpoint.

    Attributes
    ----------
    prompt
        The prompt's identity.
    admit
        The entry's message.
    version
        Weight version that a continuation must keep, else empty.
    """

    prompt: evidence.PromptIdentity
    admit: admission.Admit
    version: str


@dataclasses.dataclass(frozen=True)
class WatchedRun:
    """A granted run that has not ended.

    Attributes
    ----------
    prompt, endpoint
        What runs where.
    boot_id
        The endpoint's boot id, as known at the time of the grant.
    group
        Run id under which its loss is counted.
    trial
        Whether the run is a trial.
    clears
        The losses that it clears by finishing, if it is a trial.
    """

    prompt: evidence.PromptIdentity
    endpoint: str
    boot_id: str
    group: str
    trial: bool = False
    clears: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class GuardParts:
    """Dependencies of the guard, wired by ``compose``.

    Attributes
    ----------
    evidence_set
        Evidence that this agent has.
    record
        Merges an item and queues it to be appended to the log.
    wait_ready
        Waits, for a bounded time after the start, for the first read of the
        log.
    peers
        The agents that share the guard's work.
    endpoints
        The endpoints.
    clock
        Monotonic seconds.
    """

    evidence_set: condemnation.EvidenceSet
    record: typing.Callable[[evidence.Item], None]
    wait_ready: typing.Callable[[], None]
    peers: Peers
    endpoints: Endpoints
    clock: typing.Callable[[], float] = time.monotonic


class CrashGuard:
    """Places prompts and watches the runs that this agent granted."""

    def __init__(self, parts: GuardParts) -> None:
        self.parts = parts
        self.runs: dict[str, WatchedRun] = {}
        self.lock = threading.Lock()

    def place(
        self, request: PlacementRequest, granter: Granter
    ) -> admission.Granted:
        """Grant a prompt an endpoint, unless it is condemned.

        Raises
        ------
        verdict.RefusalError
            With the final verdict.
        """
        self.parts.wait_ready()
        deadline = self.parts.clock() + request.admit.deadline_ms / MS
        if self.check_suspect(request):
            return self.place_suspect(request, granter, deadline)
        granted = self.place_unsuspected(request, granter, deadline)
        if granted is not None:
            return granted
        # The prompt's owner knows of a loss that has not reached this agent
        # yet, nor perhaps the trial coordinator if that has just changed.
        if not self.check_suspect(request):
            threading.Event().wait(LOSS_PROPAGATION_S)
            self.check_suspect(request)
        return self.place_suspect(request, granter, deadline)

    def check_suspect(self, request: PlacementRequest) -> bool:
        """Return whether a prompt is suspect.

        Raises
        ------
        verdict.RefusalError
            When the prompt is condemned.
        """
        standing = self.parts.evidence_set.standing(request.prompt.fingerprint)
        if isinstance(standing, condemnation.Condemned):
            remaining_ms = (
                standing.expires_at_ms - self.parts.evidence_set.now_ms()
            )
            names = ", ".join(loss.endpoint for loss in standing.losses)
            raise verdict.RefusalError(
                refusals.condemned(
                    names, max(remaining_ms / MS, MIN_RETRY_AFTER_S)
                )
            )
        return isinstance(standing, condemnation.Suspect)

    def place_unsuspected(
        self, request: PlacementRequest, granter: Granter, deadline: float
    ) -> admission.Granted | None:
        """Grant an endpoint, the one that already runs the prompt if any.

        Returns
        -------
        admission.Granted or None
            ``None`` if the prompt's owner knows that it is suspect.

        Raises
        ------
        verdict.RefusalError
            When there is no endpoint to grant, or the owner named another
            endpoint at each of ``MAX_GRANTS`` grants.
        """
        only_endpoint = ""
        for _ in range(MAX_GRANTS):
            granted = granter.grant(only_endpoint, deadline)
            holding = self.parts.peers.hold(
                messages.Hold(
                    request.prompt.fingerprint,
                    granted.run_id,
                    granted.endpoint,
                )
            )
            if holding is None:
                # The prompt runs without an owner; at worst, each of several
                # concurrent callers loses an endpoint.
                self.watch(request.prompt, granted, granted.run_id)
                return granted
            if holding.endpoint == granted.endpoint and not holding.suspect:
                self.watch(request.prompt, granted, holding.group)
                return granted
            granter.withdraw(granted)
            if holding.suspect or self.record_unreported_loss(
                request, holding
            ):
                return None
            only_endpoint = holding.endpoint
        raise verdict.RefusalError(refusals.suspect_waits(MIN_RETRY_AFTER_S))

    def record_unreported_loss(
        self, request: PlacementRequest, holding: messages.Holding
    ) -> bool:
        """Record the loss of the prompt's endpoint if it was not reported.

        The agent that granted the prompt's other run may have died along
        with the endpoint.  The caller then sends the prompt again, and its
        entry fails to reach the endpoint.

        Returns
        -------
        bool
            Whether the endpoint has died.

        Raises
        ------
        verdict.RefusalError
            When the entry lost the endpoint, but the endpoint is alive.
        """
        if holding.endpoint not in request.admit.lost:
            return False
        if not self.parts.endpoints.has_died(holding.endpoint, ""):
            raise verdict.RefusalError(
                refusals.suspect_waits(MIN_RETRY_AFTER_S)
            )
        self.record_loss(
            WatchedRun(request.prompt, holding.endpoint, "", holding.group)
        )
        self.parts.peers.release(
            messages.Release(
                request.prompt.fingerprint, holding.group, False, True
            )
        )
        return True

    def place_suspect(
        self, request: PlacementRequest, granter: Granter, deadline: float
    ) -> admission.Granted:
        """Grant a suspect its trial."""
        answer = self.await_trial(request, deadline)
        match answer.word:
            case messages.TrialDecision.CONDEMNED:
                for item in records.decode_items(answer.items):
                    self.parts.evidence_set.merge(item)
                self.check_suspect(request)
                raise verdict.RefusalError(
                    refusals.suspect_waits(MIN_RETRY_AFTER_S)
                )
            case messages.TrialDecision.BUSY:
                raise verdict.RefusalError(
                    refusals.suspect_waits(MIN_RETRY_AFTER_S)
                )
            case messages.TrialDecision.CLEAR:
                granted = granter.grant("", deadline)
                self.watch(request.prompt, granted, granted.run_id)
                return granted
        try:
            granted = granter.grant(answer.endpoint, deadline)
        except verdict.RefusalError:
            self.end_trial(answer.run)
            raise
        self.watch(request.prompt, granted, answer.run, True, answer.groups)
        return granted

    def await_trial(
        self, request: PlacementRequest, deadline: float
    ) -> messages.TrialAnswered:
        """Query the trial coordinator until it decides or time is up."""
        busy = messages.TrialAnswered(messages.TrialDecision.BUSY)
        trial = secrets.token_hex(TRIAL_ID_BYTES)
        while True:
            remaining_s = max(deadline - self.parts.clock(), 0.0)
            endpoints = self.parts.endpoints.least_loaded(
                request.admit, request.version
            )
            answer = self.parts.peers.request_trial(
                messages.AskTrial(
                    request.prompt.fingerprint,
                    request.prompt.organisation,
                    request.prompt.model,
                    trial,
                    tuple(endpoints),
                    min(remaining_s, TRIAL_WAIT_S),
                    records.encode_items(
                        self.parts.evidence_set.items_of(
                            request.prompt.fingerprint
                        )
                    ),
                )
            )
            if answer is not None and answer.word is not busy.word:
                return answer
            if not remaining_s:
                return busy
            if answer is None:
                threading.Event().wait(min(remaining_s, TRIAL_WAIT_S))
            else:
                # The coordinator may have ended a trial of this id because
                # it was not the first in the log.  Only a query whose reply
                # was lost is repeated with the same id.
                trial = secrets.token_hex(TRIAL_ID_BYTES)

    def watch(
        self,
        prompt: evidence.PromptIdentity,
        granted: admission.Granted,
        group: str,
        trial: bool = False,
        clears: tuple[str, ...] = (),
    ) -> None:
        """Watch a run until it ends."""
        run = WatchedRun(
            prompt,
            granted.endpoint,
            self.parts.endpoints.boot_id(granted.endpoint),
            group,
            trial,
            clears,
        )
        with self.lock:
            self.runs[granted.run_id] = run

    def started(self, run_id: str) -> None:
        """Handle the first new token of a run, which passes a trial."""
        run = self.runs.get(run_id)
        if run is not None and run.trial:
            self.publish(
                evidence.TrialPassed(
                    run.group, self.parts.evidence_set.now_ms()
                )
            )

    def ended(self, run_id: str, result: admission.RunResult) -> None:
        """Handle the end of a run, before its entry may send it again."""
        with self.lock:
            run = self.runs.pop(run_id, None)
        if run is None:
            return
        whole = result is admission.RunResult.DONE
        died = result in LOST_RESULTS and self.parts.endpoints.has_died(
            run.endpoint, run.boot_id
        )
        if died:
            self.record_loss(run)
        elif run.trial:
            self.end_trial(run.group)
            if whole:
                self.clear_losses(run)
        self.parts.peers.release(
            messages.Release(run.prompt.fingerprint, run_id, whole, died)
        )

    def record_loss(self, run: WatchedRun) -> None:
        """Publish that an endpoint died while it ran a prompt."""
        prompt = run.prompt
        lost = evidence.EndpointLost(
            prompt.fingerprint,
            prompt.organisation,
            prompt.model,
            run.endpoint,
            run.group,
            self.parts.evidence_set.now_ms(),
        )
        self.publish(lost)

    def clear_losses(self, run: WatchedRun) -> None:
        """Publish that a suspect finished its trial."""
        cleared = evidence.Cleared(
            run.prompt.fingerprint,
            run.prompt.organisation,
            run.clears,
            "",
            self.parts.evidence_set.now_ms(),
        )
        self.publish(cleared)

    def end_trial(self, group: str) -> None:
        """Publish that a trial is over."""
        self.publish(
            evidence.TrialEnded(group, self.parts.evidence_set.now_ms())
        )

    def publish(self, item: evidence.Item) -> None:
        """Record an item and report it to the trial coordinator at once."""
        self.parts.record(item)
        self.parts.peers.report((item,))
