"""Malformed records and truncated answers of the metadata store."""

from __future__ import annotations

import base64
import struct
import typing

import msgspec
import pytest

from briarseam.feeds import record_cache
from briarseam.feeds import records
from briarseam.platform import framing
from briarseam.platform import store as stores
from tests import clocks

TOPIC = "keyed.things"
POSITIONS = struct.pack(">QQ", 9, 0)
GOOD = framing.encode_keyed("good", b"1")
START = 5


class Answer:
    """Response of the store."""

    headers: typing.ClassVar = {}

    def __init__(self, data, status=200):
        self.data = data
        self.status = status


class ScriptedStore(stores.StoreClient):
    """Client whose calls are answered from a list."""

    def __init__(self, *bodies):
        super().__init__("127.0.0.1:1")
        self.bodies = list(bodies)
        self.queries = []

    def call(self, method, path, query, **options):
        self.queries.append(query)
        return Answer(self.bodies.pop(0))


def framed(*items):
    return b"".join(struct.pack(">I", len(item)) + item for item in items)


@pytest.mark.parametrize(
    "bad",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\x02\xff\xfe1", id="key not UTF-8"),
        pytest.param(b"\x09good", id="key truncated"),
    ],
)
def test_malformed_record_keeps_its_offset_and_is_skipped(bad):
    """Guards against a read that fails at a record with a malformed key.

    The read would be repeated endlessly, and no later record of the topic
    would be seen.
    """
    store = ScriptedStore(POSITIONS + framed(GOOD, bad, GOOD))
    batch = store.read_keyed(TOPIC, START, 0.1)
    good = records.KeyedRecord("good", b"1")
    assert [record for record in batch.records if record.key] == [good, good]
    assert batch.next == START + 3
    # Instances that read through another one are answered by offset, so each
    # record keeps its position, whether it is valid or not.
    cache = record_cache.RecordCache(lambda: 0.0)
    cache.reset(START)
    cache.append(batch)
    assert cache.read(START + 2, 0.0).records == (good,)


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b"", id="empty"),
        pytest.param(POSITIONS[:-1], id="positions truncated"),
        pytest.param(
            POSITIONS + framed(GOOD)[:-1], id="first record truncated"
        ),
    ],
)
def test_truncated_answer_without_a_complete_record_is_an_error(body):
    """Guards against taking a truncated body for one without records.

    The next read would follow without a pause, and the store would be
    queried thousands of times a second.
    """
    with pytest.raises(records.StoreUnavailableError):
        ScriptedStore(body).read_keyed(TOPIC, START, 0.1)


def test_complete_records_of_a_truncated_answer_are_returned():
    body = POSITIONS + framed(GOOD, GOOD)[:-1]
    batch = ScriptedStore(body).read_keyed(TOPIC, START, 0.1)
    assert len(batch.records) == 1
    assert batch.next == START + 1


def item(key, value=b"1"):
    return {"key": key, "value": base64.b64encode(value).decode()}


def page(*items, more=False):
    return msgspec.json.encode({"items": items, "hasMore": more, "end": 7})


@pytest.mark.parametrize(
    "bad",
    [
        pytest.param({"key": "bad", "value": "%%%"}, id="not base64"),
        pytest.param({"key": "bad", "value": 7}, id="value is a number"),
        pytest.param({"key": "bad", "value": "é"}, id="beyond ASCII"),
        pytest.param({"value": "MQ=="}, id="no key"),
        pytest.param([], id="not an object"),
    ],
)
def test_malformed_newest_record_does_not_hide_the_others(bad):
    """Guards against a read of all records that fails at a malformed one.

    A starting instance would never get its configuration.
    """
    store = ScriptedStore(
        page(item("a"), bad, more=True), page(bad, item("z"))
    )
    batch = store.newest(TOPIC)
    assert [record.key for record in batch.records] == ["a", "z"]
    assert store.queries[1]["after"] == "a"
    assert batch.next == 7


def test_page_without_progress_ends_the_read():
    """Guards against reading the same page endlessly.

    The only key of the page is empty, and more pages are announced, so the
    next page would start at the same key.
    """
    store = ScriptedStore(page(item(""), more=True))
    assert len(store.newest(TOPIC).records) == 1


class SlowStore(ScriptedStore):
    """Client whose calls take some time."""

    def __init__(self, clock, took_s, *bodies):
        super().__init__(*bodies)
        self.clock = clock
        self.took_s = took_s

    def call(self, *args, **options):
        self.clock.now_s += self.took_s
        return super().call(*args, **options)


WAIT_S = 0.8
ASKED_S = 100.0


@pytest.mark.parametrize(
    "took_s, end, items, complete_until_s",
    [
        pytest.param(0.81, START, [], ASKED_S + WAIT_S, id="waited in vain"),
        pytest.param(9.0, START, [], ASKED_S + WAIT_S, id="answer is late"),
        pytest.param(0.7, START, [], ASKED_S, id="answered early"),
        pytest.param(0.9, START + 1, [GOOD], ASKED_S, id="record came"),
        pytest.param(
            0.0, START + 2, [GOOD], records.NEVER_S, id="more than fits"
        ),
    ],
)
def test_read_tells_until_when_it_is_complete(
    monkeypatch, took_s, end, items, complete_until_s
):
    """Guards against an answer that is read long after it was given."""
    clock = clocks.ManualClock()
    clock.now_s = ASKED_S
    monkeypatch.setattr(stores.clocks, "boot_clock", clock)
    body = struct.pack(">QQ", end, 0) + framed(*items)
    store = SlowStore(clock, took_s, body)
    batch = store.read_keyed(TOPIC, START, WAIT_S)
    assert batch.complete_until_s == pytest.approx(complete_until_s)
