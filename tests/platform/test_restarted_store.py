"""A store of KV cache that restarts is empty.

The restart is detected (`RESTART_SIGNALS`) in the store's events, in its
list, or in the update of a peer that reads the store.
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
    """A store, an instance that reads it, and one that queries the reader."""

    def __init__(self, store, monkeypatch) -> None:
        monkeypatch.setattr(store_watch, "WAIT_S", 0.0)
        monkeypatch.setattr(shared_watch, "WAIT_S", 0.0)
        self.store = store
        self.index = index_of(store.address)
        self.watch = store_watch.StoreWatch(
            cache.CacheStoreClient(), store.address, self.index
        )
        self.reader_index = index_of(store.address)
        self.reader_watch = store_watch.StoreWatch(
            cache.CacheStoreClient(), store.address, self.reader_index
        )
        self.sharing = store_sharing.StoreSharing(
            self.reader_index, lambda address: True
        )
        self.shared_watch = shared_watch.SharedWatch(
            self, "reader", [store.address], self.index
        )

    def read_stores(self, reader, query, timeout_s):
        return self.sharing.answer(query)

    def is_fetched(self):
        return self.index.plan(SALT, PARTS).fetch_from != ("",)

    def is_saving(self):
        return (SALT, "b") in self.index.pending_saves

    def peer_update(self, born, epoch, complete, readable=True):
        """Return a peer's update with part "a" of some start."""
        return messages.StoreUpdate(
            self.store.address,
            readable,
            epoch,
            "generation",
            1,
            0.0,
            complete,
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
    """One part of the store is known, and another is being saved."""
    made = Case(store, monkeypatch)
    made.watch.poll()
    made.reader_watch.poll()
    assert made.is_fetched()
    made.index.record_saves(SALT, SAVED, [store.address])
    return made


def by_events(case):
    case.watch.poll()


def by_list(case):
    """The watch had lost the store, so it reads the whole list again."""
    case.watch.cursor = None
    case.watch.poll()


def by_peer(case):
    case.reader_watch.poll()
    case.reader_watch.poll()
    case.shared_watch.poll()


RESTART_SIGNALS = {"events": by_events, "list": by_list, "peer": by_peer}
STARTS = {
    "epoch and start time": (NEW_BORN, 2),
    "epoch alone": (None, 2),
    "start time alone": (NEW_BORN, 1),
}


@pytest.mark.parametrize("signal", RESTART_SIGNALS)
@pytest.mark.parametrize("start", STARTS)
def test_restarted_store_is_treated_as_empty(case, signal, start):
    """Guards against using the former content of a restarted store.

    A store loses power and restarts at once, empty.  If a known part is
    fetched while it is being written again, half of it is garbage.  A part
    that was being saved is lost, and would not be sent again for seconds.
    """
    case.store.restart(*STARTS[start])
    RESTART_SIGNALS[signal](case)
    assert not case.is_fetched()
    assert not case.is_saving()
    case.watch.poll()
    case.watch.poll()
    case.store.put(SALT, "a", 100)
    case.watch.poll()
    assert case.is_fetched()


@pytest.mark.parametrize("complete", [True, False])
@pytest.mark.parametrize("signal", RESTART_SIGNALS)
def test_late_update_for_a_former_start_changes_nothing(
    case, signal, complete
):
    """A peer that has not detected the restart publishes the former content.

    A part that is fetched while it is being written again is garbage.
    """
    case.store.restart(NEW_BORN, 2)
    RESTART_SIGNALS[signal](case)
    case.shared_watch.apply(case.peer_update(OLD_BORN, 1, complete))
    assert not case.is_fetched()
    case.watch.poll()
    case.watch.poll()
    case.store.put(SALT, "a", 100)
    case.watch.poll()
    case.shared_watch.apply(case.peer_update(OLD_BORN, 1, complete))
    assert case.is_fetched()
    case.shared_watch.apply(
        case.peer_update(OLD_BORN, 1, complete, readable=False)
    )
    assert case.is_fetched()


def test_report_that_the_current_start_is_unreadable_is_applied(case):
    case.shared_watch.apply(
        case.peer_update(OLD_BORN, 1, False, readable=False)
    )
    assert not case.is_fetched()


def test_store_without_start_time_is_followed(case):
    case.store.born = None
    case.store.put(SALT, "b", 100)
    case.watch.poll()
    assert case.is_fetched()
    assert not case.is_saving()


def test_update_for_the_current_start_is_applied(case):
    case.shared_watch.apply(case.peer_update(OLD_BORN, 1, False))
    assert case.is_fetched()
