"""Whatever a store answers is read, or the store counts as away."""

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
    """What a call returned."""

    status = 200
    headers: typing.ClassVar = {}

    def __init__(self, data):
        self.data = data


class AnsweredStore(stores.StoreClient):
    """A client of the metadata store whose calls are all answered alike."""

    def __init__(self, data):
        super().__init__("127.0.0.1:1")
        self.data = data

    def call(self, method, path, query, **options):
        return Answer(self.data)


class AnsweredPool:
    """A pool whose requests are all answered alike."""

    def __init__(self, data):
        self.data = data

    def request(self, *_arguments, **_options):
        return Answer(self.data)


@damage.quick
@hypothesis.given(damage.damaged(NEWEST))
def test_any_page_of_records_is_read_or_the_store_counts_as_away(data):
    try:
        AnsweredStore(data).newest("keyed.op")
    except records.StoreUnavailableError:
        return


@damage.quick
@hypothesis.given(strategies.binary(max_size=80))
def test_any_body_of_records_is_read_or_the_store_counts_as_away(data):
    try:
        batch = AnsweredStore(data).read_keyed("keyed.op", 3, 0.0)
    except records.StoreUnavailableError:
        return
    assert batch.next == 3 + len(batch.records)


@damage.quick
@hypothesis.given(strategies.lists(strategies.binary(max_size=20)))
def test_any_record_keeps_its_place_and_hides_no_other(items):
    good = framing.encode_keyed("good", b"1")
    framed = framing.join_records([*items, good])
    store = AnsweredStore(framing.POSITIONS.pack(0, 0) + framed)
    batch = store.read_keyed("keyed.op", 0, 0.0)
    assert batch.next == len(items) + 1
    assert batch.records[-1] == records.KeyedRecord("good", b"1")


def unavailable_or(call, data):
    """Return what a store's answer says, ``None`` if it says nothing."""
    client = cache.CacheStoreClient()
    client.pool = AnsweredPool(data)
    try:
        return call(client)
    except cache.store_watch.StoreUnavailableError:
        return None


@damage.quick
@hypothesis.given(damage.damaged(EVENTS))
def test_any_changes_of_a_store_are_read_or_it_counts_as_away(data):
    found = unavailable_or(
        lambda client: client.changes("127.0.0.1:1", 0, 0.0), data
    )
    assert damage.is_sane(found)


@damage.quick
@hypothesis.given(damage.damaged(LIST))
def test_any_list_of_a_store_is_read_or_it_counts_as_away(data):
    found = unavailable_or(lambda client: client.content("127.0.0.1:1"), data)
    assert damage.is_sane(found)


@damage.quick
@hypothesis.given(damage.values, strategies.integers(0, 2))
def test_no_good_row_is_lost_among_bad_ones(row, place):
    rows = list(EVENTS["events"])
    rows.insert(place, row)
    data = json.dumps({"epoch": 1, "next": 4, "events": rows}).encode()
    if "NaN" in data.decode() or "Infinity" in data.decode():
        # No JSON, so nothing can be told apart in it.
        return
    if "\\ud8" in data.decode():
        return
    found = unavailable_or(
        lambda client: client.changes("127.0.0.1:1", 0, 0.0), data
    )
    assert {event.part for event in found.events} >= {"a", "b"}
