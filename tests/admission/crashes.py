"""What tests of the crash guard have in common."""

from __future__ import annotations

import itertools

from briarseam.admission import condemnation
from briarseam.admission import crash_messages
from briarseam.admission import evidence
from briarseam.admission import messages

CASE = evidence.identify_prompt("north", "draft", b"prompt")
OTHER = evidence.identify_prompt("north", "draft", b"another prompt")
names = itertools.count()


class MsClock:
    """Milliseconds that pass when a test says so."""

    def __init__(self) -> None:
        self.ms = 1_000_000

    def __call__(self) -> int:
        return self.ms


def lost(
    endpoint: str, group: str = "", case: evidence.PromptIdentity = CASE
) -> evidence.EndpointLost:
    return evidence.EndpointLost(
        case.fingerprint,
        case.organisation,
        case.model,
        endpoint,
        group or f"run-{next(names)}",
        1_000_000,
    )


class FakeLog:
    def __init__(self, evidence_set: condemnation.EvidenceSet) -> None:
        self.evidence_set = evidence_set
        self.recorded: list[evidence.Item] = []
        self.written = 0
        self.late = False

    def record(self, item: evidence.Item) -> None:
        self.evidence_set.merge(item)
        self.recorded.append(item)

    def wait_in_log(self, trial, timeout_s: float) -> bool:
        self.written = len(self.recorded)
        if self.late:
            return False
        self.evidence_set.note_order(trial, (self.written, 0))
        return True


class FakeEndpoints:
    def __init__(self) -> None:
        self.dead: set[str] = set()

    def boot_id(self, endpoint: str) -> str:
        return "boot"

    def has_died(self, endpoint: str, boot_id: str) -> bool:
        return endpoint in self.dead

    def least_loaded(self, request: messages.Admit, version: str) -> list[str]:
        engines = ("engine-0", "engine-1", "engine-2")
        return [name for name in engines if name not in request.lost]


def ask_trial(
    case: evidence.PromptIdentity, run: str, *names: str
) -> crash_messages.AskTrial:
    return crash_messages.AskTrial(
        case.fingerprint, case.organisation, case.model, run, names, 0.0
    )


def hold(run: str, endpoint: str) -> crash_messages.Hold:
    return crash_messages.Hold(CASE.fingerprint, run, endpoint)


def release(run: str, whole: bool = False, suspect: bool = False):
    return crash_messages.Release(CASE.fingerprint, run, whole, suspect)
