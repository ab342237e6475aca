from __future__ import annotations

import pytest

from briarseam.feeds import records
from briarseam.peers import expiry
from briarseam.peers import registrations
from tests import clocks

TOPIC = "keyed.members"
NAMES = ("one", "two", "three")


class Store:
    """Records the keys that are removed."""

    def __init__(self):
        self.removed = []
        self.unavailable = False

    def put(self, topic, key, value):
        if self.unavailable:
            raise records.StoreUnavailableError("unavailable")
        assert (topic, value) == (TOPIC, None)
        self.removed.append(key)


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def store():
    return Store()


@pytest.fixture
def live():
    return set(NAMES)


def build_expiry(name, store, live, clock):
    registered = registrations.Registrations(
        store, TOPIC, registrations.Registration(name, "", "north", "a")
    )
    registered.by_name = {
        each: registrations.Registration(each, "", "north", "a")
        for each in NAMES
    }
    return expiry.Expiry(registered, lambda: live, clock)


@pytest.fixture
def all_three(store, live, clock):
    return [build_expiry(name, store, live, clock) for name in NAMES]


def review(instances, clock, times=1):
    for _ in range(times):
        clock.now_s += expiry.REVIEW_S
        for instance in instances:
            instance.review()


REVIEWS_TO_REMOVE = int(expiry.REMOVE_AFTER_S / expiry.REVIEW_S) + 1


def test_registration_of_lost_instance_is_removed_once(
    all_three, store, live, clock
):
    """Guards against stale registrations of instances that lost power.

    Peers would keep trying to reach such an instance, and cells would be
    sized as if it were running.
    """
    live.discard("two")
    remaining = [all_three[0], all_three[2]]
    review(remaining, clock, REVIEWS_TO_REMOVE - 1)
    assert store.removed == []
    review(remaining, clock)
    assert store.removed == ["two"]


def test_instance_that_becomes_live_again_is_kept(
    all_three, store, live, clock
):
    live.discard("two")
    review(all_three, clock, REVIEWS_TO_REMOVE - 1)
    live.add("two")
    review(all_three, clock)
    live.discard("two")
    review(all_three, clock, REVIEWS_TO_REMOVE - 1)
    assert store.removed == []


def test_instance_without_fresh_view_removes_nothing(
    all_three, store, live, clock
):
    """Guards against removals by an instance cut off from its peers.

    It can still write to the store, and all others are silent to it.
    """
    live.clear()
    review(all_three, clock, 2 * REVIEWS_TO_REMOVE)
    assert store.removed == []


def test_silence_during_suspension_is_not_counted(
    all_three, store, live, clock
):
    live.discard("two")
    review(all_three, clock)
    clock.now_s += expiry.REMOVE_AFTER_S
    review(all_three, clock)
    assert store.removed == []


def test_failed_removal_is_retried(all_three, store, live, clock):
    live.discard("two")
    store.unavailable = True
    review(all_three, clock, REVIEWS_TO_REMOVE)
    store.unavailable = False
    review(all_three, clock)
    assert store.removed == ["two"]
