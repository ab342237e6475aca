from __future__ import annotations

import pytest

from briarseam.feeds import records
from briarseam.testing import waiting
from briarseam.weights import leader
from tests import clocks

# Interval of renewals, shorter than the time for which each is valid.
STEP_S = 1.0
OWN_PARTS = frozenset({("topic", 0)})


class Group:
    """The store of a group, as one member sees it."""

    def __init__(self):
        self.share = records.GroupShare(1, frozenset())
        self.is_down = False

    def join(self, group, member, topic, ttl_s, generation):
        if self.is_down:
            raise records.StoreUnavailableError("down")
        return self.share

    def leave(self, group, member):
        self.share = records.GroupShare(self.share.generation, frozenset())


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def group():
    return Group()


@pytest.fixture
def leadership(group, clock):
    return leader.Leadership(
        group, "group", "topic", "local", 3.0, clock=clock
    )


def become_leader(leadership, group, clock, generation=5):
    group.share = records.GroupShare(generation, OWN_PARTS)
    leadership.join_once()
    for _ in range(4):
        clock.now_s += STEP_S
        leadership.join_once()


def test_new_leader_waits_until_the_former_one_has_stopped(
    leadership, group, clock
):
    """Orders of two leaders would interleave: the former one sends an order
    just before the new one, as it does not know yet of its loss.
    """
    group.share = records.GroupShare(5, OWN_PARTS)
    leadership.join_once()
    assert leadership.fence() is None
    for _ in range(2):
        clock.now_s += STEP_S
        leadership.join_once()
        assert leadership.fence() is None
    clock.now_s += STEP_S
    leadership.join_once()
    assert leadership.fence() == 5


def test_leader_that_cannot_renew_stops_in_time(leadership, group, clock):
    become_leader(leadership, group, clock)
    group.is_down = True
    with pytest.raises(records.StoreUnavailableError):
        leadership.join_once()
    assert leadership.fence() == 5
    clock.now_s += leader.VALID_S
    assert leadership.fence() is None


def test_leader_that_was_suspended_waits_again(leadership, group, clock):
    """A leader is suspended for seconds.  In between another instance became
    leader and lost it again; its last order may still arrive.
    """
    become_leader(leadership, group, clock)
    clock.now_s += 20
    group.share = records.GroupShare(9, OWN_PARTS)
    leadership.join_once()
    assert leadership.fence() is None
    for _ in range(4):
        clock.now_s += STEP_S
        leadership.join_once()
    assert leadership.fence() == 9


def test_leadership_is_lost_when_the_store_gives_it_to_another(
    leadership, group, clock
):
    become_leader(leadership, group, clock)
    group.share = records.GroupShare(6, frozenset())
    leadership.join_once()
    assert leadership.fence() is None


def test_refused_fencing_number_is_not_used_again(leadership, group, clock):
    become_leader(leadership, group, clock)
    leadership.record_superseded(5)
    assert leadership.fence() is None
    group.share = records.GroupShare(8, OWN_PARTS)
    leadership.join_once()
    assert leadership.fence() == 8


def test_instance_that_is_no_candidate_leaves_the_group(
    leadership, group, clock
):
    """If each of 85 instances were a candidate, each would call the store
    twice a second.
    """
    candidate = [True]
    leadership.is_candidate = lambda: candidate[0]
    become_leader(leadership, group, clock)
    assert leadership.fence() is not None
    candidate[0] = False
    leadership.update_membership()
    assert leadership.fence() is None
    assert group.share.parts == frozenset()
    group.is_down = True
    leadership.update_membership()
    group.is_down = False
    candidate[0] = True
    become_leader(leadership, group, clock, generation=9)
    assert leadership.fence() == 9


def test_instance_stopped_during_a_call_is_no_leader(leadership, group):
    """The store answers a call after the instance was stopped and has given
    up the leadership; the answer must not restore it.
    """
    join = group.join

    def stop_during_call(*args):
        group.share = records.GroupShare(5, OWN_PARTS)
        share = join(*args)
        leadership.stop()
        return share

    group.join = stop_during_call
    leadership.join_once()
    assert leadership.grant is None


def test_unexpected_error_does_not_end_the_thread(
    leadership, group, monkeypatch
):
    """Guards against weights that nobody orders after one odd answer."""
    monkeypatch.setattr(leader, "JOIN_INTERVAL_S", 0.01)
    failures = [RecursionError(), KeyError("x")]
    join = group.join

    def fail_first(*arguments):
        if failures:
            raise failures.pop()
        return join(*arguments)

    monkeypatch.setattr(group, "join", fail_first)
    group.share = records.GroupShare(5, OWN_PARTS)
    leadership.start()
    try:
        waiting.until(leadership.is_held, 5)
    finally:
        leadership.stop()
