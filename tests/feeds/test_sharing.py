"""One instance reads topics for its cell; another queries it."""

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
    """Return the reader and an instance that queries it, by name.

    The reader's thread is not started; the tests call its reads.
    """
    monkeypatch.setattr(topic_reader.TopicReader, "start", lambda self: None)
    for name in ("reader", "follower"):
        readers.instances[name] = sharing.SharedReads(
            topic, [fakes.TOPIC], readers, name, clock
        )
    return readers.instances


def read_on(cell):
    """Let the reader read new records."""
    shared = cell["reader"]
    shared.read_keyed(fakes.TOPIC, 0, 0.0)
    reader = shared.active_readers[fakes.TOPIC]
    if not reader.cache.was_confirmed:
        reader.read_once()
    reader.read_once()


def test_records_come_from_the_reader(cell, topic):
    read_on(cell)
    topic.records.append(fakes.record(3))
    read_on(cell)
    topic.calls = 0
    batch = cell["follower"].read_keyed(fakes.TOPIC, 3, 0.0)
    assert batch == records.KeyedBatch((fakes.record(3),), 4)
    assert cell["follower"].read_keyed(fakes.TOPIC, 4, 0.0).records == ()
    assert topic.calls == 0


def test_reader_tells_until_when_its_records_are_complete(cell, topic, clock):
    """Guards against records that seem newer after another instance's read."""
    clock.now_s = 100.0
    topic.complete_until_s = 99.5
    read_on(cell)
    clock.now_s = 100.3
    batch = cell["follower"].read_keyed(fakes.TOPIC, 3, 0.0)
    assert batch.complete_until_s == pytest.approx(99.5, abs=0.01)


def test_reader_knows_from_its_own_reads_until_when_they_are_complete(
    cell, topic
):
    """Guards against records that wait for the reader's own follower."""
    topic.complete_until_s = 99.5
    read_on(cell)
    shared = cell["reader"]
    assert shared.complete_until_s(fakes.TOPIC, 3) == 99.5
    assert shared.complete_until_s(fakes.TOPIC, 2) == records.NEVER_S
    assert cell["follower"].complete_until_s(fakes.TOPIC, 3) == records.NEVER_S


def test_reader_that_does_not_know_claims_nothing(cell):
    read_on(cell)
    batch = cell["follower"].read_keyed(fakes.TOPIC, 3, 0.0)
    assert batch.complete_until_s == records.NEVER_S


def test_instance_that_is_behind_reads_the_store_directly(cell, topic):
    read_on(cell)
    topic.calls = 0
    batch = cell["follower"].read_keyed(fakes.TOPIC, 1, 0.0)
    assert batch == records.KeyedBatch((fakes.record(1), fakes.record(2)), 3)
    assert topic.calls == 1


def test_unconfirmed_content_is_not_returned(cell, topic, clock):
    """Guard against outdated content when the reader's link goes silent.

    If a route is removed meanwhile, the other instances would serve it until
    the reader detects the outage.
    """
    read_on(cell)
    topic.records.append(fakes.record(3))
    clock.now_s += record_cache.MAX_AGE_S + 0.1
    assert cell["follower"].read_keyed(fakes.TOPIC, 3, 0.0).records == (
        fakes.record(3),
    )


def test_outage_seen_by_the_reader_is_reported_to_all(cell, topic):
    """Guard against endpoints that are dropped during an outage.

    Their entries lapse while the store is unavailable, and an instance that
    does not know of the outage would take the endpoints for gone.
    """
    read_on(cell)
    topic.refusing = True
    cell["reader"].active_readers[fakes.TOPIC].poller.step()
    with pytest.raises(records.StoreUnavailableError):
        cell["follower"].read_keyed(fakes.TOPIC, 3, 0.0)


