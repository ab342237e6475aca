"""Odd answers of the metadata store itself, in bodies and headers."""

from __future__ import annotations

import base64
import struct

import msgspec
import pytest

from briarseam import malformed
from briarseam.feeds import following
from briarseam.feeds import records
from briarseam.feeds import shared_messages
from briarseam.platform import framing
from briarseam.platform import store as stores
from briarseam.testing import waiting
from briarseam.wire import codec
from tests import clocks

TOPIC = "keyed.things"
NESTED = b'{"items":[],"end":7,"x":' + b"[" * 1_000_000
LARGE_NUMBER = b"9" * 6000
MAX_POSITION = 2**64 - 1


class Answer:
    """Response of the store."""

    def __init__(self, data=b"", status=200, era=None):
        self.data = data
        self.status = status
        self.headers = {} if era is None else {"Store-Era": era}


class Pool:
    """Connections to a store that gives the same answer to all calls."""

    def __init__(self, answer):
        self.answer = answer
        self.calls = 0

    def urlopen(self, *_arguments, **_options):
        self.calls += 1
        return (
            self.answer(self.calls) if callable(self.answer) else self.answer
        )


def client(answer, tally=None):
    made = stores.StoreClient("127.0.0.1:1", tally)
    made.pool = Pool(answer)
    return made


def item(key, value=b"1"):
    return {"key": key, "value": base64.b64encode(value).decode()}


def page(*items, more=False, end=7):
    return msgspec.json.encode({"items": items, "hasMore": more, "end": end})


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"<html></html>", id="HTML"),
        pytest.param(NESTED, id="nested"),
        pytest.param(b'{"end":-1}', id="end negative"),
        pytest.param(b'{"end":1099511627776}', id="end of another era"),
        pytest.param(b'{"end":%s}' % LARGE_NUMBER, id="end of 6000 digits"),
        pytest.param(b'{"end":1e400}', id="end infinite"),
        pytest.param(b'{"end":"7"}', id="end as text"),
        pytest.param(b'{"items":7,"end":7}', id="items are a number"),
        pytest.param(b'{"items":[%s],"end":7}' % (b"[" * 10**6), id="item"),
        pytest.param(b'{"items":[],"end":7}x', id="trailing data"),
    ],
)
def test_odd_page_is_an_error_of_the_store(body):
    """Guards against positions of another era, and errors that end threads."""
    with pytest.raises(records.StoreUnavailableError):
        client(Answer(body, era="3")).newest(TOPIC)


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"<html></html>", id="HTML"),
        pytest.param(NESTED, id="nested"),
        pytest.param(b'{"offset":-1}', id="negative"),
        pytest.param(b'{"offset":1099511627776}', id="another era"),
        pytest.param(b'{"offset":%s}' % LARGE_NUMBER, id="6000 digits"),
    ],
)
def test_odd_answer_to_an_append_is_an_error_of_the_store(body):
    with pytest.raises(records.StoreUnavailableError) as caught:
        client(Answer(body)).append(TOPIC, (b"1",))
    assert caught.value.may_have_run


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b'{"generation":-1}', id="negative"),
        pytest.param(b'{"generation":1099511627776}', id="another era"),
        pytest.param(b'{"generation":%s}' % (b"9" * 30), id="30 digits"),
        pytest.param(b'{"generation":%s}' % LARGE_NUMBER, id="6000 digits"),
        pytest.param(b'{"generation":1,"parts":[[7]]}', id="odd part"),
        pytest.param(
            b'{"generation":1,"parts":%s' % (b"[" * 10**6), id="deep"
        ),
    ],
)
def test_odd_answer_to_a_join_is_an_error_of_the_store(body):
    """Guards against a fencing number that no order can carry."""
    with pytest.raises(records.StoreUnavailableError):
        client(Answer(body)).join("group", "one", TOPIC, 3.0, 0)


@pytest.mark.parametrize("end", [0, 5, MAX_POSITION])
@pytest.mark.parametrize(
    "rest, found",
    [
        pytest.param(b"", 0, id="no record"),
        pytest.param(struct.pack(">I", 0) * 1000, 1000, id="empty records"),
        pytest.param(b"\0\0\0\1x\xff\xff\xff\xffy", 1, id="beyond the body"),
    ],
)
def test_position_follows_the_records_alone(end, rest, found):
    """The store names an odd end of the topic beside its records."""
    body = struct.pack(">QQ", end, MAX_POSITION) + rest
    batch = client(Answer(body)).read_keyed(TOPIC, 5, 0.0)
    assert batch.next == 5 + found


@pytest.mark.parametrize(
    "rest",
    [
        pytest.param(b"\xff\xff\xff\xff", id="length beyond the body"),
        pytest.param(b"\xff", id="length truncated"),
        pytest.param(struct.pack(">I", 9) + b"12345678", id="truncated"),
    ],
)
def test_truncated_batch_is_an_error_of_the_store(rest):
    body = struct.pack(">QQ", 9, 0) + rest
    with pytest.raises(records.StoreUnavailableError):
        client(Answer(body)).read_keyed(TOPIC, 5, 0.0)


