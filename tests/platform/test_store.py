"""Records of the store that can't be read, among others that can."""

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

TOPIC = "keyed.things"
POSITIONS = struct.pack(">QQ", 9, 0)
GOOD = framing.encode_keyed("good", b"1")
START = 5


class Answer:
    """What a call to the store returned."""

    headers: typing.ClassVar = {}

    def __init__(self, data, status=200):
        self.data = data
        self.status = status


class ScriptedStore(stores.StoreClient):
    """A client whose calls are answered from a list."""

    def __init__(self, *bodies):
        super().__init__("127.0.0.1:1")
        self.bodies = list(bodies)
        self.asked = []

    def call(self, method, path, query, **options):
        self.asked.append(query)
        return Answer(self.bodies.pop(0))


def framed(*items):
    return b"".join(struct.pack(">I", len(item)) + item for item in items)


@pytest.mark.parametrize(
    "bad",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\x02\xff\xfe1", id="key no UTF-8"),
        pytest.param(b"\x09good", id="key cut short"),
    ],
)
def test_record_that_cannot_be_read_counts_but_changes_nothing(bad):
    """Another writer appends a record whose key can't be read.

    The whole read was taken for a failure of the store and was made again
    and again: nothing of the topic was seen any more.
    """
    store = ScriptedStore(POSITIONS + framed(GOOD, bad, GOOD))
    batch = store.read_keyed(TOPIC, START, 0.1)
    good = records.KeyedRecord("good", b"1")
    assert [record for record in batch.records if record.key] == [good, good]
    assert batch.next == START + 3
    # Those who ask another instance are answered by offset, so each
    # record has its place, whether it can be read or not.
    cache = record_cache.RecordCache(lambda: 0.0)
    cache.reset(START)
    cache.append(batch)
    assert cache.read(START + 2, 0.0).records == (good,)


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b"", id="empty"),
        pytest.param(POSITIONS[:-1], id="positions cut short"),
        pytest.param(POSITIONS + framed(GOOD)[:-1], id="first record cut"),
    ],
)
def test_answer_without_any_whole_record_is_no_answer(body):
    """A store answers at once, with a body that breaks off.

    Taken for "nothing new", the next read followed without a pause, and
    the store was asked thousands of times a second.
    """
    with pytest.raises(records.StoreUnavailableError):
        ScriptedStore(body).read_keyed(TOPIC, START, 0.1)


def test_records_before_a_cut_are_taken_and_the_rest_read_again():
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
        pytest.param({"key": "bad", "value": "%%%"}, id="no base64"),
        pytest.param({"key": "bad", "value": 7}, id="value a number"),
        pytest.param({"key": "bad", "value": "é"}, id="beyond ASCII"),
        pytest.param({"value": "MQ=="}, id="no key"),
        pytest.param([], id="no object"),
    ],
)
def test_newest_record_that_cannot_be_read_does_not_hide_the_others(bad):
    """Another writer leaves a record that can't be read.

    The read of all records failed each time, so an instance that started
    never came to know its configuration.
    """
    store = ScriptedStore(
        page(item("a"), bad, more=True), page(bad, item("z"))
    )
    batch = store.newest(TOPIC)
    assert [record.key for record in batch.records] == ["a", "z"]
    assert store.asked[1]["after"] == "a"
    assert batch.next == 7


def test_page_that_leads_nowhere_is_not_read_again_and_again():
    """The only key of a page is empty, and more pages are said to follow.

    The next page would begin where this one did.
    """
    store = ScriptedStore(page(item(""), more=True))
    assert len(store.newest(TOPIC).records) == 1
