"""A store of KV cache that starts again holds nothing of before.

By the way in which the restart shows first (`WAYS`): the store's pages of
events, its list, and what a peer that reads the store tells.
"""

from __future__ import annotations

import pytest

from briarseam.forwarding import calls
from briarseam.placement import kept
from briarseam.placement import shared_watch
from briarseam.placement import store_messages as messages
from briarseam.placement import store_sharing
from briarseam.placement import store_watch
from briarseam.platform import cache
from briarseam.routes import model
from tests.platform import cache_store

SALT = "m/1/"
OLD_BORN = 1_700_000_000_000
NEW_BORN = 1_700_000_007_500
PARTS = [calls.PromptPart("a", 100)]
SAVED = [calls.PromptPart("b", 100)]


def index_of(address):
    made = kept.KeptIndex()
    made.set_stores(
        [model.StoreTraits(address, "a", 10_000, 1.0, 0.001, True)]
    )
    return made


class Case:
    """A store, an instance that reads it, and one that asks that."""

    def __init__(self, store, monkeypatch) -> None:
        monkeypatch.setattr(store_watch, "WAIT_S", 0.0)
        monkeypatch.setattr(shared_watch, "WAIT_S", 0.0)
        self.store = store
        self.index = index_of(store.address)
        self.watch = store_watch.StoreWatch(
            cache.CacheStoreClient(), store.address, self.index
        )
        self.reader = index_of(store.address)
        self.reading = store_watch.StoreWatch(
            cache.CacheStoreClient(), store.address, self.reader
        )
        self.sharing = store_sharing.StoreSharing(
            self.reader, lambda address: True
        )
        self.asking = shared_watch.SharedWatch(
            self, "reader", [store.address], self.index
        )

    def read_stores(self, reader, asked, timeout_s):
        return self.sharing.answer(asked)

    def fetched(self):
        return self.index.plan(SALT, PARTS).fetch_from != ("",)

    def is_saving(self):
        return (SALT, "b") in self.index.pending_saves

    def told(self, born, epoch, whole, readable=True):
        """Return what a peer tells that has part "a" of some start."""
        return messages.StoreUpdate(
            self.store.address,
            readable,
            epoch,
            "generation",
            1,
            0.0,
            whole,
            ((SALT, "a", 100),),
            born,
        )


@pytest.fixture
def store():
    with cache_store.CacheStore(OLD_BORN) as made:
        made.put(SALT, "a", 100)
        yield made


@pytest.fixture
def case(store, monkeypatch):
    """The store's part is known, and another is on its way there."""
    made = Case(store, monkeypatch)
    made.watch.poll()
    made.reading.poll()
    assert made.fetched()
    made.index.record_saves(SALT, SAVED, [store.address])
    return made


def by_events(case):
    case.watch.poll()


def by_list(case):
    """The watch had lost the store, so it reads all anew."""
    case.watch.cursor = None
    case.watch.poll()


def by_peer(case):
    case.reading.poll()
    case.reading.poll()
    case.asking.poll()


WAYS = {"events": by_events, "list": by_list, "peer": by_peer}
STARTS = {
    "epoch and birth": (NEW_BORN, 2),
    "epoch alone": (None, 2),
    "birth alone": (NEW_BORN, 1),
}


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("start", STARTS)
def test_new_start_of_a_store_is_known_to_hold_nothing(case, way, start):
    """A store loses power and is back at once, empty.

    A part of before is written again just then; fetched by what was known,
    half of it would be garbage.  A part that was on its way is lost, and
    would not be sent again for seconds.
    """
    case.store.restart(*STARTS[start])
    WAYS[way](case)
    assert not case.fetched()
    assert not case.is_saving()
    case.watch.poll()
    case.watch.poll()
    case.store.put(SALT, "a", 100)
    case.watch.poll()
    assert case.fetched()


@pytest.mark.parametrize("whole", [True, False])
@pytest.mark.parametrize("way", WAYS)
def test_word_of_a_stores_earlier_start_changes_nothing(case, way, whole):
    """The store starts again; a peer that has not seen it yet tells what
    was there before.  Fetched, it would be garbage while it is written.
    """
    case.store.restart(NEW_BORN, 2)
    WAYS[way](case)
    case.asking.apply(case.told(OLD_BORN, 1, whole))
    assert not case.fetched()
    case.watch.poll()
    case.watch.poll()
    case.store.put(SALT, "a", 100)
    case.watch.poll()
    case.asking.apply(case.told(OLD_BORN, 1, whole))
    assert case.fetched()
    case.asking.apply(case.told(OLD_BORN, 1, whole, readable=False))
    assert case.fetched()


def test_peer_that_cannot_read_the_present_start_is_believed(case):
    case.asking.apply(case.told(OLD_BORN, 1, False, readable=False))
    assert not case.fetched()


def test_store_that_does_not_say_when_it_was_born_is_followed(case):
    case.store.born = None
    case.store.put(SALT, "b", 100)
    case.watch.poll()
    assert case.fetched()
    assert not case.is_saving()


def test_words_of_a_stores_present_start_are_taken(case):
    case.asking.apply(case.told(OLD_BORN, 1, False))
    assert case.fetched()
