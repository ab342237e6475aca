from __future__ import annotations

import itertools

import pytest

from briarseam.placement import kept
from briarseam.placement import shared_watch
from briarseam.placement import store_watch
from briarseam.placement import store_watches
from tests import clocks

CELL = [f"instance-{number}" for number in range(12)]
STORES = [f"10.0.0.{number}:80" for number in range(15)]


class Unreachable:
    """Calls to stores and peers that never answer."""

    def content(self, address):
        raise store_watch.StoreUnavailableError("unreachable")

    def changes(self, address, since, wait_s):
        raise store_watch.StoreUnavailableError("unreachable")

    def read_stores(self, reader, query, timeout_s):
        raise shared_watch.ReaderUnavailableError("unreachable")


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def cell():
    return list(CELL)


@pytest.fixture
def watches(clock, cell):
    """The watches of each instance of a cell."""
    calls = Unreachable()
    all_watches = [
        store_watches.StoreWatches(
            calls,
            calls,
            kept.KeptIndex(clock),
            name,
            lambda: cell,
            lambda: len(CELL),
            clock=clock,
        )
        for name in CELL
    ]
    for instance in all_watches:
        instance.follow(STORES)
    yield all_watches
    for instance in all_watches:
        instance.stop()


def review(watches, clock):
    for instance in watches:
        instance.review()
    clock.now_s += store_watches.SETTLE_S
    for instance in watches:
        instance.review()


def test_each_store_is_read_by_one_instance_of_the_cell(watches, clock):
    """Guards against more callers than a store accepts.

    Of 85 instances that read each store, all but twelve would be refused,
    and would neither fetch nor save.
    """
    review(watches, clock)
    read = list(itertools.chain(*(instance.direct for instance in watches)))
    assert sorted(read) == sorted(STORES)
    assert (
        len([instance for instance in watches if instance.direct])
        == store_watches.READERS_PER_CELL
    )


def test_others_query_the_readers(watches, clock):
    review(watches, clock)
    readers = {
        instance.local_name: set(instance.direct)
        for instance in watches
        if instance.direct
    }
    for instance in watches:
        others = {
            name: readers[name]
            for name in readers
            if name != instance.local_name
        }
        queried = {
            name: set(each.cursors) for name, each in instance.shared.items()
        }
        assert queried == others


def test_stores_of_a_lost_reader_are_reassigned(watches, clock, cell):
    review(watches, clock)
    lost = next(instance for instance in watches if instance.direct)
    cell.remove(lost.local_name)
    remaining = [instance for instance in watches if instance is not lost]
    for instance in remaining:
        instance.review()
    read = list(itertools.chain(*(instance.direct for instance in remaining)))
    assert sorted(read) == sorted(STORES)
    assert all(
        lost.local_name not in instance.shared for instance in remaining
    )


def test_removed_store_is_no_longer_read(watches, clock):
    review(watches, clock)
    for instance in watches:
        instance.follow(STORES[:1])
        instance.review()
    read = list(itertools.chain(*(instance.direct for instance in watches)))
    assert read == STORES[:1]


def test_nothing_is_read_before_peers_are_known(watches, clock, cell):
    """Guards against instances that seem alone when all start at once."""
    cell.clear()
    review(watches, clock)
    cell.extend(CELL[:1])
    watches[0].review()
    assert not watches[0].direct


def test_few_instances_each_read_all_stores_directly(watches, clock):
    """Guards against depending on a single reader that is suspended.

    The others would know no store's content for seconds, and prefill prompts
    whose parts are kept.
    """
    for instance in watches[:7]:
        instance.instance_count = lambda: 7
        instance.review()
        assert set(instance.direct) == set(STORES)
        assert not instance.shared
