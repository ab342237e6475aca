"""Trials of suspects, one at a time for a prompt and for an endpoint.

A harmless prompt that shared two dying endpoints with the prompt that crashes
them would be condemned along with it.  Suspects are therefore never tried
together at one endpoint: an endpoint that dies in a trial shows which of the
suspects was the cause.  The endpoint is free for the next trial at the first
new token, when the current trial has got past the earlier point of failure.
If trials occupied it until they end, the answers that an endpoint's death
cut off would wait for each other for minutes.  One agent coordinates all
trials, as deaths of endpoints are rare.
"""

from __future__ import annotations

import threading
import typing

from briarseam.admission import condemnation
from briarseam.admission import condemnation_records as records
from briarseam.admission import crash_messages as messages
from briarseam.admission import evidence

POLL_S = 0.05
LOG_WAIT_S = 0.5


class Endpoints(typing.Protocol):
    """What the coordinator needs to know about endpoints."""

    def boot_id(self, endpoint: str) -> str:
        """Return an endpoint's last reported boot id; empty if unknown."""

    def has_died(self, endpoint: str, boot_id: str) -> bool:
        """Query an endpoint and return whether that boot of it has ended."""


class Log(typing.Protocol):
    """What the coordinator needs of the log."""

    def record(self, item: evidence.Item) -> None:
        """Merge local evidence and queue it to be appended."""

    def wait_in_log(self, trial: evidence.Trial, timeout_s: float) -> bool:
        """Wait until a recorded trial is read back from the log.

        Returns
        -------
        bool
            ``False`` if the log is available but the trial is not read back
            in time.
        """


class TrialCoordinator:
    """Grants trials while this agent coordinates them; thread-safe.

    Parameters
    ----------
    evidence_set
        Evidence that this agent has.
    log
        Merges items and appends them to the log.
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

    def handle(self, query: messages.AskTrial) -> messages.TrialAnswered:
        """Grant a trial, waiting for its turn if necessary.

        A trial is in the log before it begins, after the loss that made the
        prompt a suspect.  If the trial takes down its endpoint and all agents
        are replaced at the same time, the new agents find both in the log,
        and the trial without an end.  A busy log may reply late; then the
        trial does not begin.
        """
        if query.items:
            self.merge_items(records.decode_items(query.items))
        answer = self.await_turn(query)
        trial = self.evidence_set.trials.get(query.run)
        if answer.word is not messages.TrialDecision.GRANTED or trial is None:
            return answer
        written = self.log.wait_in_log(trial, LOG_WAIT_S)
        if written and self.evidence_set.has_precedence(trial):
            return answer
        # Either the log is slow, or another agent that also acts as the
        # coordinator has an earlier trial, because some agents consider one
        # of the two dead.
        now_ms = self.evidence_set.now_ms()
        self.log.record(evidence.TrialEnded(trial.group, now_ms))
        return messages.TrialAnswered(messages.TrialDecision.BUSY)

    def await_turn(self, query: messages.AskTrial) -> messages.TrialAnswered:
        """Wait until the prompt's turn has come or the wait is over."""
        remaining_s = query.wait_s
        self.record_unreported_losses(query.fingerprint)
        with self.changed:
            answer = self.decide(query)
            while (
                answer.word is messages.TrialDecision.BUSY and remaining_s > 0
            ):
                self.changed.wait(POLL_S)
                remaining_s -= POLL_S
                answer = self.decide(query)
            return answer

    def record_unreported_losses(self, fingerprint: str) -> None:
        """Record a trial's endpoint as lost if it died without a report.

        All agents may be replaced right after a trial took its endpoint
        down.  The trial is then in the log without an end, and its timeout
        would allow one more trial.
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

    def decide(self, query: messages.AskTrial) -> messages.TrialAnswered:
        """Decide by the current evidence; call it under ``changed``."""
        match self.evidence_set.standing(query.fingerprint):
            case condemnation.Clear():
                return messages.TrialAnswered(messages.TrialDecision.CLEAR)
            case condemnation.Condemned(losses):
                return messages.TrialAnswered(
                    messages.TrialDecision.CONDEMNED,
                    items=records.encode_items(losses),
                )
            case condemnation.Suspect(groups):
                return self.grant(query, groups)

    def grant(
        self, query: messages.AskTrial, groups: tuple[str, ...]
    ) -> messages.TrialAnswered:
        """Grant a trial at the best endpoint that is free for one."""
        running = self.evidence_set.running_trials()
        for trial in running:
            # The reply that granted this trial was lost.
            if trial.group == query.run:
                return messages.TrialAnswered(
                    messages.TrialDecision.GRANTED,
                    query.run,
                    trial.endpoint,
                    groups,
                )
        free = self.free_endpoints(query)
        prompts = {trial.fingerprint for trial in running}
        if query.fingerprint in prompts or not free:
            return messages.TrialAnswered(messages.TrialDecision.BUSY)
        trial = evidence.Trial(
            query.fingerprint,
            query.organisation,
            query.model,
            free[0],
            query.run,
            self.evidence_set.now_ms(),
            self.endpoints.boot_id(free[0]),
        )
        # The agent that observed the loss may have died before it appended it.
        for item in self.evidence_set.items_of(query.fingerprint):
            self.log.record(item)
        self.log.record(trial)
        return messages.TrialAnswered(
            messages.TrialDecision.GRANTED, query.run, trial.endpoint, groups
        )

    def free_endpoints(self, query: messages.AskTrial) -> list[str]:
        """Return where a trial may begin, endpoints without trials first.

        A suspect whose trial has passed is still running, and would lose its
        second endpoint to a crashing prompt that is tried beside it.
        """
        exclusive = self.evidence_set.exclusive_endpoints()
        in_use = self.evidence_set.trial_endpoints()
        free = [name for name in query.endpoints if name not in exclusive]
        return sorted(free, key=lambda name: name in in_use)

    def merge_items(self, items: typing.Iterable[evidence.Item]) -> None:
        """Merge the evidence of another agent."""
        with self.changed:
            for item in items:
                self.evidence_set.merge(item)
            self.changed.notify_all()
