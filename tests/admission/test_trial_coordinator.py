from __future__ import annotations

import dataclasses

import pytest

from briarseam.admission import condemnation
from briarseam.admission import condemnation_records as records
from briarseam.admission import evidence
from briarseam.admission import trial_coordinator
from tests.admission import crashes


def test_suspects_are_never_tried_at_one_endpoint_together(
    coordinator, evidence_set
):
    """An innocent prompt is condemned with the one that it ran beside."""
    evidence_set.merge(crashes.lost("engine-0"))
    evidence_set.merge(crashes.lost("engine-0", case=crashes.OTHER))
    first = coordinator.ask(crashes.ask_trial(crashes.CASE, "t1", "engine-1"))
    second = coordinator.ask(
        crashes.ask_trial(crashes.OTHER, "t2", "engine-1")
    )
    third = coordinator.ask(
        crashes.ask_trial(crashes.OTHER, "t3", "engine-1", "engine-2")
    )
    assert (first.word, first.endpoint) == ("granted", "engine-1")
    assert second.word == "busy"
    assert (third.word, third.endpoint) == ("granted", "engine-2")


def test_suspect_is_tried_once_at_a_time(coordinator, evidence_set, fake_log):
    """Two callers' resends of a suspect each take down an engine.

    The trial is in the log before it begins, for those who come after.
    """
    evidence_set.merge(crashes.lost("engine-0"))
    coordinator.ask(
        crashes.ask_trial(crashes.CASE, "t1", "engine-1", "engine-2")
    )
    assert "t1" in [item.group for item in fake_log.recorded]
    assert fake_log.written == len(fake_log.recorded)
    again = coordinator.ask(
        crashes.ask_trial(crashes.CASE, "t2", "engine-1", "engine-2")
    )
    assert again.word == "busy"


def test_endpoint_is_free_for_another_trial_at_the_first_token(
    coordinator, evidence_set
):
    """Answers that an engine's death cut wait for each other for minutes.

    The prompt itself is still tried once at a time.
    """
    evidence_set.merge(crashes.lost("engine-0"))
    evidence_set.merge(crashes.lost("engine-0", case=crashes.OTHER))
    coordinator.ask(crashes.ask_trial(crashes.CASE, "t1", "engine-1"))
    evidence_set.merge(evidence.TrialPassed("t1", evidence_set.now_ms()))
    assert (
        coordinator.ask(
            crashes.ask_trial(crashes.OTHER, "t2", "engine-1")
        ).word
        == "granted"
    )
    assert (
        coordinator.ask(crashes.ask_trial(crashes.CASE, "t3", "engine-2")).word
        == "busy"
    )


def pass_first_trial(
    coordinator: trial_coordinator.TrialCoordinator,
    evidence_set: condemnation.EvidenceSet,
) -> None:
    """Let a suspect get past where it was cut, at ``engine-1``."""
    evidence_set.merge(crashes.lost("engine-0"))
    evidence_set.merge(crashes.lost("engine-0", case=crashes.OTHER))
    coordinator.ask(crashes.ask_trial(crashes.CASE, "t1", "engine-1"))
    evidence_set.merge(evidence.TrialPassed("t1", evidence_set.now_ms()))


def test_trial_begins_where_no_suspect_runs(coordinator, evidence_set):
    """An innocent prompt is condemned with the one it runs beside.

    Its trial passed, so its endpoint takes another trial while it runs on;
    the other prompt crashes that endpoint too.
    """
    pass_first_trial(coordinator, evidence_set)
    answer = coordinator.ask(
        crashes.ask_trial(crashes.OTHER, "t2", "engine-1", "engine-2")
    )
    assert answer.endpoint == "engine-2"


@pytest.mark.parametrize("told_first", ["t1", "t2"])
def test_passed_trial_is_not_condemned_with_the_one_beside_it(
    coordinator, evidence_set, told_first
):
    """An innocent prompt loses its second endpoint to another's trial.

    All other endpoints have trials, so both run at one.  In whichever
    order the losses are told, only the prompt whose trial had not passed
    is refused.
    """
    pass_first_trial(coordinator, evidence_set)
    coordinator.ask(crashes.ask_trial(crashes.OTHER, "t2", "engine-1"))
    losses = [
        crashes.lost("engine-1", "t1"),
        crashes.lost("engine-1", "t2", crashes.OTHER),
    ]
    losses.sort(key=lambda loss: loss.group != told_first)
    for loss in losses:
        evidence_set.merge(loss)
        assert isinstance(
            evidence_set.standing(crashes.CASE.fingerprint),
            condemnation.Suspect,
        )
    assert isinstance(
        evidence_set.standing(crashes.OTHER.fingerprint),
        condemnation.Condemned,
    )


