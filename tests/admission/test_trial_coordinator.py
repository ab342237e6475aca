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
    """Guards against condemning a harmless prompt for a shared loss.

    Two suspects run at one endpoint, and the endpoint dies; its loss would
    count against both of them.
    """
    evidence_set.merge(crashes.make_loss("engine-0"))
    evidence_set.merge(
        crashes.make_loss("engine-0", prompt=crashes.OTHER_PROMPT)
    )
    first = coordinator.handle(
        crashes.make_trial_query(crashes.PROMPT, "t1", "engine-1")
    )
    second = coordinator.handle(
        crashes.make_trial_query(crashes.OTHER_PROMPT, "t2", "engine-1")
    )
    third = coordinator.handle(
        crashes.make_trial_query(
            crashes.OTHER_PROMPT, "t3", "engine-1", "engine-2"
        )
    )
    assert (first.word, first.endpoint) == ("granted", "engine-1")
    assert second.word == "busy"
    assert (third.word, third.endpoint) == ("granted", "engine-2")


def test_suspect_has_one_trial_at_a_time(coordinator, evidence_set, fake_log):
    """Guards against two callers' resends each taking down an engine.

    The trial is in the log before it begins, so that agents that are started
    later know of it.
    """
    evidence_set.merge(crashes.make_loss("engine-0"))
    coordinator.handle(
        crashes.make_trial_query(crashes.PROMPT, "t1", "engine-1", "engine-2")
    )
    assert "t1" in [item.group for item in fake_log.recorded]
    assert fake_log.written == len(fake_log.recorded)
    again = coordinator.handle(
        crashes.make_trial_query(crashes.PROMPT, "t2", "engine-1", "engine-2")
    )
    assert again.word == "busy"


def test_endpoint_is_free_for_another_trial_at_the_first_token(
    coordinator, evidence_set
):
    """Guards against cut off answers that wait for each other for minutes.

    After an engine's death each of its answers needs a trial.  The prompt
    itself still has one trial at a time.
    """
    evidence_set.merge(crashes.make_loss("engine-0"))
    evidence_set.merge(
        crashes.make_loss("engine-0", prompt=crashes.OTHER_PROMPT)
    )
    coordinator.handle(
        crashes.make_trial_query(crashes.PROMPT, "t1", "engine-1")
    )
    evidence_set.merge(evidence.TrialPassed("t1", evidence_set.now_ms()))
    assert (
        coordinator.handle(
            crashes.make_trial_query(crashes.OTHER_PROMPT, "t2", "engine-1")
        ).word
        == "granted"
    )
    assert (
        coordinator.handle(
            crashes.make_trial_query(crashes.PROMPT, "t3", "engine-2")
        ).word
        == "busy"
    )


def pass_first_trial(
    coordinator: trial_coordinator.TrialCoordinator,
    evidence_set: condemnation.EvidenceSet,
) -> None:
    """Make two prompts suspect, and pass the trial of the first.

    Its trial runs at ``engine-1``.
    """
    evidence_set.merge(crashes.make_loss("engine-0"))
    evidence_set.merge(
        crashes.make_loss("engine-0", prompt=crashes.OTHER_PROMPT)
    )
    coordinator.handle(
        crashes.make_trial_query(crashes.PROMPT, "t1", "engine-1")
    )
    evidence_set.merge(evidence.TrialPassed("t1", evidence_set.now_ms()))


def test_trial_begins_where_no_suspect_runs(coordinator, evidence_set):
    """Guards against condemning a harmless prompt for another's trial.

    The harmless prompt's trial has passed, so its endpoint is free for
    another trial while it is still running.  The other prompt crashes that
    endpoint.
    """
    pass_first_trial(coordinator, evidence_set)
    answer = coordinator.handle(
        crashes.make_trial_query(
            crashes.OTHER_PROMPT, "t2", "engine-1", "engine-2"
        )
    )
    assert answer.endpoint == "engine-2"


@pytest.mark.parametrize("reported_first", ["t1", "t2"])
def test_loss_shared_with_an_unpassed_trial_does_not_count(
    coordinator, evidence_set, reported_first
):
    """Guards against condemning a harmless prompt for another's trial.

    All other endpoints have trials, so both prompts run at one endpoint,
    which dies.  In whichever order the losses are reported, only the prompt
    whose trial had not passed is condemned.
    """
    pass_first_trial(coordinator, evidence_set)
    coordinator.handle(
        crashes.make_trial_query(crashes.OTHER_PROMPT, "t2", "engine-1")
    )
    losses = [
        crashes.make_loss("engine-1", "t1"),
        crashes.make_loss("engine-1", "t2", crashes.OTHER_PROMPT),
    ]
    losses.sort(key=lambda loss: loss.group != reported_first)
    for loss in losses:
        evidence_set.merge(loss)
        assert isinstance(
            evidence_set.standing(crashes.PROMPT.fingerprint),
            condemnation.Suspect,
        )
    assert isinstance(
        evidence_set.standing(crashes.OTHER_PROMPT.fingerprint),
        condemnation.Condemned,
    )


