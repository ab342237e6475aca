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


def test_each_version_excludes_older_ones_from_its_own_time_on(history, clock):
    history.add(goals.WeightGoal("m", 2))
    clock.now_s += 4
    history.add(goals.WeightGoal("m", 3))
    clock.now_s += 8
    assert history.oldest_allowed("m", 10.0) == 2
    clock.now_s += 4
    assert history.oldest_allowed("m", 10.0) == 3
    assert history.oldest_allowed("other", 10.0) == 0


def test_instance_that_starts_late_learns_how_old_a_goal_is(history, clock):
    """An instance is replaced in the middle of a rollout.  Counted from its
    own start, it would send requests to old weights for too long.
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


def test_peers_word_that_an_engine_changes_counts_for_a_while(history, clock):
    peer = engine_weights.EngineWeights(history, clock)
    peer.begin_change("e1")
    peer.record_version("e2", "m", 2)
    mine = engine_weights.EngineWeights(goals.GoalHistory(clock), clock)
    mine.consume("peer", peer.provide())
    assert mine.is_changing("e1")
    assert mine.version("e2", "m", 1) == 2
    clock.now_s += engine_weights.PEER_REPORT_TTL_S
    assert not mine.is_changing("e1")
    mine.forget("e2")
    assert mine.version("e2", "m", 1) == 1


@pytest.mark.parametrize(
    "told",
    [
        (["e1"], [("e2", "m", "3")], []),
        (["e1"], [("e2", "m", 3)], [("m", 3, "old")]),
        (["e1"], [("e2", "m", 3)], [("m", 3, float("nan"))]),
        (["e1"], [("e2", "m", 3)], [("m", 3, -1.0)]),
        7,
    ],
)
def test_nothing_of_a_malformed_word_is_taken_in(history, clock, told):
    """A peer of another make tells a version as text.  Half of what it said
    was taken in, and each comparison with that version failed from then on.
    """
    known_weights = engine_weights.EngineWeights(history, clock)
    with pytest.raises(msgspec.DecodeError):
        known_weights.consume("peer", msgspec.msgpack.encode(told))
    assert not known_weights.is_changing("e1")
    assert known_weights.version("e2", "m", 1) == 1
    assert history.all_seen() == {}