@pytest.mark.parametrize(
    "odd",
    [
        pytest.param({"key": "m", "value": 7}, id="value is a number"),
        pytest.param({"key": "m", "value": "%%%"}, id="not base64"),
        pytest.param({"key": "m", "value": None}, id="null"),
    ],
)
def test_page_of_odd_records_does_not_hide_the_next_ones(odd):
    """Guards against endpoints that are dropped with those after a page.

    Pages have hundreds of records, and another writer may have left more.
    """
    pages = [page(item("a"), more=True), page(odd, more=True), page(item("z"))]
    found = client(lambda call: Answer(pages[call - 1])).newest(TOPIC)
    assert [record.key for record in found.records] == ["a", "z"]


def test_pages_that_repeat_are_read_once():
    """Guards against a read that goes on as long as the store answers."""
    keys = ["b", "a"]
    made = client(lambda call: Answer(page(item(keys[call % 2]), more=True)))
    assert len(made.newest(TOPIC).records) <= 3
    assert made.pool.calls <= 3


def test_size_of_a_topic_is_bounded(monkeypatch):
    """Guards against filling the memory with pages without end."""
    monkeypatch.setattr(stores, "MAX_TOPIC_BYTES", 10_000)
    made = client(
        lambda call: Answer(page(item(f"{call:09}", b"x" * 999), more=True))
    )
    with pytest.raises(records.StoreUnavailableError):
        made.newest(TOPIC)
    assert made.pool.calls < 10


@pytest.mark.parametrize(
    "era",
    ["", "x", "-1", "1.5", "1e9", "9" * 6000, str(2**53), str(2**23), "²"],
)
def test_odd_era_is_counted_and_changes_nothing(era):
    """Guards against an era that makes all sound answers look outdated.

    Positions of such an era don't fit into messages to peers either.
    """
    noted = []
    made = client(Answer(page(), era="3"), malformed.Tally(noted.append))
    assert made.newest(TOPIC).next == records.in_era(3, 7)
    made.pool.answer = Answer(page(), era=era)
    assert made.newest(TOPIC).next == records.in_era(3, 7)
    assert noted == [malformed.Kind.STORE_RECORD]
    made.pool.answer = Answer(page(), era="4")
    assert made.newest(TOPIC).next == records.in_era(4, 7)


def test_positions_of_the_last_era_are_told_to_peers():
    made = client(Answer(page(end=2**40 - 1), era=str(stores.MAX_ERA)))
    told = shared_messages.RecordsTold(True, (), made.newest(TOPIC).next)
    assert codec.encode(told)


def test_era_that_only_one_answer_named_is_given_up(monkeypatch):
    """Guards against one odd header that cuts an instance off for ever."""
    clock = clocks.ManualClock()
    monkeypatch.setattr(stores.clocks, "boot_clock", clock)
    made = client(Answer(page(), era="3"))
    made.newest(TOPIC)
    made.pool.answer = Answer(page(), era="4000")
    made.newest(TOPIC)
    made.pool.answer = Answer(page(), era="3")
    for _ in range(int(stores.ERA_DISPROVED_S)):
        with pytest.raises(records.StoreUnavailableError):
            made.newest(TOPIC)
        clock.now_s += 1.0
    assert made.newest(TOPIC).next == records.in_era(3, 7)
    assert made.era == 3


def test_answers_from_before_a_restore_stay_outdated(monkeypatch):
    """Late answers of the former era come among those of the new one."""
    clock = clocks.ManualClock()
    monkeypatch.setattr(stores.clocks, "boot_clock", clock)
    made = client(None)
    for _ in range(30):
        made.pool.answer = Answer(page(), era="4")
        made.newest(TOPIC)
        made.pool.answer = Answer(page(), era="3")
        with pytest.raises(records.StoreUnavailableError):
            made.newest(TOPIC)
        clock.now_s += 1.0
    assert made.era == 4


class Listener:
    """Consumer of a topic that keeps nothing."""

    def apply_all(self, changes):
        del changes

    def apply_changes(self, changes):
        del changes

    def store_lost(self):
        pass


def test_reader_goes_on_after_any_odd_answer():
    """Guards against a thread that ends, or that stops following."""
    odd = [
        Answer(NESTED),
        Answer(b""),
        Answer(page(end=2**39)),
        Answer(b"", status=599),
        Answer(page(), era="9" * 6000),
        Answer(struct.pack(">QQ", 1, 0)),
        Answer(struct.pack(">QQ", 1, 0) + b"\0\0\0\1"),
        Answer(status=410),
    ]
    sound = framing.encode_keyed("late", b"1")
    body = struct.pack(">QQ", 8, 0) + framing.join_records([sound])
    seen = []

    class Collecting(Listener):
        def apply_changes(self, changes):
            seen.extend(change.key for change in changes)

    store = stores.StoreClient("127.0.0.1:1")
    store.pool = Pool(None)

    def answer(method, url, **_options):
        if odd:
            return odd.pop(0)
        return Answer(page() if "log-newest" in url else body)

    store.pool.urlopen = answer
    follower = following.Follower(store, TOPIC, Collecting(), 0.5)
    follower.start()
    try:
        waiting.until(lambda: "late" in seen, 15)
    finally:
        follower.stop()
