"""One instance reads topics for its cell; another asks it."""

from __future__ import annotations

import random
import threading

import pytest

from briarseam.feeds import packing
from briarseam.feeds import record_cache
from briarseam.feeds import records
from briarseam.feeds import shared_messages as messages
from briarseam.feeds import sharing
from briarseam.feeds import topic_reader
from briarseam.testing import waiting
from tests import clocks
from tests.feeds import fakes

LONG_S = 5.0


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def topic():
    return fakes.FakeStore()


@pytest.fixture
def readers():
    return fakes.FakeReaders()


@pytest.fixture
def cell(topic, readers, clock, monkeypatch):
    """Return the reader and an instance that asks it, by name.

    The reader's thread is not started: the test lets it read.
    """
    monkeypatch.setattr(topic_reader.TopicReader, "start", lambda self: None)
    for name in ("reader", "asker"):
        readers.instances[name] = sharing.SharedReads(
            topic, [fakes.TOPIC], readers, name, clock
        )
    return readers.instances


def read_on(cell):
    """Let the reader read what is new."""
    with_reader = cell["reader"]
    with_reader.read_keyed(fakes.TOPIC, 0, 0.0)
    reader = with_reader.active_readers[fakes.TOPIC]
    if not reader.cache.was_confirmed:
        reader.read_once()
    reader.read_once()


def test_records_come_from_the_reader(cell, topic):
    read_on(cell)
    topic.records.append(fakes.record(3))
    read_on(cell)
    topic.calls = 0
    batch = cell["asker"].read_keyed(fakes.TOPIC, 3, 0.0)
    assert batch == records.KeyedBatch((fakes.record(3),), 4)
    assert cell["asker"].read_keyed(fakes.TOPIC, 4, 0.0).records == ()
    assert topic.calls == 0


def test_who_is_behind_reads_the_store_itself(cell, topic):
    read_on(cell)
    topic.calls = 0
    batch = cell["asker"].read_keyed(fakes.TOPIC, 1, 0.0)
    assert batch == records.KeyedBatch((fakes.record(1), fakes.record(2)), 3)
    assert topic.calls == 1


def test_what_the_store_did_not_confirm_is_not_handed_on(cell, topic, clock):
    """The reader's link to the store goes silent as a route is removed.

    The others would serve it until the reader notices.
    """
    read_on(cell)
    topic.records.append(fakes.record(3))
    clock.now_s += record_cache.MAX_AGE_S + 0.1
    assert cell["asker"].read_keyed(fakes.TOPIC, 3, 0.0).records == (
        fakes.record(3),
    )


def test_outage_that_the_reader_sees_is_seen_by_all(cell, topic):
    """The store is away, and entries of endpoints lapse meanwhile.

    An instance that did not notice the outage would take them for gone.
    """
    read_on(cell)
    topic.away = True
    cell["reader"].active_readers[fakes.TOPIC].poller.step()
    with pytest.raises(records.StoreUnavailableError):
        cell["asker"].read_keyed(fakes.TOPIC, 3, 0.0)


def test_silent_reader_is_left_alone_for_a_while(cell, topic, readers, clock):
    """The reader is suspended; each read would wait for it first."""
    read_on(cell)
    readers.silent = True
    topic.records.append(fakes.record(3))
    for _ in range(3):
        assert cell["asker"].read_keyed(fakes.TOPIC, 3, 0.0).next == 4
    assert readers.queries == 1
    readers.silent = False
    clock.now_s += sharing.BACKOFF_S + 0.1
    read_on(cell)
    assert cell["asker"].read_keyed(fakes.TOPIC, 4, 0.0).next == 4
    assert readers.queries == 2


def test_instance_that_is_not_the_reader_tells_nothing(cell, topic, readers):
    """Two instances each take the other one for the reader."""
    readers.named = ["asker"]
    assert (
        cell["reader"].answer(messages.RecordsAsked(fakes.TOPIC, 0, 0.0))
        == messages.UNKNOWN
    )


