from __future__ import annotations

import pytest

from briarseam.feeds import records
from briarseam.weights import leader
from briarseam.weights import leader_reports
from tests import clocks

LEASE_S = 3.0
HEARTBEAT_S = 0.5


class Instance:
    """One instance; ``others`` and ``check_fence`` can be set."""

    def __init__(self, name, others, clock):
        self.name = name
        self.others = others
        self.check_fence = True
        self.reports = leader_reports.LeaderReports(
            lambda: self.others, lambda: self.check_fence, clock
        )


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def local(clock):
    return Instance("local", ["a", "b"], clock)


@pytest.fixture
def peers(clock):
    return [Instance("a", [], clock), Instance("b", [], clock)]


def advance_s(seconds, local, clock):
    """Advance the clock while this instance is not suspended."""
    for _ in range(int(seconds / HEARTBEAT_S)):
        clock.now_s += HEARTBEAT_S
        local.reports.record_active()


def exchange_heartbeats(local, *peers):
    for peer in peers:
        local.reports.consume(peer.name, peer.reports.provide())


def are_others_idle(local, clock, gained_s):
    return local.reports.are_others_idle(gained_s, LEASE_S)


def test_no_wait_once_all_others_report_that_they_are_not_leader(
    local, peers, clock
):
    """All processes have restarted; waiting for those that ended would cost
    the rollout time.
    """
    gained_s = clock.now_s
    assert not are_others_idle(local, clock, gained_s)
    exchange_heartbeats(local, peers[0])
    assert not are_others_idle(local, clock, gained_s)
    exchange_heartbeats(local, peers[1])
    assert are_others_idle(local, clock, gained_s)


def test_report_from_before_the_leadership_does_not_count(local, peers, clock):
    """A peer that was not leader may have been leader in between."""
    exchange_heartbeats(local, *peers)
    clock.now_s += HEARTBEAT_S
    assert not are_others_idle(local, clock, clock.now_s)


def test_former_leader_that_does_not_know_of_its_loss_is_waited_for(
    local, peers, clock
):
    peers[0].reports.is_leader = lambda: True
    exchange_heartbeats(local, *peers)
    assert not are_others_idle(local, clock, clock.now_s)


def test_wait_lasts_a_lease_from_the_former_leaders_last_order(
    local, peers, clock
):
    """Otherwise orders of two leaders would interleave within a lease."""
    gained_s = clock.now_s
    peers[0].reports.record_order()
    clock.now_s += LEASE_S - HEARTBEAT_S
    exchange_heartbeats(local, *peers)
    assert not are_others_idle(local, clock, gained_s)
    clock.now_s += HEARTBEAT_S + 0.01
    exchange_heartbeats(local, *peers)
    assert are_others_idle(local, clock, gained_s)


def test_order_of_a_silent_instance_still_counts(local, peers, clock):
    peers[0].reports.record_order()
    exchange_heartbeats(local, *peers)
    advance_s(leader_reports.SILENT_S + HEARTBEAT_S, local, clock)
    gained_s = clock.now_s
    exchange_heartbeats(local, peers[1])
    assert not are_others_idle(local, clock, gained_s)
    advance_s(LEASE_S, local, clock)
    exchange_heartbeats(local, peers[1])
    assert are_others_idle(local, clock, gained_s)


def test_silent_instance_is_waited_for_if_engines_check_no_fence(
    local, peers, clock
):
    """It may be suspended, and engines would accept an order that is still
    on the way.
    """
    advance_s(10 * leader_reports.SILENT_S, local, clock)
    gained_s = clock.now_s
    assert are_others_idle(local, clock, gained_s)
    local.check_fence = False
    assert not are_others_idle(local, clock, gained_s)


def test_unknown_instances_are_waited_for(local, clock):
    local.others = None
    advance_s(10 * leader_reports.SILENT_S, local, clock)
    assert not are_others_idle(local, clock, clock.now_s)


def test_only_instance_does_not_wait(local, clock):
    local.others = []
    local.check_fence = False
    assert are_others_idle(local, clock, clock.now_s)


class Group:
    """A store that has assigned the group's partition to one member."""

    generation = 5

    def join(self, group, member, topic, ttl_s, generation):
        return records.GroupShare(
            self.generation, frozenset({(topic, leader.PARTITION)})
        )

    def leave(self, group, member):
        return None


