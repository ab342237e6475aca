from __future__ import annotations

import pytest

from briarseam.feeds import records
from briarseam.weights import leader
from briarseam.weights import leader_reports
from tests import clocks

LEASE_S = 3.0
HEARTBEAT_S = 0.5


class Instance:
    """One instance; ``others`` and the check of numbers can be set."""

    def __init__(self, name, others, clock):
        self.name = name
        self.others = others
        self.check = True
        self.reports = leader_reports.LeaderReports(
            lambda: self.others, lambda: self.check, clock
        )


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def me(clock):
    return Instance("me", ["a", "b"], clock)


@pytest.fixture
def peers(clock):
    return [Instance("a", [], clock), Instance("b", [], clock)]


def pass_s(seconds, me, clock):
    """Let time pass in which this instance is not suspended."""
    for _ in range(int(seconds / HEARTBEAT_S)):
        clock.now_s += HEARTBEAT_S
        me.reports.record_active()


def beat(me, *peers):
    for peer in peers:
        me.reports.consume(peer.name, peer.reports.provide())


def quiet(me, clock, gained_s):
    return me.reports.are_others_idle(gained_s, LEASE_S)


def test_nobody_is_waited_for_once_all_others_say_that_they_do_not_order(
    me, peers, clock
):
    """All processes start anew; a holder would wait for those that ended."""
    gained_s = clock.now_s
    assert not quiet(me, clock, gained_s)
    beat(me, peers[0])
    assert not quiet(me, clock, gained_s)
    beat(me, peers[1])
    assert quiet(me, clock, gained_s)


def test_words_from_before_the_duty_moved_do_not_count(me, peers, clock):
    """A peer that did not hold the duty may have held it in between."""
    beat(me, *peers)
    clock.now_s += HEARTBEAT_S
    assert not quiet(me, clock, clock.now_s)


def test_former_holder_that_does_not_know_of_its_loss_is_waited_for(
    me, peers, clock
):
    peers[0].reports.is_leader = lambda: True
    beat(me, *peers)
    assert not quiet(me, clock, clock.now_s)


def test_former_holder_is_waited_for_since_its_last_order(me, peers, clock):
    """Two holders would take turns within a lease."""
    gained_s = clock.now_s
    peers[0].reports.record_order()
    clock.now_s += LEASE_S - HEARTBEAT_S
    beat(me, *peers)
    assert not quiet(me, clock, gained_s)
    clock.now_s += HEARTBEAT_S + 0.01
    beat(me, *peers)
    assert quiet(me, clock, gained_s)


def test_order_of_an_instance_that_fell_silent_still_counts(me, peers, clock):
    peers[0].reports.record_order()
    beat(me, *peers)
    pass_s(leader_reports.SILENT_S + HEARTBEAT_S, me, clock)
    gained_s = clock.now_s
    beat(me, peers[1])
    assert not quiet(me, clock, gained_s)
    pass_s(LEASE_S, me, clock)
    beat(me, peers[1])
    assert quiet(me, clock, gained_s)


def test_silent_instance_is_waited_for_where_engines_check_no_number(
    me, peers, clock
):
    """It may be suspended with an order on the way, which they would take."""
    pass_s(10 * leader_reports.SILENT_S, me, clock)
    gained_s = clock.now_s
    assert quiet(me, clock, gained_s)
    me.check = False
    assert not quiet(me, clock, gained_s)


def test_instances_that_are_not_known_are_waited_for(me, clock):
    me.others = None
    pass_s(10 * leader_reports.SILENT_S, me, clock)
    assert not quiet(me, clock, clock.now_s)


def test_only_instance_waits_for_nobody(me, clock):
    me.others = []
    me.check = False
    assert quiet(me, clock, clock.now_s)


class Group:
    """A group's store that has given its partition to one member."""

    generation = 5

    def join(self, group, member, topic, ttl_s, generation):
        return records.GroupShare(
            self.generation, frozenset({(topic, leader.PARTITION)})
        )

    def leave(self, group, member):
        return None


@pytest.fixture
def leadership(me, clock):
    return leader.Leadership(
        Group(),
        "group",
        "topic",
        "me",
        LEASE_S,
        are_others_idle=lambda since_s: me.reports.are_others_idle(
            since_s, LEASE_S
        ),
        clock=clock,
    )


