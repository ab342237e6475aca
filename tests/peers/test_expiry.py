from __future__ import annotations

import pytest

from briarseam.feeds import records
from briarseam.peers import expiry
from briarseam.peers import registrations
from tests import clocks

TOPIC = "keyed.members"
NAMES = ("one", "two", "three")


class Store:
    """Remembers what was removed."""

    def __init__(self):
        self.removed = []
        self.away = False

    def put(self, topic, key, value):
        if self.away:
            raise records.StoreUnavailableError("away")
        assert (topic, value) == (TOPIC, None)
        self.removed.append(key)


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def store():
    return Store()


@pytest.fixture
def heard():
    return set(NAMES)


def expiry_of(name, store, heard, clock):
    rows = registrations.Registrations(
        store, TOPIC, registrations.Registration(name, "", "north", "a")
    )
    rows.by_name = {
        each: registrations.Registration(each, "", "north", "a")
        for each in NAMES
    }
    return expiry.Expiry(rows, lambda: heard, clock)


@pytest.fixture
def all_three(store, heard, clock):
    return [expiry_of(name, store, heard, clock) for name in NAMES]


def review(all_three, clock, times=1):
    for _ in range(times):
        clock.now_s += expiry.REVIEW_S
        for one in all_three:
            one.review()


ENOUGH = int(expiry.SILENT_S / expiry.REVIEW_S) + 1


def test_instance_lost_for_good_is_removed_once(
    all_three, store, heard, clock
):
    """An instance loses power and is replaced at another address.

    Its peers try to reach it for ever, and cells are made as if it lived.
    """
    heard.discard("two")
    living = [all_three[0], all_three[2]]
    review(living, clock, ENOUGH - 1)
    assert store.removed == []
    review(living, clock)
    assert store.removed == ["two"]


def test_instance_that_was_heard_again_stays(all_three, store, heard, clock):
    heard.discard("two")
    review(all_three, clock, ENOUGH - 1)
    heard.add("two")
    review(all_three, clock)
    heard.discard("two")
    review(all_three, clock, ENOUGH - 1)
    assert store.removed == []


def test_nothing_is_removed_by_who_hears_nobody(
    all_three, store, heard, clock
):
    """An instance is cut off from its peers, not from the store.

    To it, all others are silent.
    """
    heard.clear()
    review(all_three, clock, 2 * ENOUGH)
    assert store.removed == []


def test_silence_while_suspended_does_not_count(
    all_three, store, heard, clock
):
    heard.discard("two")
    review(all_three, clock)
    clock.now_s += expiry.SILENT_S
    review(all_three, clock)
    assert store.removed == []


def test_removal_that_failed_is_tried_again(all_three, store, heard, clock):
    heard.discard("two")
    store.away = True
    review(all_three, clock, ENOUGH)
    store.away = False
    review(all_three, clock)
    assert store.removed == ["two"]
