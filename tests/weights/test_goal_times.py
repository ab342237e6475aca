from __future__ import annotations

import threading

import msgpack
import pytest

from briarseam.feeds import records
from briarseam.weights import goal_times
from briarseam.weights import goals
from tests import clocks

TOPIC = "topic"


class Store:
    """A keyed topic."""

    def __init__(self):
        self.rows = {}
        self.writes = 0
        self.is_down = False

    def newest(self, topic):
        self.check()
        newest = tuple(
            records.KeyedRecord(key, value) for key, value in self.rows.items()
        )
        return records.KeyedBatch(newest, len(newest))

    def put(self, topic, key, value):
        self.check()
        self.writes += 1
        self.rows[key] = value

    def check(self):
        if self.is_down:
            raise records.StoreUnavailableError("down")


class Process:
    """A process of an instance, with its own clocks."""

    def __init__(self, store, wall, writes=True):
        self.clock = clocks.ManualClock(7.0)
        self.history = goals.GoalHistory(self.clock)
        self.times = goal_times.GoalTimes(
            store,
            TOPIC,
            self.history,
            lambda: writes,
            clock=self.clock,
            wall_clock=wall,
        )


@pytest.fixture
def store():
    return Store()


@pytest.fixture
def wall():
    return clocks.ManualClock(1_700_000_000.0)


def advance_s(seconds, wall, *processes):
    wall.now_s += seconds
    for process in processes:
        process.clock.now_s += seconds


def test_new_process_learns_how_old_goals_are(store, wall):
    """All processes end, so that no peer is left to publish a goal's age."""
    first = Process(store, wall)
    first.times.step()
    first.history.add(goals.WeightGoal("m", 2))
    advance_s(4, wall, first)
    first.history.add(goals.WeightGoal("m", 3))
    first.times.step()
    wall.now_s += 7
    second = Process(store, wall)
    assert not second.times.known.is_set()
    second.times.step()
    second.history.add(goals.WeightGoal("m", 3))
    assert second.times.known.is_set()
    assert second.history.oldest_allowed("m", 10.0) == 2
    assert second.history.oldest_allowed("m", 6.0) == 3
    assert second.history.oldest_allowed("m", 12.0) == 0
    assert second.history.remaining_s("m", 1, 12.0) == pytest.approx(1.0)
    assert second.history.remaining_s("m", 2, 12.0) == pytest.approx(5.0)


def test_restored_times_set_no_goal(store, wall):
    first = Process(store, wall)
    first.history.add(goals.WeightGoal("m", 2))
    first.times.step()
    second = Process(store, wall)
    second.times.step()
    assert second.history.newest == {}


def test_times_are_written_once(store, wall):
    first = Process(store, wall)
    first.history.add(goals.WeightGoal("m", 2))
    for _ in range(5):
        first.times.step()
        advance_s(1, wall, first)
    second = Process(store, wall)
    second.times.step()
    second.history.add(goals.WeightGoal("m", 2))
    second.times.step()
    assert store.writes == 1


def test_stored_times_are_never_replaced_by_later_ones(store, wall):
    """A process that starts sees an old goal for the first time.  If it wrote
    before it has read, the goal would count as new from then on.
    """
    first = Process(store, wall)
    first.history.add(goals.WeightGoal("m", 2))
    first.times.step()
    advance_s(9, wall, first)
    second = Process(store, wall)
    second.history.add(goals.WeightGoal("m", 2))
    second.times.step()
    advance_s(1, wall, second)
    third = Process(store, wall)
    third.times.step()
    assert third.history.oldest_allowed("m", 10.0) == 2


def test_earlier_time_from_a_peer_is_written(store, wall):
    process = Process(store, wall)
    process.times.step()
    process.history.add(goals.WeightGoal("m", 2))
    process.times.step()
    process.history.add(goals.WeightGoal("m", 2), age_s=5.0)
    process.times.step()
    assert store.writes == 2


def test_instance_that_is_no_writer_only_reads(store, wall):
    process = Process(store, wall, writes=False)
    process.history.add(goals.WeightGoal("m", 2))
    process.times.step()
    assert process.times.known.is_set()
    assert store.writes == 0


def test_read_is_retried_while_the_store_is_unavailable(store, wall):
    store.is_down = True
    process = Process(store, wall)
    process.history.add(goals.WeightGoal("m", 2))
    with pytest.raises(records.StoreUnavailableError):
        process.times.step()
    assert not process.times.known.is_set()
    store.is_down = False
    process.times.step()
    assert process.times.known.is_set()
    assert store.writes == 1


