"""One instance reads the stores, another queries it."""

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
    new_index = kept.KeptIndex(clock)
    new_index.set_stores(
        [
            model.StoreTraits(address, "a", 10_000, 1.0, 0.001, True)
            for address in STORES
        ]
    )
    return new_index


@pytest.fixture
def reader_index(clock):
    """Index of the instance that reads the stores."""
    new_index = empty_index(clock)
    new_index.apply_content("s1", store_index.Content(1, 0, (event("a"),)))
    new_index.apply_content("s2", store_index.Content(5, 0, ()))
    return new_index


@pytest.fixture
def index(clock):
    """Index of the instance that queries the reader."""
    return empty_index(clock)


@pytest.fixture
def sharing(reader_index):
    return store_sharing.StoreSharing(reader_index, lambda address: True)


class Readers:
    """Passes queries to the reader, without waiting for changes."""

    def __init__(self, sharing):
        self.sharing = sharing
        self.replies = []

    def read_stores(self, reader, query, timeout_s):
        immediate = messages.StoresAsked(query.cursors, 0.0)
        self.replies.append(self.sharing.answer(immediate))
        return self.replies[-1]


@pytest.fixture
def readers(sharing):
    return Readers(sharing)


@pytest.fixture
def watch(readers, index):
    return shared_watch.SharedWatch(readers, "reader", STORES, index)


def event(part, tokens=100):
    return store_index.PartEvent(SALT, part, tokens)


def change(reader_index, address, *events, epoch=1):
    reader_index.apply_changes(
        address, store_index.Changes(epoch, 0, False, tuple(events))
    )


def held(index, address):
    return {part for _salt, part in index.stores[address].held}


def test_content_is_read_first_and_changes_after(
    watch, readers, reader_index, index
):
    watch.poll()
    assert held(index, "s1") == {"a"}
    change(reader_index, "s1", event("b"), event("a", 0))
    watch.poll()
    assert held(index, "s1") == {"b"}
    assert [len(store.parts) for store in readers.replies[-1].stores] == [2, 0]
    assert index.stores["s2"].epoch == 5


def test_restart_of_a_store_is_reported_at_once(watch, reader_index, index):
    """Guards against fetches of content that a restarted store has lost.

    No instance may fetch from it until its content is read again.
    """
    watch.poll()
    change(reader_index, "s1", epoch=2)
    watch.poll()
    assert not index.stores["s1"].readable
    reader_index.apply_content("s1", store_index.Content(2, 0, (event("c"),)))
    watch.poll()
    assert held(index, "s1") == {"c"}
    assert index.stores["s1"].epoch == 2


def test_instance_far_behind_receives_the_complete_content(
    watch, readers, reader_index, index, monkeypatch
):
    watch.poll()
    reader_index.stores["s1"].history.clear()
    reader_index.stores["s1"].sequence += 9
    watch.poll()
    assert readers.replies[-1].stores[0].whole
    assert held(index, "s1") == {"a"}


def test_update_is_as_old_as_at_the_reader(watch, clock, index):
    """Guards against confirming content that the reader can't confirm.

    The reader has had no answer from the store for long.  If the age were
    counted from its replies, the content would never expire.
    """
    clock.now_s += kept.MAX_AGE_S + 0.1
    watch.poll()
    assert held(index, "s1") == {"a"}
    assert not index.is_confirmed(index.stores["s1"])


def test_instance_that_does_not_read_a_store_reports_nothing(
    readers, watch, index
):
    """Guards against two instances that each read from the other."""
    readers.sharing.reads = lambda address: address != "s2"
    with pytest.raises(shared_watch.ReaderUnavailableError):
        watch.poll()
    assert not index.stores["s1"].readable


def test_content_is_kept_while_a_reader_fails_briefly(
    watch, readers, clock, index
):
    """A reader stops, and another one replaces it within a second."""
    watch.poll()
    readers.sharing.reads = lambda address: False
    with pytest.raises(shared_watch.ReaderUnavailableError):
        watch.poll()
    assert index.is_confirmed(index.stores["s1"])
    clock.now_s += kept.MAX_AGE_S + 0.1
    assert not index.is_confirmed(index.stores["s1"])


def test_query_waits_for_a_change(sharing, reader_index):
    cursors = tuple(
        (address, index.generation, index.sequence)
        for address, index in reader_index.stores.items()
    )
    query = messages.StoresAsked(cursors, 1.0)

    async def answer_query():
        await sharing.await_changes(query)
        return sharing.answer(query)

    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        pending = pool.submit(asyncio.run, answer_query())
        waiting.until(
            lambda: reader_index.changed.sleepers, what="the query waits"
        )
        assert not pending.done()
        change(reader_index, "s2", event("z"), epoch=5)
        reply = pending.result(0.9)
    assert [store.parts for store in reply.stores] == [
        (),
        ((SALT, "z", 100),),
    ]


def test_answer_stays_below_the_largest_frame(
    watch, reader_index, index, monkeypatch
):
    """Both stores are full; the next reply holds the rest."""
    monkeypatch.setattr(store_sharing, "MAX_PARTS", 1)
    reader_index.apply_content("s2", store_index.Content(5, 0, (event("c"),)))
    watch.poll()
    assert (held(index, "s1"), held(index, "s2")) == ({"a"}, set())
    watch.poll()
    assert held(index, "s2") == {"c"}
