"""Fakes and factories shared by the tests of the crash guard."""

from __future__ import annotations

import itertools

from briarseam.admission import condemnation
from briarseam.admission import crash_messages
from briarseam.admission import evidence
from briarseam.admission import messages

PROMPT = evidence.identify_prompt("north", "draft", b"prompt")
OTHER_PROMPT = evidence.identify_prompt("north", "draft", b"another prompt")
run_numbers = itertools.count()


class MsClock:
    """A clock in milliseconds that a test sets."""

    def __init__(self) -> None:
        self.ms = 1_000_000

    def __call__(self) -> int:
        return self.ms


def make_loss(
    endpoint: str, group: str = "", prompt: evidence.PromptIdentity = PROMPT
) -> evidence.EndpointLost:
    return evidence.EndpointLost(
        prompt.fingerprint,
        prompt.organisation,
        prompt.model,
        endpoint,
        group or f"run-{next(run_numbers)}",
        1_000_000,
    )


class FakeLog:
    """A log that confirms each trial at once, unless it is slow."""

    def __init__(self, evidence_set: condemnation.EvidenceSet) -> None:
        self.evidence_set = evidence_set
        self.recorded: list[evidence.Item] = []
        self.written = 0
        self.slow = False

    def record(self, item: evidence.Item) -> None:
        self.evidence_set.merge(item)
        self.recorded.append(item)

    def wait_in_log(self, trial, timeout_s: float) -> bool:
        self.written = len(self.recorded)
        if self.slow:
            return False
        self.evidence_set.record_position(trial, (self.written, 0))
        return True


class FakeEndpoints:
    """Three engines, of which a test marks the dead ones."""

    def __init__(self) -> None:
        self.dead: set[str] = set()

    def boot_id(self, endpoint: str) -> str:
        return "boot"

    def has_died(self, endpoint: str, boot_id: str) -> bool:
        return endpoint in self.dead

    def least_loaded(self, request: messages.Admit, version: str) -> list[str]:
        engines = ("engine-0", "engine-1", "engine-2")
        return [name for name in engines if name not in request.lost]


def make_trial_query(
    prompt: evidence.PromptIdentity, run: str, *endpoints: str
) -> crash_messages.AskTrial:
    return crash_messages.AskTrial(
        prompt.fingerprint,
        prompt.organisation,
        prompt.model,
        run,
        endpoints,
        0.0,
    )


def make_hold(run: str, endpoint: str) -> crash_messages.Hold:
    return crash_messages.Hold(PROMPT.fingerprint, run, endpoint)


def make_release(run: str, whole: bool = False, suspect: bool = False):
    return crash_messages.Release(PROMPT.fingerprint, run, whole, suspect)