@pytest.fixture
def leadership(local, clock):
    return leader.Leadership(
        Group(),
        "group",
        "topic",
        "local",
        LEASE_S,
        are_others_idle=lambda since_s: local.reports.are_others_idle(
            since_s, LEASE_S
        ),
        clock=clock,
    )


def test_leader_orders_as_soon_as_the_others_are_idle(
    local, peers, leadership, clock
):
    leadership.join_once()
    assert leadership.fence() is None
    clock.now_s += HEARTBEAT_S
    exchange_heartbeats(local, *peers)
    leadership.join_once()
    assert leadership.fence() == 5


def test_leader_that_may_order_continues_while_others_are_unknown(
    local, peers, leadership, clock
):
    """Once no other instance gave orders, none can, as the store makes only
    one of them the leader.
    """
    leadership.join_once()
    exchange_heartbeats(local, *peers)
    assert leadership.fence() == 5
    clock.now_s += 1.0
    leadership.join_once()
    local.others = None
    assert leadership.fence() == 5


def test_order_of_an_instance_that_left_still_counts(local, peers, clock):
    """During a rolling restart the leader orders, stops at once and removes
    its registration.  The next leader no longer lists it and must still not
    order within a lease of that order.
    """
    peers[0].reports.record_order()
    exchange_heartbeats(local, *peers)
    gained_s = clock.now_s
    local.others = ["b"]
    clock.now_s += HEARTBEAT_S
    exchange_heartbeats(local, peers[1])
    assert not are_others_idle(local, clock, gained_s)
    clock.now_s += LEASE_S
    exchange_heartbeats(local, peers[1])
    assert are_others_idle(local, clock, gained_s)


def test_last_other_instance_that_left_still_counts(local, peers, clock):
    """Of two instances the leader orders and is stopped.  The remaining one
    lists no others.  Its engines check no fencing number, so they may carry
    out the former leader's order after one of the new leader.
    """
    local.check_fence = False
    local.others = ["a"]
    peers[0].reports.record_order()
    exchange_heartbeats(local, peers[0])
    gained_s = clock.now_s
    local.others = []
    clock.now_s += HEARTBEAT_S
    assert not are_others_idle(local, clock, gained_s)


def test_order_from_before_a_restart_still_counts(local, peers, clock):
    """The leader orders, ends and restarts within a second.  Its new process
    reports no order; that must not hide the order of the former process.
    """
    peers[0].reports.record_order()
    exchange_heartbeats(local, *peers)
    clock.now_s += HEARTBEAT_S
    gained_s = clock.now_s
    exchange_heartbeats(local, Instance("a", [], clock), peers[1])
    assert not are_others_idle(local, clock, gained_s)


def test_order_after_the_last_heartbeat_of_a_leader_still_counts(
    local, peers, clock
):
    """The leader orders and fails before its next heartbeat, or its link to
    this instance is cut.  The store gives the leadership away 2.2 s after
    its last call.  Its last report was that of the leader, so it may have
    ordered until its leadership expired.
    """
    peers[0].reports.is_leader = lambda: True
    exchange_heartbeats(local, *peers)
    clock.now_s += HEARTBEAT_S
    ordered_s = clock.now_s
    peers[0].reports.record_order()
    clock.now_s += leader.TTL_S - HEARTBEAT_S
    gained_s = clock.now_s
    exchange_heartbeats(local, peers[1])
    assert clock.now_s - ordered_s < LEASE_S
    assert not are_others_idle(local, clock, gained_s)


def test_silent_leader_is_waited_for_until_its_leadership_expires(
    local, peers, clock
):
    """It may have ordered after its last report, until its leadership
    expired.
    """
    peers[0].reports.is_leader = lambda: True
    exchange_heartbeats(local, *peers)
    advance_s(leader_reports.SILENT_S + HEARTBEAT_S, local, clock)
    gained_s = clock.now_s
    exchange_heartbeats(local, peers[1])
    assert not are_others_idle(local, clock, gained_s)
    advance_s(LEASE_S, local, clock)
    exchange_heartbeats(local, peers[1])
    assert are_others_idle(local, clock, gained_s)


def test_reports_from_before_an_own_suspension_do_not_count(
    local, peers, clock
):
    """This instance is suspended for some seconds and becomes leader before
    it receives a heartbeat.  All others look silent to it, although one of
    them has just given an order.
    """
    exchange_heartbeats(local, *peers)
    clock.now_s += 2 * leader_reports.SILENT_S
    peers[0].reports.record_order()
    clock.now_s += HEARTBEAT_S
    assert not are_others_idle(local, clock, clock.now_s)
