from __future__ import annotations

import pytest

from briarseam.forwarding import calls
from briarseam.placement import kept
from briarseam.placement import store_index
from briarseam.placement import store_watch
from briarseam.routes import model

SALT = "m/1/"
PARTS = [calls.PromptPart("a", 100)]


class ScriptedStores:
    """Answers from lists; an error in them is raised."""

    def __init__(self, contents, changes):
        self.contents = contents
        self.changes_told = changes
        self.asked = []

    def content(self, address):
        return answer(self.contents)

    def changes(self, address, since, wait_s):
        self.asked.append(since)
        return answer(self.changes_told)


def answer(told):
    found = told.pop(0)
    if isinstance(found, Exception):
        raise found
    return found


def event(part, tokens=100):
    return store_index.PartEvent(SALT, part, tokens)


@pytest.fixture
def index():
    made = kept.KeptIndex()
    made.set_stores([model.StoreTraits("s", "a", 1000, 1.0, 0.001, True)])
    return made


def watch_of(index, contents, changes):
    stores = ScriptedStores(contents, changes)
    return store_watch.StoreWatch(stores, "s", index), stores


def test_content_is_read_and_its_changes_follow(index):
    watch, stores = watch_of(
        index,
        [store_index.Content(1, 7, (event("b"),))],
        [store_index.Changes(1, 9, False, (event("a"),))],
    )
    watch.poll()
    watch.poll()
    assert stores.asked == [7]
    assert set(index.stores["s"].held) == {(SALT, "a"), (SALT, "b")}


def test_store_that_started_anew_is_read_anew(index):
    """A store loses power; its changes begin again at some number."""
    watch, stores = watch_of(
        index,
        [
            store_index.Content(1, 7, (event("a"),)),
            store_index.Content(2, 3, ()),
        ],
        [store_index.Changes(2, 3, False, ())],
    )
    watch.poll()
    watch.poll()
    assert index.plan(SALT, PARTS).fetch_from == ("",)
    watch.poll()
    assert index.stores["s"].epoch == 2


def test_store_that_does_not_answer_is_forgotten_and_read_anew(index):
    """A store is gone for some seconds and comes back empty."""
    watch, stores = watch_of(
        index,
        [
            store_index.Content(1, 7, (event("a"),)),
            store_index.Content(2, 1, ()),
        ],
        [store_watch.StoreUnavailableError("away")],
    )
    watch.poll()
    assert watch.poller.step() == store_watch.RETRY_S
    assert index.plan(SALT, PARTS).fetch_from == ("",)
    watch.poll()
    assert index.stores["s"].epoch == 2


def test_answer_after_the_stop_is_not_taken_in(index):
    """Another instance reads the store from now on; its word counts."""
    watch, stores = watch_of(
        index, [store_index.Content(1, 7, (event("a"),))], []
    )
    watch.stop()
    watch.poll()
    assert not index.stores["s"].readable
