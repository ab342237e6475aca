"""Fuzzed answers of stores are decoded or raise the documented error."""

from __future__ import annotations

import json
import typing

import hypothesis
from hypothesis import strategies

from briarseam.feeds import records
from briarseam.platform import cache
from briarseam.platform import framing
from briarseam.platform import store as stores
from tests.platform import damage

EVENTS = {
    "epoch": 1,
    "next": 3,
    "lost": False,
    "events": [[1, "+", "s", "a", 10, "m"], [2, "-", "s", "b", 0, "m"]],
}
LIST = {"epoch": 1, "next": 3, "held": [["s", "a", 10, "m"]]}
NEWEST = {"items": [{"key": "a", "value": "MQ=="}], "hasMore": False, "end": 1}


class Answer:
    """Response of a call."""

    status = 200
    headers: typing.ClassVar = {}

    def __init__(self, data):
        self.data = data


class AnsweredStore(stores.StoreClient):
    """Client of the metadata store with one answer to all calls."""

    def __init__(self, data):
        super().__init__("127.0.0.1:1")
        self.data = data

    def call(self, method, path, query, **options):
        return Answer(self.data)


class AnsweredPool:
    """Connection pool with one answer to all requests."""

    def __init__(self, data):
        self.data = data

    def request(self, *_arguments, **_options):
        return Answer(self.data)


@damage.QUICK
@hypothesis.given(damage.damaged_documents(NEWEST))
def test_any_page_of_records_is_decoded_or_an_error(data):
    try:
        AnsweredStore(data).newest("keyed.op")
    except records.StoreUnavailableError:
        return


@damage.QUICK
@hypothesis.given(strategies.binary(max_size=80))
def test_any_body_of_records_is_decoded_or_an_error(data):
    try:
        batch = AnsweredStore(data).read_keyed("keyed.op", 3, 0.0)
    except records.StoreUnavailableError:
        return
    assert batch.next == 3 + len(batch.records)


@damage.QUICK
@hypothesis.given(strategies.lists(strategies.binary(max_size=20)))
def test_any_record_keeps_its_offset_and_the_next_is_read(items):
    good = framing.encode_keyed("good", b"1")
    framed = framing.join_records([*items, good])
    store = AnsweredStore(framing.POSITIONS.pack(0, 0) + framed)
    batch = store.read_keyed("keyed.op", 0, 0.0)
    assert batch.next == len(items) + 1
    assert batch.records[-1] == records.KeyedRecord("good", b"1")


def call_or_none(call, data):
    """Return a call's result; ``None`` if the store is unavailable."""
    client = cache.CacheStoreClient()
    client.pool = AnsweredPool(data)
    try:
        return call(client)
    except cache.store_watch.StoreUnavailableError:
        return None


@damage.QUICK
@hypothesis.given(damage.damaged_documents(EVENTS))
def test_any_changes_of_a_cache_store_are_decoded_or_an_error(data):
    result = call_or_none(
        lambda client: client.changes("127.0.0.1:1", 0, 0.0), data
    )
    assert damage.is_bounded(result)


@damage.QUICK
@hypothesis.given(damage.damaged_documents(LIST))
def test_any_list_of_a_cache_store_is_decoded_or_an_error(data):
    result = call_or_none(lambda client: client.content("127.0.0.1:1"), data)
    assert damage.is_bounded(result)


@damage.QUICK
@hypothesis.given(damage.values, strategies.integers(0, 2))
def test_valid_rows_are_kept_among_malformed_ones(row, place):
    rows = list(EVENTS["events"])
    rows.insert(place, row)
    data = json.dumps({"epoch": 1, "next": 4, "events": rows}).encode()
    if "NaN" in data.decode() or "Infinity" in data.decode():
        # Not valid JSON, so the rows can't be separated.
        return
    if "\\ud8" in data.decode():
        return
    result = call_or_none(
        lambda client: client.changes("127.0.0.1:1", 0, 0.0), data
    )
    assert {event.part for event in result.events} >= {"a", "b"}