def test_trial_lost_alone_counts_though_it_had_passed(
    coordinator, evidence_set
):
    """A prompt that crashes endpoints late is never refused."""
    pass_first_trial(coordinator, evidence_set)
    evidence_set.merge(crashes.lost("engine-1", "t1"))
    assert isinstance(
        evidence_set.standing(crashes.CASE.fingerprint), condemnation.Condemned
    )


def test_trial_whose_answer_was_lost_is_granted_again(
    coordinator, evidence_set
):
    evidence_set.merge(crashes.lost("engine-0"))
    ask = crashes.ask_trial(crashes.CASE, "t1", "engine-1")
    assert coordinator.ask(ask) == coordinator.ask(ask)


def test_trial_that_ended_unnoticed_counts(
    coordinator, evidence_set, endpoints
):
    """All agents are replaced as a trial takes down its engine."""
    evidence_set.merge(crashes.lost("engine-0"))
    coordinator.ask(crashes.ask_trial(crashes.CASE, "t1", "engine-1"))
    endpoints.dead.add("engine-1")
    answer = coordinator.ask(crashes.ask_trial(crashes.CASE, "t2", "engine-2"))
    assert answer.word == "condemned"


def test_trial_that_is_not_in_the_log_does_not_begin(
    coordinator, evidence_set, fake_log
):
    """A third engine is crashes.lost as all agents are replaced.

    The log answers late on a busy machine.  The trial takes down its
    engine before it is written, and the agents that knew of it are gone.
    """
    evidence_set.merge(crashes.lost("engine-0"))
    fake_log.late = True
    assert (
        coordinator.ask(crashes.ask_trial(crashes.CASE, "t1", "engine-1")).word
        == "busy"
    )
    assert evidence_set.running_trials() == []


def test_loss_is_in_the_log_before_the_trial(
    coordinator, evidence_set, fake_log
):
    """A third engine is crashes.lost as all agents are replaced.

    The agent that saw the first loss told the keeper of trials, and is
    gone before its own record was written.
    """
    evidence_set.merge(crashes.lost("engine-0", "first"))
    coordinator.ask(crashes.ask_trial(crashes.CASE, "t1", "engine-1"))
    noted = [item.group for item in fake_log.recorded[: fake_log.written]]
    assert noted == ["first", "t1"]


def test_keeper_learns_the_loss_from_who_asks(coordinator, evidence_set):
    """The agent that kept the trials dies; the next one knows of nothing."""
    item = crashes.lost("engine-0")
    ask = dataclasses.replace(
        crashes.ask_trial(crashes.CASE, "t1", "engine-1"),
        items=records.encode_items([item]),
    )
    assert coordinator.ask(ask).word == "granted"
    assert evidence_set.of_prompt(crashes.CASE.fingerprint) == [item]


@pytest.mark.parametrize(
    "other",
    [
        pytest.param((crashes.CASE, "engine-2"), id="same prompt"),
        pytest.param((crashes.OTHER, "engine-1"), id="same endpoint"),
    ],
)
def test_second_keepers_later_trial_is_withdrawn(
    coordinator, evidence_set, fake_log, other
):
    """A suspect takes down two engines at once, or an innocent with it.

    The keeper of trials was restarted; some agents ask it, some the one
    that kept them in between.  Both grant a trial, the log tells whose
    came first.
    """
    case, endpoint = other
    rival = evidence.Trial(
        case.fingerprint,
        "north",
        "draft",
        endpoint,
        "rival",
        evidence_set.now_ms(),
    )

    def read_back(trial, timeout_s: float) -> bool:
        evidence_set.merge(rival)
        evidence_set.note_order(rival, (1, 0))
        evidence_set.note_order(trial, (2, 0))
        return True

    fake_log.wait_in_log = read_back
    evidence_set.merge(crashes.lost("engine-0"))
    answer = coordinator.ask(crashes.ask_trial(crashes.CASE, "t1", "engine-1"))
    assert answer.word == "busy"
    assert [one.group for one in evidence_set.running_trials()] == ["rival"]