def test_holder_orders_as_soon_as_the_others_are_quiet(
    me, peers, leadership, clock
):
    leadership.join_once()
    assert leadership.fence() is None
    clock.now_s += HEARTBEAT_S
    beat(me, *peers)
    leadership.join_once()
    assert leadership.fence() == 5


def test_holder_that_may_order_goes_on_while_others_are_not_heard(
    me, peers, leadership, clock
):
    """Once nobody else gave orders, nobody else can: the store says so."""
    leadership.join_once()
    beat(me, *peers)
    assert leadership.fence() == 5
    clock.now_s += 1.0
    leadership.join_once()
    me.others = None
    assert leadership.fence() == 5


def test_order_of_an_instance_that_left_still_counts(me, peers, clock):
    """Instances are stopped and started in turn while weights are changed.

    The holder orders, is stopped at once, gives the duty up and takes its
    registration away.  The next holder no longer lists it, and orders less
    than a lease after it.
    """
    peers[0].reports.record_order()
    beat(me, *peers)
    gained_s = clock.now_s
    me.others = ["b"]
    clock.now_s += HEARTBEAT_S
    beat(me, peers[1])
    assert not quiet(me, clock, gained_s)
    clock.now_s += LEASE_S
    beat(me, peers[1])
    assert quiet(me, clock, gained_s)


def test_last_other_instance_that_left_still_counts(me, peers, clock):
    """Of two instances the holder orders and is stopped.  The one that is
    left lists nobody; its engines check no number, so that an order of the
    former holder may be carried out after one of its own.
    """
    me.check = False
    me.others = ["a"]
    peers[0].reports.record_order()
    beat(me, peers[0])
    gained_s = clock.now_s
    me.others = []
    clock.now_s += HEARTBEAT_S
    assert not quiet(me, clock, gained_s)


def test_order_from_before_a_restart_still_counts(me, peers, clock):
    """The holder orders, ends by itself and is back within a second.

    Its new process knows of no order and says so; what its former process
    said is lost with that, and another holder orders within a lease.
    """
    peers[0].reports.record_order()
    beat(me, *peers)
    clock.now_s += HEARTBEAT_S
    gained_s = clock.now_s
    beat(me, Instance("a", [], clock), peers[1])
    assert not quiet(me, clock, gained_s)


def test_order_after_the_last_heartbeat_of_a_holder_still_counts(
    me, peers, clock
):
    """The holder orders and is lost before its next heartbeat, or only its
    link to this instance is cut.  The store gives the duty away 2.2 s
    after the holder's last call.  It was heard as the holder, so that it
    may have ordered for as long as its tenure went on.
    """
    peers[0].reports.is_leader = lambda: True
    beat(me, *peers)
    clock.now_s += HEARTBEAT_S
    ordered_s = clock.now_s
    peers[0].reports.record_order()
    clock.now_s += leader.TTL_S - HEARTBEAT_S
    gained_s = clock.now_s
    beat(me, peers[1])
    assert clock.now_s - ordered_s < LEASE_S
    assert not quiet(me, clock, gained_s)


def test_holder_that_falls_silent_is_waited_for_while_its_time_runs(
    me, peers, clock
):
    """It was heard as the holder and may have ordered until its time was
    over; the last it could tell of was before that.
    """
    peers[0].reports.is_leader = lambda: True
    beat(me, *peers)
    pass_s(leader_reports.SILENT_S + HEARTBEAT_S, me, clock)
    gained_s = clock.now_s
    beat(me, peers[1])
    assert not quiet(me, clock, gained_s)
    pass_s(LEASE_S, me, clock)
    beat(me, peers[1])
    assert quiet(me, clock, gained_s)


def test_words_heard_before_an_own_suspension_do_not_count(me, peers, clock):
    """This instance is suspended for some seconds, wakes and is given the
    duty by the store before it has heard anybody.  To it all others are
    silent, though one of them has just given an order.
    """
    beat(me, *peers)
    clock.now_s += 2 * leader_reports.SILENT_S
    peers[0].reports.record_order()
    clock.now_s += HEARTBEAT_S
    assert not quiet(me, clock, clock.now_s)
