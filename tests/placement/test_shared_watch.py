"""One instance reads the stores, another asks it."""

from __future__ import annotations

import asyncio
import concurrent.futures

import pytest

from briarseam.placement import kept
from briarseam.placement import shared_watch
from briarseam.placement import store_index
from briarseam.placement import store_messages as messages
from briarseam.placement import store_sharing
from briarseam.routes import model
from briarseam.testing import waiting
from tests import clocks

SALT = "m/1/"
STORES = ("s1", "s2")


@pytest.fixture
def clock():
    return clocks.ManualClock()


def empty_index(clock):
    made = kept.KeptIndex(clock)
    made.set_stores(
        [
            model.StoreTraits(address, "a", 10_000, 1.0, 0.001, True)
            for address in STORES
        ]
    )
    return made


@pytest.fixture
def read_here(clock):
    """Index of the instance that reads the stores."""
    made = empty_index(clock)
    made.apply_content("s1", store_index.Content(1, 0, (event("a"),)))
    made.apply_content("s2", store_index.Content(5, 0, ()))
    return made


@pytest.fixture
def index(clock):
    """Index of the instance that asks."""
    return empty_index(clock)


@pytest.fixture
def sharing(read_here):
    return store_sharing.StoreSharing(read_here, lambda address: True)


class Peers:
    """Hands questions to the one reader, without waiting."""

    def __init__(self, sharing):
        self.sharing = sharing
        self.told = []

    def read_stores(self, reader, asked, timeout_s):
        now = messages.StoresAsked(asked.cursors, 0.0)
        self.told.append(self.sharing.answer(now))
        return self.told[-1]


@pytest.fixture
def peers(sharing):
    return Peers(sharing)


@pytest.fixture
def watch(peers, index):
    return shared_watch.SharedWatch(peers, "reader", STORES, index)


def event(part, tokens=100):
    return store_index.PartEvent(SALT, part, tokens)


def change(read_here, address, *events, epoch=1):
    read_here.apply_changes(
        address, store_index.Changes(epoch, 0, False, tuple(events))
    )


def held(index, address):
    return {part for _salt, part in index.stores[address].held}


def test_all_is_told_first_and_changes_after(watch, peers, read_here, index):
    watch.poll()
    assert held(index, "s1") == {"a"}
    change(read_here, "s1", event("b"), event("a", 0))
    watch.poll()
    assert held(index, "s1") == {"b"}
    assert [len(store.parts) for store in peers.told[-1].stores] == [2, 0]
    assert index.stores["s2"].epoch == 5


def test_store_that_started_anew_is_told_at_once(watch, read_here, index):
    """A store loses power.  Its content must not be fetched any more, by
    no instance, until it was read anew.
    """
    watch.poll()
    change(read_here, "s1", epoch=2)
    watch.poll()
    assert not index.stores["s1"].readable
    read_here.apply_content("s1", store_index.Content(2, 0, (event("c"),)))
    watch.poll()
    assert held(index, "s1") == {"c"}
    assert index.stores["s1"].epoch == 2


def test_who_is_far_behind_is_told_all(
    watch, peers, read_here, index, monkeypatch
):
    watch.poll()
    read_here.stores["s1"].history.clear()
    read_here.stores["s1"].sequence += 9
    watch.poll()
    assert peers.told[-1].stores[0].whole
    assert held(index, "s1") == {"a"}


def test_what_is_told_is_as_old_as_it_was_at_the_reader(watch, clock, index):
    """The reader itself has not heard of a store for long.

    Counted from the answer, what it tells would be trusted again and again.
    """
    clock.now_s += kept.MAX_AGE_S + 0.1
    watch.poll()
    assert held(index, "s1") == {"a"}
    assert not index.is_confirmed(index.stores["s1"])


def test_instance_that_reads_no_store_tells_nothing(peers, watch, index):
    """Two instances each take the other one for the reader."""
    peers.sharing.reads = lambda address: address != "s2"
    with pytest.raises(shared_watch.ReaderUnavailableError):
        watch.poll()
    assert not index.stores["s1"].readable


def test_content_outlasts_a_reader_that_fails_for_a_moment(
    watch, peers, clock, index
):
    """The reader stops; the next one is asked within a second."""
    watch.poll()
    peers.sharing.reads = lambda address: False
    with pytest.raises(shared_watch.ReaderUnavailableError):
        watch.poll()
    assert index.is_confirmed(index.stores["s1"])
    clock.now_s += kept.MAX_AGE_S + 0.1
    assert not index.is_confirmed(index.stores["s1"])


def test_question_waits_for_a_change(sharing, read_here):
    cursors = tuple(
        (address, index.generation, index.sequence)
        for address, index in read_here.stores.items()
    )
    asked = messages.StoresAsked(cursors, 1.0)

    async def ask():
        await sharing.await_changes(asked)
        return sharing.answer(asked)

    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        asking = pool.submit(asyncio.run, ask())
        waiting.until(lambda: read_here.changed.sleepers, what="it waits")
        assert not asking.done()
        change(read_here, "s2", event("z"), epoch=5)
        told = asking.result(0.9)
    assert [store.parts for store in told.stores] == [
        (),
        ((SALT, "z", 100),),
    ]


def test_answer_stays_below_the_largest_frame(
    watch, read_here, index, monkeypatch
):
    """Both stores are full; what is left out is told next."""
    monkeypatch.setattr(store_sharing, "MAX_PARTS", 1)
    read_here.apply_content("s2", store_index.Content(5, 0, (event("c"),)))
    watch.poll()
    assert (held(index, "s1"), held(index, "s2")) == ({"a"}, set())
    watch.poll()
    assert held(index, "s2") == {"c"}
