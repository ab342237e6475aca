"""Keeping a request that crashes endpoints to two of them."""

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

TRIAL_BYTES = 12
TRIAL_WAIT_S = 0.4
MAX_TURNS = 4
# News of a loss reach all agents by the log within this.
NEWS_S = 0.3
MIN_RETRY_S = 1.0
MS = 1000.0
LOST = (
    admission.RunResult.LOST_BEFORE_FIRST,
    admission.RunResult.LOST_AFTER_FIRST,
)


class Others(typing.Protocol):
    """The agents that share the work, this one included."""

    def hold(self, ask: messages.Hold) -> messages.Holding | None:
        """Ask the prompt's owner; ``None`` when it does not answer."""

    def release(self, told: messages.Release) -> None:
        """Tell the prompt's owner; may be lost."""

    def ask_trial(
        self, ask: messages.AskTrial
    ) -> messages.TrialAnswered | None:
        """Ask the keeper of trials; ``None`` when it does not answer."""

    def accuse(self, items: typing.Sequence[evidence.Item]) -> None:
        """Tell the keeper of trials; may be lost."""


class Endpoints(typing.Protocol):
    """What the guard needs to know of endpoints."""

    def boot_id(self, endpoint: str) -> str:
        """Return the start that an endpoint last told; empty if none."""

    def has_died(self, endpoint: str, boot_id: str) -> bool:
        """Ask an endpoint whether it is still the same start."""

    def least_loaded(
        self, request: admission.Admit, version: str
    ) -> list[str]:
        """Return the engines that may run a prompt, the idlest first."""


class Placing(typing.Protocol):
    """How a prompt is granted an endpoint."""

    def grant(self, only: str, deadline: float) -> admission.Granted:
        """Grant any endpoint, or the named one; raise a refusal."""

    def withdraw(self, granted: admission.Granted) -> None:
        """Take a grant back that was told to nobody."""


@dataclasses.dataclass(frozen=True)
class Asked:
    """A prompt that wants an endpoint.

    Attributes
    ----------
    case
        By what it is known.
    request
        What was asked.
    version
        Weight version that a continuation must keep, else empty.
    """

    case: evidence.PromptIdentity
    request: admission.Admit
    version: str


@dataclasses.dataclass(frozen=True)
class Watched:
    """A granted run.

    Attributes
    ----------
    case, endpoint
        What runs where.
    boot_id
        The endpoint's start as known at the grant.
    group
        Under which run id its loss is counted.
    clears
        The losses that it clears by finishing, if it is a trial.
    trial
        Whether it is one.
    """

    case: evidence.PromptIdentity
    endpoint: str
    boot_id: str
    group: str
    trial: bool = False
    clears: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class GuardParts:
    """What the guard works with, wired by ``compose``.

    Attributes
    ----------
    evidence_set
        What is known.
    note
        Takes in items and has them appended to the log.
    wait_ready
        Waits, for a bounded time after the start, for the log's news.
    others, endpoints
        See each.
    clock
        Monotonic seconds.
    """

    evidence_set: condemnation.EvidenceSet
    record: typing.Callable[[evidence.Item], None]
    wait_ready: typing.Callable[[], None]
    others: Others
    endpoints: Endpoints
    clock: typing.Callable[[], float] = time.monotonic


