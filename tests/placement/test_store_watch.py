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
    """Answers from lists, and raises the errors in them."""

    def __init__(self, contents, changes):
        self.contents = contents
        self.change_answers = changes
        self.cursors = []

    def content(self, address):
        return next_answer(self.contents)

    def changes(self, address, since, wait_s):
        self.cursors.append(since)
        return next_answer(self.change_answers)


def next_answer(answers):
    value = answers.pop(0)
    if isinstance(value, Exception):
        raise value
    return value


def event(part, tokens=100):
    return store_index.PartEvent(SALT, part, tokens)


@pytest.fixture
def index():
    new_index = kept.KeptIndex()
    new_index.set_stores([model.StoreTraits("s", "a", 1000, 1.0, 0.001, True)])
    return new_index


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
    assert stores.cursors == [7]
    assert set(index.stores["s"].held) == {(SALT, "a"), (SALT, "b")}


def test_restarted_store_is_read_again(index):
    """After a power loss, change numbers restart at another value."""
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


def test_unreadable_store_is_dropped_and_read_again(index):
    """A store is unreachable for some seconds and comes back empty."""
    watch, stores = watch_of(
        index,
        [
            store_index.Content(1, 7, (event("a"),)),
            store_index.Content(2, 1, ()),
        ],
        [store_watch.StoreUnavailableError("unreachable")],
    )
    watch.poll()
    assert watch.poller.step() == store_watch.RETRY_S
    assert index.plan(SALT, PARTS).fetch_from == ("",)
    watch.poll()
    assert index.stores["s"].epoch == 2


def test_answer_after_stop_is_not_applied(index):
    """Another instance reads the store now, and its updates apply."""
    watch, stores = watch_of(
        index, [store_index.Content(1, 7, (event("a"),))], []
    )
    watch.stop()
    watch.poll()
    assert not index.stores["s"].readable
