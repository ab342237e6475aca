from __future__ import annotations

import pytest

from briarseam.feeds import records
from briarseam.weights import holders
from briarseam.weights import tenure as tenures
from tests import clocks

LEASE_S = 3.0
HEARTBEAT_S = 0.5


class Instance:
    """One instance; ``others`` and the check of numbers can be set."""

    def __init__(self, name, others, clock):
        self.name = name
        self.others = others
        self.check = True
        self.words = holders.HolderWords(
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


def beat(me, *peers):
    for peer in peers:
        me.words.consume(peer.name, peer.words.provide())


def quiet(me, clock, gained_s):
    return me.words.are_quiet(gained_s, LEASE_S)


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
    peers[0].words.holds = lambda: True
    beat(me, *peers)
    assert not quiet(me, clock, clock.now_s)


def test_former_holder_is_waited_for_since_its_last_order(me, peers, clock):
    """Two holders would take turns within a lease."""
    gained_s = clock.now_s
    peers[0].words.note_ordered()
    clock.now_s += LEASE_S - HEARTBEAT_S
    beat(me, *peers)
    assert not quiet(me, clock, gained_s)
    clock.now_s += HEARTBEAT_S + 0.01
    beat(me, *peers)
    assert quiet(me, clock, gained_s)


def test_order_of_an_instance_that_fell_silent_still_counts(me, peers, clock):
    peers[0].words.note_ordered()
    beat(me, *peers)
    clock.now_s += holders.SILENT_S + 0.1
    gained_s = clock.now_s
    beat(me, peers[1])
    assert not quiet(me, clock, gained_s)
    clock.now_s += LEASE_S
    beat(me, peers[1])
    assert quiet(me, clock, gained_s)


def test_silent_instance_is_waited_for_where_engines_check_no_number(
    me, peers, clock
):
    """It may be suspended with an order on the way, which they would take."""
    clock.now_s += 10 * holders.SILENT_S
    gained_s = clock.now_s
    assert quiet(me, clock, gained_s)
    me.check = False
    assert not quiet(me, clock, gained_s)


def test_instances_that_are_not_known_are_waited_for(me, clock):
    me.others = None
    clock.now_s += 10 * holders.SILENT_S
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
            self.generation, frozenset({(topic, tenures.PARTITION)})
        )

    def leave(self, group, member):
        return None


def test_holder_orders_as_soon_as_the_others_are_quiet(me, peers, clock):
    tenure = tenures.Tenure(
        Group(),
        "group",
        "topic",
        "me",
        LEASE_S,
        are_quiet=lambda since_s: me.words.are_quiet(since_s, LEASE_S),
        clock=clock,
    )
    tenure.join_once()
    assert tenure.fence() is None
    clock.now_s += HEARTBEAT_S
    beat(me, *peers)
    tenure.join_once()
    assert tenure.fence() == 5


def test_holder_that_may_order_goes_on_while_others_are_not_heard(
    me, peers, clock
):
    """Once nobody else gave orders, nobody else can: the store says so."""
    tenure = tenures.Tenure(
        Group(),
        "group",
        "topic",
        "me",
        LEASE_S,
        are_quiet=lambda since_s: me.words.are_quiet(since_s, LEASE_S),
        clock=clock,
    )
    tenure.join_once()
    beat(me, *peers)
    assert tenure.fence() == 5
    clock.now_s += 1.0
    tenure.join_once()
    me.others = None
    assert tenure.fence() == 5
