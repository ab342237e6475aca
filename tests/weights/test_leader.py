from __future__ import annotations

import pytest

from briarseam.feeds import records
from briarseam.weights import leader
from tests import clocks

# Renewals are less than the time apart for which one is valid.
STEP_S = 1.0
HELD = frozenset({("topic", 0)})


class Group:
    """A group's store, as one member sees it."""

    def __init__(self):
        self.share = records.GroupShare(1, frozenset())
        self.away = False

    def join(self, group, member, topic, ttl_s, generation):
        if self.away:
            raise records.StoreUnavailableError("away")
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
    return leader.Leadership(group, "group", "topic", "me", 3.0, clock=clock)


def hold(leadership, group, clock, generation=5):
    group.share = records.GroupShare(generation, HELD)
    leadership.join_once()
    for _ in range(4):
        clock.now_s += STEP_S
        leadership.join_once()


def test_new_holder_waits_until_the_former_one_has_stopped(
    leadership, group, clock
):
    """Two holders take turns: the former one sends an order a moment before
    the new one does, since it does not know yet that it lost the duty.
    """
    group.share = records.GroupShare(5, HELD)
    leadership.join_once()
    assert leadership.fence() is None
    for _ in range(2):
        clock.now_s += STEP_S
        leadership.join_once()
        assert leadership.fence() is None
    clock.now_s += STEP_S
    leadership.join_once()
    assert leadership.fence() == 5


def test_holder_that_cannot_renew_stops_in_time(leadership, group, clock):
    hold(leadership, group, clock)
    group.away = True
    with pytest.raises(records.StoreUnavailableError):
        leadership.join_once()
    assert leadership.fence() == 5
    clock.now_s += leader.VALID_S
    assert leadership.fence() is None


def test_holder_that_was_suspended_waits_again(leadership, group, clock):
    """A holder is suspended for seconds.  Another one held the duty
    meanwhile and lost it again; its last order is still on the way.
    """
    hold(leadership, group, clock)
    clock.now_s += 20
    group.share = records.GroupShare(9, HELD)
    leadership.join_once()
    assert leadership.fence() is None
    for _ in range(4):
        clock.now_s += STEP_S
        leadership.join_once()
    assert leadership.fence() == 9


def test_duty_is_lost_when_the_store_gives_it_to_another(
    leadership, group, clock
):
    hold(leadership, group, clock)
    group.share = records.GroupShare(6, frozenset())
    leadership.join_once()
    assert leadership.fence() is None


def test_number_that_an_engine_refused_is_not_used_again(
    leadership, group, clock
):
    hold(leadership, group, clock)
    leadership.note_superseded(5)
    assert leadership.fence() is None
    group.share = records.GroupShare(8, HELD)
    leadership.join_once()
    assert leadership.fence() == 8


def test_instance_that_need_not_stand_leaves_the_duty(
    leadership, group, clock
):
    """85 instances each renew twice a second what one of them holds."""
    standing = [True]
    leadership.is_candidate = lambda: standing[0]
    hold(leadership, group, clock)
    assert leadership.fence() is not None
    standing[0] = False
    leadership.take_part()
    assert leadership.fence() is None
    assert group.share.parts == frozenset()
    group.away = True
    leadership.take_part()
    group.away = False
    standing[0] = True
    hold(leadership, group, clock, generation=9)
    assert leadership.fence() == 9


def test_instance_that_stopped_meanwhile_holds_nothing(leadership, group):
    """A call to the store is under way when the instance is stopped.  Its
    answer comes after the duty was given up, and is taken in all the same.
    """
    join = group.join

    def stop_meanwhile(*asked):
        group.share = records.GroupShare(5, HELD)
        share = join(*asked)
        leadership.stop()
        return share

    group.join = stop_meanwhile
    leadership.join_once()
    assert leadership.held is None