def test_times_are_known_once_a_peer_knows_them(store, wall):
    first, second = Process(store, wall), Process(store, wall)
    second.times.consume("first", first.times.provide())
    assert not second.times.known.is_set()
    first.times.step()
    second.times.consume("first", first.times.provide())
    assert second.times.known.is_set()


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xc1",
        msgpack.packb(7),
        msgpack.packb([["x", "y"]]),
        msgpack.packb([[1, float("inf")]]),
        msgpack.packb([[1, float("nan")]]),
        msgpack.packb([[1, 2**60]]),
        msgpack.packb([[-1, 1]]),
    ],
)
def test_malformed_times_are_ignored(store, wall, value):
    store.rows["bad"] = value
    first = Process(store, wall)
    first.history.add(goals.WeightGoal("m", 2))
    first.times.step()
    wall.now_s += 10
    second = Process(store, wall)
    second.times.step()
    assert second.history.oldest_allowed("m", 10.0) == 2
    assert second.history.oldest_allowed("bad", 10.0) == 0


def test_goal_from_a_clock_that_is_ahead_counts_from_now(store, wall):
    first = Process(store, wall)
    wall.now_s += 5
    first.history.add(goals.WeightGoal("m", 2))
    first.times.step()
    wall.now_s -= 5
    second = Process(store, wall)
    second.times.step()
    assert second.history.remaining_s("m", 1, 12.0) == pytest.approx(12.0)


def test_only_the_newest_versions_are_kept(store, wall):
    process = Process(store, wall)
    for version in range(1, 3 * goals.KEPT_VERSIONS):
        process.history.add(goals.WeightGoal("m", version))
    process.times.step()
    assert len(msgpack.unpackb(store.rows["m"])) == goals.KEPT_VERSIONS


def test_clock_that_is_ahead_makes_no_goal_younger(store, wall):
    """The clock of one instance is ahead while weights are set, then all
    processes end.  If the time that it writes last won, requests would run
    on replaced weights.
    """
    right = Process(store, wall)
    ahead = Process(store, lambda: wall() + 5.0)
    for process in (right, ahead):
        process.times.step()
    for process in (right, ahead):
        process.history.add(goals.WeightGoal("m", 2))
        process.times.step()
        advance_s(0.1, wall, right, ahead)
    right.times.step()
    wall.now_s += 10
    after = Process(store, wall)
    after.times.step()
    assert after.history.oldest_allowed("m", 10.0) == 2


def test_later_time_on_the_store_is_corrected(store, wall):
    """The stored time is wrong.  An instance that starts gets the age of the
    goal from its peers before it reads the store; then all processes end.
    """
    ahead = Process(store, lambda: wall() + 8.0)
    ahead.history.add(goals.WeightGoal("m", 2))
    ahead.times.step()
    second = Process(store, wall)
    second.history.add(goals.WeightGoal("m", 2), age_s=5.0)
    second.times.step()
    wall.now_s += 5
    third = Process(store, wall)
    third.times.step()
    assert third.history.oldest_allowed("m", 10.0) == 2


def test_earlier_time_of_another_version_is_kept(store, wall):
    """An instance that saw weights 2 late writes when weights 3 are set."""
    first = Process(store, wall)
    first.history.add(goals.WeightGoal("m", 2))
    first.times.step()
    late = Process(store, wall)
    late.times.stored = {}
    late.times.has_read = True
    advance_s(9, wall, first, late)
    late.history.add(goals.WeightGoal("m", 2))
    late.history.add(goals.WeightGoal("m", 3))
    late.times.step()
    wall.now_s += 1
    third = Process(store, wall)
    third.times.step()
    assert third.history.oldest_allowed("m", 9.5) == 2


def test_unexpected_error_does_not_end_the_thread(store, wall, monkeypatch):
    """An answer that is not base64 raises a different error than an outage.
    If it ended the thread, the instance would never become ready.
    """
    monkeypatch.setattr(goal_times, "RETRY_S", 0.01)
    process = Process(store, wall)
    answers = [ValueError("not base64")]
    newest = store.newest

    def fail_once(topic):
        if answers:
            raise answers.pop()
        return newest(topic)

    store.newest = fail_once
    monkeypatch.setattr(threading, "excepthook", lambda raised: None)
    process.times.start()
    assert process.times.known.wait(2.0)
    process.times.stop()
