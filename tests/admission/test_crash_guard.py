from __future__ import annotations

import dataclasses
import typing

import pytest

from briarseam import verdict
from briarseam.admission import condemnation
from briarseam.admission import crash_guard
from briarseam.admission import messages
from briarseam.admission import prompt_holds
from briarseam.admission import trial_coordinator
from tests.admission import crashes


class FakePeers:
    """A system whose only agent is this one."""

    def __init__(
        self, coordinator: trial_coordinator.TrialCoordinator
    ) -> None:
        self.holds = prompt_holds.PromptHolds()
        self.coordinator = coordinator
        self.unreachable = False

    def hold(self, query):
        return None if self.unreachable else self.holds.hold(query)

    def release(self, message):
        self.holds.release(message)

    def request_trial(self, query):
        return None if self.unreachable else self.coordinator.handle(query)

    def report(self, items):
        self.coordinator.merge_items(items)


class FakeGranter:
    """Grants three engines in turn."""

    def __init__(self, request: messages.Admit) -> None:
        self.request = request
        self.withdrawn: list[str] = []

    def grant(self, only_endpoint: str, deadline: float) -> messages.Granted:
        number = next(crashes.run_numbers)
        endpoint = only_endpoint or f"engine-{number % 3}"
        if endpoint in self.request.lost:
            raise verdict.RefusalError(
                verdict.NotRun(verdict.Reason.NO_ENDPOINT, "", 1.0)
            )
        return messages.Granted(
            f"run-{number}", "", "", "north", endpoint, "address"
        )

    def withdraw(self, granted: messages.Granted) -> None:
        self.withdrawn.append(granted.run_id)


@dataclasses.dataclass
class Harness:
    """A guard with engines that a test can crash."""

    guard: crash_guard.CrashGuard
    endpoints: crashes.FakeEndpoints
    peers: FakePeers

    def place(
        self, lost_endpoints: tuple[str, ...] = ()
    ) -> messages.Granted | verdict.Verdict:
        request = messages.Admit(
            "", "draft", "", (), 1, 1, 5, 200, lost=lost_endpoints
        )
        placement = crash_guard.PlacementRequest(crashes.PROMPT, request, "")
        try:
            return self.guard.place(placement, FakeGranter(request))
        except verdict.RefusalError as error:
            return error.given

    def crash(self, granted: typing.Any) -> None:
        self.endpoints.dead.add(granted.endpoint)
        self.end(granted, messages.RunResult.LOST_BEFORE_FIRST)

    def end(self, granted: typing.Any, result: messages.RunResult) -> None:
        self.guard.ended(granted.run_id, result)


@pytest.fixture
def harness(evidence_set, fake_log, coordinator, endpoints) -> Harness:
    peers = FakePeers(coordinator)
    parts = crash_guard.GuardParts(
        evidence_set, fake_log.record, lambda: None, peers, endpoints
    )
    return Harness(crash_guard.CrashGuard(parts), endpoints, peers)


def test_prompt_is_refused_after_two_lost_endpoints(harness):
    harness.crash(harness.place())
    harness.crash(harness.place())
    refused = harness.place()
    assert isinstance(refused, verdict.NotRun)
    assert refused.reason is verdict.Reason.CONDEMNED
    assert refused.retry_after_s and refused.retry_after_s > 60


def test_concurrent_callers_share_one_endpoint(harness):
    granted = [harness.place() for _ in range(5)]
    assert len({grant.endpoint for grant in granted}) == 1


def test_suspect_that_finishes_elsewhere_is_cleared(harness, evidence_set):
    harness.crash(harness.place())
    harness.end(harness.place(), messages.RunResult.DONE)
    assert (
        evidence_set.standing(crashes.PROMPT.fingerprint)
        == condemnation.Clear()
    )


def test_broken_connection_to_a_live_endpoint_is_not_a_loss(
    harness, evidence_set
):
    granted = harness.place()
    harness.end(granted, messages.RunResult.LOST_AFTER_FIRST)
    assert (
        evidence_set.standing(crashes.PROMPT.fingerprint)
        == condemnation.Clear()
    )


def test_suspect_is_refused_while_no_coordinator_replies(harness):
    """Guards against a trial without a coordinator.

    An engine dies while the log and the other agents do not reply.
    """
    harness.crash(harness.place())
    harness.peers.unreachable = True
    refused = harness.place()
    assert isinstance(refused, verdict.NotRun)
    assert refused.retry_after_s


def test_loss_counts_if_the_granting_agent_died_too(harness, evidence_set):
    """Guards against missing a loss that no agent reported.

    The agent that granted the prompt dies along with the engine.  The
    caller's resend is granted the same engine; its entry cannot reach the
    engine and sends the prompt again.
    """
    granted = harness.place()
    harness.guard.runs.clear()
    harness.endpoints.dead.add(granted.endpoint)
    again = harness.place((granted.endpoint,))
    assert isinstance(again, messages.Granted)
    assert isinstance(
        evidence_set.standing(crashes.PROMPT.fingerprint), condemnation.Suspect
    )
