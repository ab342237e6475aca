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


class Silent:
    """Neither stores nor peers answer."""

    def content(self, address):
        raise store_watch.StoreUnavailableError("away")

    def changes(self, address, since, wait_s):
        raise store_watch.StoreUnavailableError("away")

    def read_stores(self, reader, asked, timeout_s):
        raise shared_watch.ReaderUnavailableError("away")


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def cell():
    return list(CELL)


@pytest.fixture
def watches(clock, cell):
    """Return watches of each instance, reviewed once peers are known."""
    silent = Silent()
    made = [
        store_watches.StoreWatches(
            silent,
            silent,
            kept.KeptIndex(clock),
            name,
            lambda: cell,
            lambda: len(CELL),
            clock=clock,
        )
        for name in CELL
    ]
    for one in made:
        one.follow(STORES)
    yield made
    for one in made:
        one.stop()


def review(watches, clock):
    for one in watches:
        one.review()
    clock.now_s += store_watches.SETTLE_S
    for one in watches:
        one.review()


def test_each_store_is_read_by_one_instance_of_the_cell(watches, clock):
    """85 instances each hold a call to each store.

    A store takes twelve at once; the others are refused, and fetch and
    save nothing.
    """
    review(watches, clock)
    read = list(itertools.chain(*(one.direct for one in watches)))
    assert sorted(read) == sorted(STORES)
    assert (
        len([one for one in watches if one.direct])
        == store_watches.READERS_PER_CELL
    )


def test_others_ask_the_readers(watches, clock):
    review(watches, clock)
    readers = {
        one.local_name: set(one.direct) for one in watches if one.direct
    }
    for one in watches:
        others = {
            name: readers[name] for name in readers if name != one.local_name
        }
        asked = {name: set(each.cursors) for name, each in one.shared.items()}
        assert asked == others


def test_readers_stores_are_read_by_another_when_it_is_gone(
    watches, clock, cell
):
    review(watches, clock)
    gone = next(one for one in watches if one.direct)
    cell.remove(gone.local_name)
    staying = [one for one in watches if one is not gone]
    for one in staying:
        one.review()
    read = list(itertools.chain(*(one.direct for one in staying)))
    assert sorted(read) == sorted(STORES)
    assert all(gone.local_name not in one.shared for one in staying)


def test_store_of_no_configuration_is_not_read(watches, clock):
    review(watches, clock)
    for one in watches:
        one.follow(STORES[:1])
        one.review()
    read = list(itertools.chain(*(one.direct for one in watches)))
    assert read == STORES[:1]


def test_nothing_is_read_before_peers_are_known(watches, clock, cell):
    """All instances start at once; each seems to be alone at first."""
    cell.clear()
    review(watches, clock)
    cell.extend(CELL[:1])
    watches[0].review()
    assert not watches[0].direct


def test_few_instances_each_read_all_stores_themselves(watches, clock):
    """Of seven instances the one that reads for all is suspended.

    The others know of no store for seconds, and read again what is kept.
    """
    for one in watches[:7]:
        one.instance_count = lambda: 7
        one.review()
        assert set(one.direct) == set(STORES)
        assert not one.shared