class CrashGuard:
    """Watches the runs that this agent granted."""

    def __init__(self, parts: GuardParts) -> None:
        self.parts = parts
        self.watched: dict[str, Watched] = {}
        self.lock = threading.Lock()

    def place(self, asked: Asked, placing: Placing) -> admission.Granted:
        """Grant a prompt an endpoint, if it may run at all.

        Raises
        ------
        verdict.RefusalError
            With the final verdict.
        """
        self.parts.wait_ready()
        deadline = self.parts.clock() + asked.request.deadline_ms / MS
        if self.is_suspect(asked):
            return self.place_suspect(asked, placing, deadline)
        granted = self.place_fresh(asked, placing, deadline)
        if granted is not None:
            return granted
        # Its owner knows of a loss that has not reached this agent, nor
        # perhaps the keeper of trials, should that have changed just now.
        if not self.is_suspect(asked):
            threading.Event().wait(NEWS_S)
            self.is_suspect(asked)
        return self.place_suspect(asked, placing, deadline)

    def is_suspect(self, asked: Asked) -> bool:
        """Tell whether a prompt is suspect; raise if it is condemned."""
        standing = self.parts.evidence_set.standing(asked.case.fingerprint)
        if isinstance(standing, condemnation.Condemned):
            left_ms = standing.expires_at_ms - self.parts.evidence_set.now_ms()
            names = ", ".join(loss.endpoint for loss in standing.losses)
            raise verdict.RefusalError(
                refusals.condemned(names, max(left_ms / MS, MIN_RETRY_S))
            )
        return isinstance(standing, condemnation.Suspect)

    def place_fresh(
        self, asked: Asked, placing: Placing, deadline: float
    ) -> admission.Granted | None:
        """Grant an endpoint, the one where the prompt runs already if so.

        ``None`` when the prompt is suspect after all.
        """
        only = ""
        for _ in range(MAX_TURNS):
            granted = placing.grant(only, deadline)
            holding = self.parts.others.hold(
                messages.Hold(
                    asked.case.fingerprint, granted.run_id, granted.endpoint
                )
            )
            if holding is None:
                # With no owner to be had the prompt runs: at worst each of
                # several callers at once loses an endpoint.
                self.watch(asked.case, granted, granted.run_id)
                return granted
            if holding.endpoint == granted.endpoint and not holding.suspect:
                self.watch(asked.case, granted, holding.group)
                return granted
            placing.withdraw(granted)
            if holding.suspect or self.died_unnoticed(asked, holding):
                return None
            only = holding.endpoint
        raise verdict.RefusalError(refusals.suspect_waits(MIN_RETRY_S))

    def died_unnoticed(self, asked: Asked, holding: messages.Holding) -> bool:
        """Tell whether the prompt's endpoint died and nobody said so.

        The agent that granted the prompt's other run may have died as
        well; the caller sends again, and finds the endpoint dead.
        """
        if holding.endpoint not in asked.request.lost:
            return False
        if not self.parts.endpoints.has_died(holding.endpoint, ""):
            raise verdict.RefusalError(refusals.suspect_waits(MIN_RETRY_S))
        self.accuse(Watched(asked.case, holding.endpoint, "", holding.group))
        self.parts.others.release(
            messages.Release(
                asked.case.fingerprint, holding.group, False, True
            )
        )
        return True

    def place_suspect(
        self, asked: Asked, placing: Placing, deadline: float
    ) -> admission.Granted:
        """Grant a suspect its trial."""
        answer = self.await_trial(asked, deadline)
        match answer.word:
            case messages.TrialWord.CONDEMNED:
                for item in records.decode_items(answer.items):
                    self.parts.evidence_set.merge(item)
                self.is_suspect(asked)
                raise verdict.RefusalError(refusals.suspect_waits(MIN_RETRY_S))
            case messages.TrialWord.BUSY:
                raise verdict.RefusalError(refusals.suspect_waits(MIN_RETRY_S))
            case messages.TrialWord.CLEAR:
                granted = placing.grant("", deadline)
                self.watch(asked.case, granted, granted.run_id)
                return granted
        try:
            granted = placing.grant(answer.endpoint, deadline)
        except verdict.RefusalError:
            self.end_trial(answer.run)
            raise
        self.watch(asked.case, granted, answer.run, True, answer.groups)
        return granted

    def await_trial(
        self, asked: Asked, deadline: float
    ) -> messages.TrialAnswered:
        """Ask the keeper until it grants, condemns, or time is up."""
        busy = messages.TrialAnswered(messages.TrialWord.BUSY)
        trial = secrets.token_hex(TRIAL_BYTES)
        while True:
            left_s = max(deadline - self.parts.clock(), 0.0)
            endpoints = self.parts.endpoints.least_loaded(
                asked.request, asked.version
            )
            answer = self.parts.others.ask_trial(
                messages.AskTrial(
                    asked.case.fingerprint,
                    asked.case.organisation,
                    asked.case.model,
                    trial,
                    tuple(endpoints),
                    min(left_s, TRIAL_WAIT_S),
                    records.encode_items(
                        self.parts.evidence_set.of_prompt(
                            asked.case.fingerprint
                        )
                    ),
                )
            )
            if answer is not None and answer.word is not busy.word:
                return answer
            if not left_s:
                return busy
            if answer is None:
                threading.Event().wait(min(left_s, TRIAL_WAIT_S))
            else:
                # The name may have been given up with a trial that was not
                # the first; only one whose answer was lost is asked again.
                trial = secrets.token_hex(TRIAL_BYTES)

    def watch(
        self,
        case: evidence.PromptIdentity,
        granted: admission.Granted,
        group: str,
        trial: bool = False,
        clears: tuple[str, ...] = (),
    ) -> None:
        """Remember a run until it ends."""
        watched = Watched(
            case,
            granted.endpoint,
            self.parts.endpoints.boot_id(granted.endpoint),
            group,
            trial,
            clears,
        )
        with self.lock:
            self.watched[granted.run_id] = watched

    def started(self, run_id: str) -> None:
        """Take in that a run gave a new token."""
        watched = self.watched.get(run_id)
        if watched is not None and watched.trial:
            self.tell(
                evidence.TrialPassed(
                    watched.group, self.parts.evidence_set.now_ms()
                )
            )

    def ended(self, run_id: str, result: admission.RunResult) -> None:
        """Take in how a run ended, before its entry may ask again."""
        with self.lock:
            watched = self.watched.pop(run_id, None)
        if watched is None:
            return
        whole = result is admission.RunResult.DONE
        died = result in LOST and self.parts.endpoints.has_died(
            watched.endpoint, watched.boot_id
        )
        if died:
            self.accuse(watched)
        elif watched.trial:
            self.end_trial(watched.group)
            if whole:
                self.clear(watched)
        self.parts.others.release(
            messages.Release(watched.case.fingerprint, run_id, whole, died)
        )

    def accuse(self, watched: Watched) -> None:
        """Tell of an endpoint that died with a prompt."""
        case = watched.case
        lost = evidence.EndpointLost(
            case.fingerprint,
            case.organisation,
            case.model,
            watched.endpoint,
            watched.group,
            self.parts.evidence_set.now_ms(),
        )
        self.tell(lost)

    def clear(self, watched: Watched) -> None:
        """Tell that a suspect finished elsewhere."""
        cleared = evidence.Cleared(
            watched.case.fingerprint,
            watched.case.organisation,
            watched.clears,
            "",
            self.parts.evidence_set.now_ms(),
        )
        self.tell(cleared)

    def end_trial(self, group: str) -> None:
        """Tell that a trial is over."""
        self.tell(evidence.TrialEnded(group, self.parts.evidence_set.now_ms()))

    def tell(self, item: evidence.Item) -> None:
        """Have an item appended, and tell the keeper of trials at once."""
        self.parts.record(item)
        self.parts.others.accuse((item,))