def test_reader_stops_when_another_one_reads(cell, readers):
    read_on(cell)
    readers.instances["other"] = cell["asker"]
    readers.named = ["other"]
    cell["reader"].read_keyed(fakes.TOPIC, 3, 0.0)
    assert not cell["reader"].active_readers
    query = messages.RecordsAsked(fakes.TOPIC, 3, 0.0)
    assert cell["reader"].answer(query) == messages.UNKNOWN


def test_reader_that_is_stopped_by_another_topics_follower_reads_on(
    cell, topic, monkeypatch
):
    """Two followers see two readers within a moment, as members come.

    One begins to read for the cell, the other stops that; the first one's
    thread ended, and its topic was followed no more.
    """
    monkeypatch.setattr(cell["reader"], "start_reading", cell["reader"].stop)
    assert cell["reader"].read_keyed(fakes.TOPIC, 0, 0.0).next == 3
    assert topic.calls == 1


def test_small_deployment_reads_the_store_itself(cell, topic, readers):
    readers.total = sharing.MIN_SHARING_INSTANCES - 1
    assert cell["asker"].read_keyed(fakes.TOPIC, 0, 0.0).next == 3
    assert (topic.calls, readers.queries) == (1, 0)


def test_large_records_are_read_from_the_store_by_each(cell, topic):
    """A configuration of 300 KB that hardly compresses is told to thirty
    others at once, over a link of 5 Mbit/s, and all wait for it longer than
    they may.
    """
    read_on(cell)
    noise = random.Random(1).randbytes(packing.MAX_MESSAGE_BYTES + 1)
    topic.records.append(fakes.record(3, noise))
    read_on(cell)
    topic.calls = 0
    assert (
        cell["asker"].read_keyed(fakes.TOPIC, 3, 0.0).records[0].value == noise
    )
    assert topic.calls == 1


def test_configuration_goes_compressed(cell, topic):
    """Configurations come several times a second, and each of two hundred
    instances reads each of them from the store.
    """
    read_on(cell)
    text = b"".join(
        b'{"name": "route-%d", "service": "draft"},' % number
        for number in range(2000)
    )
    assert len(text) > packing.MAX_MESSAGE_BYTES
    topic.records.append(fakes.record(3, text))
    read_on(cell)
    topic.calls = 0
    assert cell["asker"].read_keyed(fakes.TOPIC, 3, 0.0).records == (
        fakes.record(3, text),
    )
    assert topic.calls == 0


def test_instance_that_cannot_unpack_is_told_as_before(cell, topic):
    read_on(cell)
    text = b"x" * packing.COMPRESS_MIN_BYTES
    topic.records.append(fakes.record(3, text))
    read_on(cell)
    query = messages.RecordsAsked(fakes.TOPIC, 3, 0.0)
    reply = cell["reader"].answer(query)
    assert reply.records == (("key-3", text),)
    assert reply.packed == ()


def test_answer_that_cannot_be_unpacked_is_none(cell, topic, readers):
    """A reader's answer is damaged; the records come from the store."""
    broken = messages.RecordsTold(True, (("key-3", b"no"),), 4, packed=(0,))
    readers.read_topic = lambda reader, query, timeout_s: broken
    topic.records.append(fakes.record(3))
    assert cell["asker"].read_keyed(fakes.TOPIC, 3, 0.0).records == (
        fakes.record(3),
    )


def test_question_waits_for_a_record(clock):
    cache = record_cache.RecordCache(clock)
    cache.reset(7)
    reply = []
    reading = threading.Thread(
        target=lambda: reply.append(cache.read(7, LONG_S))
    )
    reading.start()
    waiting.until(lambda: cache.changed._waiters, what="it waits")
    cache.append(records.KeyedBatch((fakes.record(7),), 8))
    reading.join(LONG_S)
    assert reply == [records.KeyedBatch((fakes.record(7),), 8)]
