from __future__ import annotations

import msgspec
import pytest

from briarseam.weights import engine_weights
from briarseam.weights import goals
from tests import clocks


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def history(clock):
    return goals.GoalHistory(clock)


def test_older_goal_does_not_replace_a_newer_one(history):
    assert history.add(goals.WeightGoal("m", 3))
    assert not history.add(goals.WeightGoal("m", 2))
    assert history.newest["m"].version == 3


def test_each_version_excludes_older_ones_a_while_after_it_was_set(
    history, clock
):
    history.add(goals.WeightGoal("m", 2))
    clock.now_s += 4
    history.add(goals.WeightGoal("m", 3))
    clock.now_s += 8
    assert history.oldest_allowed("m", 10.0) == 2
    clock.now_s += 4
    assert history.oldest_allowed("m", 10.0) == 3
    assert history.oldest_allowed("other", 10.0) == 0


def test_instance_that_starts_late_learns_how_old_a_goal_is(history, clock):
    """An instance that starts during a rollout sees an old goal for the first
    time.  Counted from then, it would use old weights for too long.
    """
    history.add(goals.WeightGoal("m", 2))
    clock.now_s += 9
    late_history = goals.GoalHistory(clock)
    late_history.add(goals.WeightGoal("m", 2))
    late = engine_weights.EngineWeights(late_history, clock)
    late.consume(
        "peer", engine_weights.EngineWeights(history, clock).provide()
    )
    clock.now_s += 2
    assert late_history.oldest_allowed("m", 10.0) == 2


def test_peers_report_that_an_engine_is_changing_expires(history, clock):
    peer = engine_weights.EngineWeights(history, clock)
    peer.begin_change("e1")
    peer.record_version("e2", "m", 2)
    local = engine_weights.EngineWeights(goals.GoalHistory(clock), clock)
    local.consume("peer", peer.provide())
    assert local.is_changing("e1")
    assert local.version("e2", "m", 1) == 2
    clock.now_s += engine_weights.PEER_REPORT_TTL_S
    assert not local.is_changing("e1")
    local.forget("e2")
    assert local.version("e2", "m", 1) == 1


@pytest.mark.parametrize(
    "section",
    [
        (["e1"], [("e2", "m", "3")], []),
        (["e1"], [("e2", "m", 3)], [("m", 3, "old")]),
        (["e1"], [("e2", "m", 3)], [("m", 3, float("nan"))]),
        (["e1"], [("e2", "m", 3)], [("m", 3, -1.0)]),
        7,
    ],
)
def test_nothing_of_a_malformed_section_is_applied(history, clock, section):
    """A peer of another release sends a version as text.  If half of its
    section were applied, each later comparison with that version would fail.
    """
    known_weights = engine_weights.EngineWeights(history, clock)
    with pytest.raises(msgspec.DecodeError):
        known_weights.consume("peer", msgspec.msgpack.encode(section))
    assert not known_weights.is_changing("e1")
    assert known_weights.version("e2", "m", 1) == 1
    assert history.first_seen_times() == {}


def test_restored_time_above_the_newest_goal_excludes_nothing(history, clock):
    """Guards against one odd row on the store that refuses all requests.

    Another writer names weights that operators never set.
    """
    history.restore(goals.WeightGoal("m", 2**53), 10**9)
    history.mark_read()
    assert history.oldest_allowed("m", 10.0) == 0
    history.add(goals.WeightGoal("m", 3))
    history.restore(goals.WeightGoal("m", 2**53 - 1), 10**9)
    clock.now_s += 20
    assert history.oldest_allowed("m", 10.0) == 3
    assert history.remaining_s("m", 3, 10.0) == float("inf")


def test_restored_time_above_the_newest_goal_is_not_told(history, clock):
    """Guards against peers that take an odd row for operators' weights."""
    history.add(goals.WeightGoal("m", 3))
    history.restore(goals.WeightGoal("m", 2**53), 10**9)
    peer_history = goals.GoalHistory(clock)
    peer = engine_weights.EngineWeights(peer_history, clock)
    peer.consume("one", engine_weights.EngineWeights(history, clock).provide())
    assert peer_history.newest["m"].version == 3


def test_many_restored_times_displace_no_sound_one(history, clock):
    """Guards against a goal that counts as new after a restart."""
    history.restore(goals.WeightGoal("m", 3), 60.0)
    for number in range(20_000):
        history.restore(goals.WeightGoal("m", 100 + number), 60.0)
    history.add(goals.WeightGoal("m", 3))
    history.mark_read()
    assert history.oldest_allowed("m", 10.0) == 3
    assert len(history.restored) <= goals.MAX_RESTORED
    history.add(goals.WeightGoal("m", 101))
    assert history.oldest_allowed("m", 10.0) == 101


def test_restored_times_of_former_goals_are_applied(history):
    """The store names both weights before operators' documents are read."""
    history.restore(goals.WeightGoal("m", 2), 30.0)
    history.restore(goals.WeightGoal("m", 3), 5.0)
    history.add(goals.WeightGoal("m", 3))
    assert history.oldest_allowed("m", 10.0) == 2
    assert history.oldest_allowed("m", 4.0) == 3
    assert history.restored == {}