def test_loss_of_a_passed_trial_counts_without_another_trial(
    coordinator, evidence_set
):
    """Guards against never refusing a prompt that crashes endpoints late."""
    pass_first_trial(coordinator, evidence_set)
    evidence_set.merge(crashes.make_loss("engine-1", "t1"))
    assert isinstance(
        evidence_set.standing(crashes.PROMPT.fingerprint),
        condemnation.Condemned,
    )


def test_trial_whose_reply_was_lost_is_granted_again(
    coordinator, evidence_set
):
    evidence_set.merge(crashes.make_loss("engine-0"))
    query = crashes.make_trial_query(crashes.PROMPT, "t1", "engine-1")
    assert coordinator.handle(query) == coordinator.handle(query)


def test_unreported_loss_of_a_trial_counts(
    coordinator, evidence_set, endpoints
):
    """Guards against one more trial after all agents are replaced.

    The agents are replaced at the time when a trial takes down its engine,
    so that no agent reports the loss.
    """
    evidence_set.merge(crashes.make_loss("engine-0"))
    coordinator.handle(
        crashes.make_trial_query(crashes.PROMPT, "t1", "engine-1")
    )
    endpoints.dead.add("engine-1")
    answer = coordinator.handle(
        crashes.make_trial_query(crashes.PROMPT, "t2", "engine-2")
    )
    assert answer.word == "condemned"


def test_trial_that_is_not_in_the_log_does_not_begin(
    coordinator, evidence_set, fake_log
):
    """Guards against the loss of a third engine while agents are replaced.

    The log replies late on a busy machine.  The trial takes down its engine
    before it is written, and the agents that know of it are replaced.
    """
    evidence_set.merge(crashes.make_loss("engine-0"))
    fake_log.slow = True
    assert (
        coordinator.handle(
            crashes.make_trial_query(crashes.PROMPT, "t1", "engine-1")
        ).word
        == "busy"
    )
    assert evidence_set.running_trials() == []


def test_loss_is_in_the_log_before_the_trial(
    coordinator, evidence_set, fake_log
):
    """Guards against the loss of a third engine while agents are replaced.

    The agent that observed the first loss reports it to the trial
    coordinator, and is replaced before its own record is written.
    """
    evidence_set.merge(crashes.make_loss("engine-0", "first"))
    coordinator.handle(
        crashes.make_trial_query(crashes.PROMPT, "t1", "engine-1")
    )
    groups = [item.group for item in fake_log.recorded[: fake_log.written]]
    assert groups == ["first", "t1"]


def test_coordinator_merges_the_evidence_of_a_query(coordinator, evidence_set):
    """Guards against a new coordinator that does not know of the loss.

    The agent that coordinated the trials dies, and the next one has no
    evidence of its own yet.
    """
    item = crashes.make_loss("engine-0")
    query = dataclasses.replace(
        crashes.make_trial_query(crashes.PROMPT, "t1", "engine-1"),
        items=records.encode_items([item]),
    )
    assert coordinator.handle(query).word == "granted"
    assert evidence_set.items_of(crashes.PROMPT.fingerprint) == [item]


@pytest.mark.parametrize(
    "other",
    [
        pytest.param((crashes.PROMPT, "engine-2"), id="same prompt"),
        pytest.param((crashes.OTHER_PROMPT, "engine-1"), id="same endpoint"),
    ],
)
def test_later_trial_of_a_second_coordinator_is_withdrawn(
    coordinator, evidence_set, fake_log, other
):
    """Guards against concurrent trials of one prompt or at one endpoint.

    The trial coordinator is restarted; some agents query it, others the one
    that replaced it.  Both grant a trial, and the order of the log decides.
    Otherwise a suspect could take down two engines at once, or a harmless
    prompt could be condemned along with it.
    """
    prompt, endpoint = other
    earlier = evidence.Trial(
        prompt.fingerprint,
        "north",
        "draft",
        endpoint,
        "earlier",
        evidence_set.now_ms(),
    )

    def read_back(trial, timeout_s: float) -> bool:
        evidence_set.merge(earlier)
        evidence_set.record_position(earlier, (1, 0))
        evidence_set.record_position(trial, (2, 0))
        return True

    fake_log.wait_in_log = read_back
    evidence_set.merge(crashes.make_loss("engine-0"))
    answer = coordinator.handle(
        crashes.make_trial_query(crashes.PROMPT, "t1", "engine-1")
    )
    assert answer.word == "busy"
    assert [running.group for running in evidence_set.running_trials()] == [
        "earlier"
    ]
