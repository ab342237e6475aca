"""Trials of suspects, one at a time for a prompt and for an endpoint.

An innocent prompt that shared two dying endpoints with the guilty one would
be condemned with it.  So suspects are never tried at one endpoint together:
an endpoint that dies in a trial tells which of the suspects it was.  The
endpoint is free for the next trial at the first new token, when this one
has got further than before; held to the end, the answers that an endpoint's
death cut would wait for each other for minutes.  One agent keeps all
trials; an endpoint's death is rare.
"""

from __future__ import annotations

import threading
import typing

from briarseam.admission import condemnation
from briarseam.admission import condemnation_records as records
from briarseam.admission import crash_messages as messages
from briarseam.admission import evidence

CHECK_S = 0.05
WRITE_S = 0.5


class Endpoints(typing.Protocol):
    """What the keeper needs to know of endpoints."""

    def boot_id(self, endpoint: str) -> str:
        """Return the start that an endpoint last told; empty if none."""

    def has_died(self, endpoint: str, boot_id: str) -> bool:
        """Ask an endpoint whether it is still the same start."""


class Log(typing.Protocol):
    """What the keeper needs of the log."""

    def record(self, item: evidence.Item) -> None:
        """Take in what was found here, and have it appended."""

    def wait_in_log(self, trial: evidence.Trial, timeout_s: float) -> bool:
        """Wait until a trial that was noted is read back from the log.

        ``False`` when it is not, though the log is there.
        """


class TrialCoordinator:
    """Grants trials while this agent is their keeper; thread-safe.

    Parameters
    ----------
    evidence_set
        What is known.
    log
        Takes in items and has them appended to the log.
    endpoints
        The endpoints.
    """

    def __init__(
        self,
        evidence_set: condemnation.EvidenceSet,
        log: Log,
        endpoints: Endpoints,
    ) -> None:
        self.evidence_set = evidence_set
        self.log = log
        self.endpoints = endpoints
        self.changed = threading.Condition()

    def ask(self, ask: messages.AskTrial) -> messages.TrialAnswered:
        """Grant a trial, after a wait if need be.

        The trial stands in the log before it begins, after the loss that
        made it one.  Should it take down its endpoint and all agents be
        replaced in the same moment, those that come after find both there,
        the trial without an end.  On a busy machine the log may answer
        late: then the trial does not begin.
        """
        if ask.items:
            self.take(records.decode_items(ask.items))
        answer = self.await_place(ask)
        trial = self.evidence_set.trials.get(ask.run)
        if answer.word is not messages.TrialWord.GRANTED or trial is None:
            return answer
        written = self.log.wait_in_log(trial, WRITE_S)
        if written and self.evidence_set.comes_first(trial):
            return answer
        # It comes first for another agent that keeps trials too: this
        # agent, or that one, was taken for dead by a part of the others.
        now_ms = self.evidence_set.now_ms()
        self.log.record(evidence.TrialEnded(trial.group, now_ms))
        return messages.TrialAnswered(messages.TrialWord.BUSY)

    def await_place(self, ask: messages.AskTrial) -> messages.TrialAnswered:
        """Answer as soon as the prompt's turn has come, or time is up."""
        left_s = ask.wait_s
        self.settle(ask.fingerprint)
        with self.changed:
            answer = self.answer(ask)
            while answer.word is messages.TrialWord.BUSY and left_s > 0:
                self.changed.wait(CHECK_S)
                left_s -= CHECK_S
                answer = self.answer(ask)
            return answer

    def settle(self, fingerprint: str) -> None:
        """Count a trial's endpoint as lost if it died and nobody said so.

        All agents may be replaced in the moment after a trial took its
        endpoint down; their trial stands in the log without an end, and
        would run out into one more.
        """
        for trial in self.evidence_set.running_trials():
            if trial.fingerprint != fingerprint:
                continue
            if self.endpoints.has_died(trial.endpoint, trial.boot_id):
                lost = evidence.EndpointLost(
                    trial.fingerprint,
                    trial.organisation,
                    trial.model,
                    trial.endpoint,
                    trial.group,
                    self.evidence_set.now_ms(),
                )
                self.log.record(lost)

    def answer(self, ask: messages.AskTrial) -> messages.TrialAnswered:
        """Answer as things are now; call it under ``changed``."""
        match self.evidence_set.standing(ask.fingerprint):
            case condemnation.Clear():
                return messages.TrialAnswered(messages.TrialWord.CLEAR)
            case condemnation.Condemned(losses):
                return messages.TrialAnswered(
                    messages.TrialWord.CONDEMNED,
                    items=records.encode_items(losses),
                )
            case condemnation.Suspect(groups):
                return self.grant(ask, groups)

    def grant(
        self, ask: messages.AskTrial, groups: tuple[str, ...]
    ) -> messages.TrialAnswered:
        """Grant a trial at the best endpoint that has none."""
        running = self.evidence_set.running_trials()
        for trial in running:
            # The answer that granted it was lost.
            if trial.group == ask.run:
                return messages.TrialAnswered(
                    messages.TrialWord.GRANTED, ask.run, trial.endpoint, groups
                )
        free = self.free_endpoints(ask)
        prompts = {trial.fingerprint for trial in running}
        if ask.fingerprint in prompts or not free:
            return messages.TrialAnswered(messages.TrialWord.BUSY)
        trial = evidence.Trial(
            ask.fingerprint,
            ask.organisation,
            ask.model,
            free[0],
            ask.run,
            self.evidence_set.now_ms(),
            self.endpoints.boot_id(free[0]),
        )
        # Whoever saw the loss may be gone before it has written it.
        for item in self.evidence_set.of_prompt(ask.fingerprint):
            self.log.record(item)
        self.log.record(trial)
        return messages.TrialAnswered(
            messages.TrialWord.GRANTED, ask.run, trial.endpoint, groups
        )

    def free_endpoints(self, ask: messages.AskTrial) -> list[str]:
        """Return where a trial may begin, those without any suspect first.

        A suspect whose trial has passed still runs, and would lose its
        second endpoint with a guilty prompt that is tried beside it.
        """
        guarded = self.evidence_set.guarded_endpoints()
        tried = self.evidence_set.tried_endpoints()
        free = [name for name in ask.endpoints if name not in guarded]
        return sorted(free, key=lambda name: name in tried)

    def take(self, items: typing.Iterable[evidence.Item]) -> None:
        """Take in what another agent found."""
        with self.changed:
            for item in items:
                self.evidence_set.merge(item)
            self.changed.notify_all()