def test_silent_reader_is_skipped_for_a_while(cell, topic, readers, clock):
    """Each read would otherwise wait for the suspended reader first."""
    read_on(cell)
    readers.silent = True
    topic.records.append(fakes.record(3))
    for _ in range(3):
        assert cell["follower"].read_keyed(fakes.TOPIC, 3, 0.0).next == 4
    assert readers.queries == 1
    readers.silent = False
    clock.now_s += sharing.BACKOFF_S + 0.1
    read_on(cell)
    assert cell["follower"].read_keyed(fakes.TOPIC, 4, 0.0).next == 4
    assert readers.queries == 2


def test_instance_that_is_not_a_reader_answers_unknown(cell, topic, readers):
    """Two instances may each take the other one for the reader."""
    readers.named = ["follower"]
    assert (
        cell["reader"].answer(messages.RecordsAsked(fakes.TOPIC, 0, 0.0))
        == messages.UNKNOWN
    )


def test_reader_stops_when_another_one_reads(cell, readers):
    read_on(cell)
    readers.instances["other"] = cell["follower"]
    readers.named = ["other"]
    cell["reader"].read_keyed(fakes.TOPIC, 3, 0.0)
    assert not cell["reader"].active_readers
    query = messages.RecordsAsked(fakes.TOPIC, 3, 0.0)
    assert cell["reader"].answer(query) == messages.UNKNOWN


def test_follower_reads_on_after_another_one_stopped_the_readers(
    cell, topic, monkeypatch
):
    """Guard against a follower's thread that ends while members join.

    Two followers see different rankings at the same moment: one starts the
    topic readers, the other stops them before the first one reads.
    """
    monkeypatch.setattr(cell["reader"], "start_reading", cell["reader"].stop)
    assert cell["reader"].read_keyed(fakes.TOPIC, 0, 0.0).next == 3
    assert topic.calls == 1


def test_small_deployment_reads_the_store_directly(cell, topic, readers):
    readers.total = sharing.MIN_SHARING_INSTANCES - 1
    assert cell["follower"].read_keyed(fakes.TOPIC, 0, 0.0).next == 3
    assert (topic.calls, readers.queries) == (1, 0)


def test_large_records_are_read_from_the_store_directly(cell, topic):
    """Guard against a saturated link of the reader.

    A configuration of 300 KB that hardly compresses, sent to thirty
    instances at once over a link of 5 Mbit/s, exceeds their timeouts.
    """
    read_on(cell)
    noise = random.Random(1).randbytes(packing.MAX_MESSAGE_BYTES + 1)
    topic.records.append(fakes.record(3, noise))
    read_on(cell)
    topic.calls = 0
    assert (
        cell["follower"].read_keyed(fakes.TOPIC, 3, 0.0).records[0].value
        == noise
    )
    assert topic.calls == 1


def test_large_values_are_sent_compressed(cell, topic):
    """Guard against too many calls when configurations change often.

    At several changes a second, each of two hundred instances would read
    each uncompressed configuration from the store.
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
    assert cell["follower"].read_keyed(fakes.TOPIC, 3, 0.0).records == (
        fakes.record(3, text),
    )
    assert topic.calls == 0


def test_instance_that_cannot_unpack_gets_uncompressed_values(cell, topic):
    read_on(cell)
    text = b"x" * packing.COMPRESS_MIN_BYTES
    topic.records.append(fakes.record(3, text))
    read_on(cell)
    query = messages.RecordsAsked(fakes.TOPIC, 3, 0.0)
    reply = cell["reader"].answer(query)
    assert reply.records == (("key-3", text),)
    assert reply.packed == ()


def test_damaged_answer_is_ignored(cell, topic, readers):
    """The records come from the store instead."""
    broken = messages.RecordsTold(True, (("key-3", b"no"),), 4, packed=(0,))
    readers.read_topic = lambda reader, query, timeout_s: broken
    topic.records.append(fakes.record(3))
    assert cell["follower"].read_keyed(fakes.TOPIC, 3, 0.0).records == (
        fakes.record(3),
    )


def test_query_waits_for_a_record(clock):
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
