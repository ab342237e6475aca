from __future__ import annotations

import math

import pytest

from briarseam.placement import fetch_leases
from briarseam.weights import goals
from tests import clocks

LEASE_S = 10.0


class Case:
    def __init__(self):
        self.clock = clocks.ManualClock()
        self.newest = {}
        self.unheard_s = 0.0
        self.leases = fetch_leases.FetchLeases(
            lambda: LEASE_S,
            lambda: self.newest,
            lambda: self.clock() - self.unheard_s,
            self.clock,
        )

    def name(self, version):
        self.newest = {"m": goals.WeightGoal("m", version)}

    def run(self, seconds):
        """Renew as the thread does."""
        for _ in range(round(seconds / fetch_leases.RENEW_S)):
            self.clock.now_s += fetch_leases.RENEW_S
            self.unheard_s += fetch_leases.RENEW_S if self.unheard_s else 0.0
            self.leases.renew()

    def may_fetch(self, version):
        return self.leases.end_of_fetch("m", version) is not None


@pytest.fixture
def case():
    made = Case()
    made.run(fetch_leases.START_WAIT_S + 1.0)
    return made


def test_weights_that_are_not_replaced_may_be_fetched(case):
    assert case.may_fetch(0)
    case.name(2)
    case.run(100.0)
    assert case.may_fetch(2)
    assert case.may_fetch(3)


def test_fetch_ends_after_its_limit(case):
    end_s = case.leases.end_of_fetch("m", 1)
    assert end_s == case.clock() + fetch_leases.FETCH_LIMIT_S


def test_replaced_weights_are_fetched_until_the_lease_ends(case):
    case.name(2)
    case.run(LEASE_S - 1.0)
    assert case.may_fetch(1)
    case.run(1.0 + fetch_leases.RENEW_S)
    assert not case.may_fetch(1)


def test_lease_counts_from_when_weights_were_known_not_to_be_replaced(case):
    """Guards against an instance that hears late of newer weights."""
    case.unheard_s = 0.1
    case.run(LEASE_S - 1.0)
    case.name(2)
    case.unheard_s = 0.0
    case.run(1.0 + fetch_leases.RENEW_S)
    assert not case.may_fetch(1)
    assert case.may_fetch(2)


def test_instance_that_hears_nothing_fetches_nothing(case):
    case.unheard_s = 0.1
    case.run(LEASE_S + 1.0)
    assert not case.may_fetch(1)


def test_suspended_instance_has_no_lease_when_it_goes_on(case):
    case.clock.now_s += LEASE_S + 1.0
    assert not case.may_fetch(1)


def test_instance_that_starts_fetches_nothing_for_a_moment():
    """Guards against parts that another instance is just freeing."""
    case = Case()
    case.run(fetch_leases.START_WAIT_S - fetch_leases.RENEW_S)
    assert not case.may_fetch(1)
    case.run(3 * fetch_leases.RENEW_S)
    assert case.may_fetch(1)


def test_instance_that_starts_fetches_nothing_of_replaced_weights():
    """Guards against counting the age of weights from one's own start."""
    case = Case()
    case.name(2)
    case.run(LEASE_S)
    assert case.may_fetch(2)
    assert not case.may_fetch(1)


def test_instance_that_reads_again_fetches_nothing_for_a_moment(case):
    """Guards against what an instance reads first from a restored store.

    Another one may just be freeing parts of weights that the store named
    before it was restored.
    """
    case.unheard_s = 0.1
    case.run(fetch_leases.MAX_GAP_S + 1.0)
    assert case.may_fetch(1)
    case.unheard_s = 0.0
    case.run(fetch_leases.START_WAIT_S - fetch_leases.RENEW_S)
    assert not case.may_fetch(1)
    case.run(3 * fetch_leases.RENEW_S)
    assert case.may_fetch(1)


def test_wait_of_an_instance_that_starts_begins_with_its_first_reading():
    case = Case()
    case.unheard_s = math.inf
    case.run(10.0)
    case.unheard_s = 0.0
    case.run(fetch_leases.START_WAIT_S - fetch_leases.RENEW_S)
    assert not case.may_fetch(1)
    case.run(3 * fetch_leases.RENEW_S)
    assert case.may_fetch(1)


def test_parts_are_freed_only_after_longer_than_a_gap_without_a_wait():
    assert fetch_leases.free_after_s() > fetch_leases.MAX_GAP_S


@pytest.mark.parametrize("in_use_s", [0.0, 1.0, 10.0, 60.0])
def test_parts_are_freed_after_all_fetches_that_may_have_begun(case, in_use_s):
    """Guards against instances whose settings differ."""
    case.leases.in_use_s = lambda: in_use_s
    last_s = case.leases.lease_s() + fetch_leases.FETCH_LIMIT_S
    assert fetch_leases.free_after_s() > last_s


def test_fetch_without_leases_has_no_end():
    assert fetch_leases.may_always_fetch("m", 1) == math.inf
