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


class FakeOthers:
    """This agent as the only one."""

    def __init__(
        self, coordinator: trial_coordinator.TrialCoordinator
    ) -> None:
        self.held = prompt_holds.PromptHolds()
        self.coordinator = coordinator
        self.away = False

    def hold(self, ask):
        return None if self.away else self.held.hold(ask)

    def release(self, told):
        self.held.release(told)

    def ask_trial(self, ask):
        return None if self.away else self.coordinator.ask(ask)

    def accuse(self, items):
        self.coordinator.take(items)


class FakePlacing:
    """Grants engines in turn."""

    def __init__(self, request: messages.Admit) -> None:
        self.request = request
        self.withdrawn: list[str] = []

    def grant(self, only: str, deadline: float) -> messages.Granted:
        number = next(crashes.names)
        endpoint = only or f"engine-{number % 3}"
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
class Site:
    """A guard, and engines that die of the prompt if it is guilty."""

    guard: crash_guard.CrashGuard
    endpoints: crashes.FakeEndpoints
    others: FakeOthers

    def place(
        self, lost_so_far: tuple[str, ...] = ()
    ) -> messages.Granted | verdict.Verdict:
        request = messages.Admit(
            "", "draft", "", (), 1, 1, 5, 200, lost=lost_so_far
        )
        asked = crash_guard.Asked(crashes.CASE, request, "")
        try:
            return self.guard.place(asked, FakePlacing(request))
        except verdict.RefusalError as error:
            return error.given

    def crash(self, granted: typing.Any) -> None:
        self.endpoints.dead.add(granted.endpoint)
        self.end(granted, messages.RunResult.LOST_BEFORE_FIRST)

    def end(self, granted: typing.Any, result: messages.RunResult) -> None:
        self.guard.ended(granted.run_id, result)


@pytest.fixture
def site(evidence_set, fake_log, coordinator, endpoints) -> Site:
    others = FakeOthers(coordinator)
    parts = crash_guard.GuardParts(
        evidence_set, fake_log.record, lambda: None, others, endpoints
    )
    return Site(crash_guard.CrashGuard(parts), endpoints, others)


def test_second_lost_endpoint_is_the_last(site):
    site.crash(site.place())
    site.crash(site.place())
    refused = site.place()
    assert isinstance(refused, verdict.NotRun)
    assert refused.reason is verdict.Reason.CONDEMNED
    assert refused.retry_after_s and refused.retry_after_s > 60


def test_callers_at_once_lose_one_endpoint(site):
    granted = [site.place() for _ in range(5)]
    assert len({one.endpoint for one in granted}) == 1


def test_suspect_that_finishes_elsewhere_is_cleared(site, evidence_set):
    site.crash(site.place())
    site.end(site.place(), messages.RunResult.DONE)
    assert (
        evidence_set.standing(crashes.CASE.fingerprint) == condemnation.Clear()
    )


def test_cut_link_to_a_living_endpoint_accuses_nobody(site, evidence_set):
    granted = site.place()
    site.end(granted, messages.RunResult.LOST_AFTER_FIRST)
    assert (
        evidence_set.standing(crashes.CASE.fingerprint) == condemnation.Clear()
    )


def test_suspect_waits_while_the_keeper_is_away(site):
    """Log and agents are in trouble as an engine dies; no trial unseen."""
    site.crash(site.place())
    site.others.away = True
    refused = site.place()
    assert isinstance(refused, verdict.NotRun)
    assert refused.retry_after_s


def test_endpoint_that_died_with_its_agent_counts(site, evidence_set):
    """The agent that granted the prompt dies along with the engine.

    The caller's resend is granted the same engine, cannot reach it, and
    asks again.
    """
    granted = site.place()
    site.guard.watched.clear()
    site.endpoints.dead.add(granted.endpoint)
    again = site.place((granted.endpoint,))
    assert isinstance(again, messages.Granted)
    assert isinstance(
        evidence_set.standing(crashes.CASE.fingerprint), condemnation.Suspect
    )
