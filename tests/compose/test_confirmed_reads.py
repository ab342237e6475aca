from __future__ import annotations

import types

import pytest

from briarseam.compose import node_feeds
from briarseam.feeds import records

RECORD = records.KeyedRecord("version/m", b"{}")


class Store:
    """A store that gives one answer to each read."""

    def __init__(self, answer):
        self.answer = answer
        self.reads = []

    def read_keyed(self, topic, start, wait_s):
        self.reads.append((topic, start, wait_s))
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


def feeds_of(answer, position=7):
    follower = types.SimpleNamespace(topic="keyed.op", next=position)
    store = Store(answer)
    reads = types.SimpleNamespace(store=store)
    made = node_feeds.Feeds(None, None, None, (follower,), reads)
    return made, store


def test_read_without_records_confirms_what_is_known():
    feeds, store = feeds_of(records.KeyedBatch((), 7, 12.5))
    assert feeds.confirm_operators() == 12.5
    assert store.reads == [("keyed.op", 7, 0.0)]


@pytest.mark.parametrize(
    "answer",
    [
        records.KeyedBatch((RECORD,), 8, 12.5),
        records.KeyedBatch((), 7),
        records.StoreUnavailableError("away"),
        records.RecordsExpiredError("expired"),
        records.StoreRestoredError("restored"),
    ],
    ids=["newer", "early", "away", "expired", "restored"],
)
def test_any_other_answer_confirms_nothing(answer):
    """Guards against freeing parts on outdated knowledge."""
    feeds, _store = feeds_of(answer)
    assert feeds.confirm_operators() is None


def test_nothing_is_confirmed_before_the_first_read():
    feeds, store = feeds_of(records.KeyedBatch((), 7, 12.5), position=None)
    assert feeds.confirm_operators() is None
    assert store.reads == []
