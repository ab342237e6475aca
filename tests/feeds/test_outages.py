"""Shared reads while the store answers only some instances, or none."""

from __future__ import annotations

import pytest

from briarseam.feeds import record_cache
from briarseam.feeds import records
from briarseam.feeds import sharing
from briarseam.feeds import topic_reader
from tests import clocks
from tests.feeds import fakes

TOPIC = fakes.TOPIC
OTHER_TOPIC = "keyed.op"
FOLLOWERS = 30
READERS = ("first", "second", "third")
STEP_S = 0.5
WAIT_S = 0.01


class InstanceStore:
    """The store as one instance reaches it."""

    def __init__(self, topic):
        self.topic = topic
        self.refusing = False
        self.calls = 0
        self.waits = []

    def newest(self, topic):
        self.check()
        return self.topic.newest(topic)

    def read_keyed(self, topic, start, wait_s):
        self.check()
        self.waits.append(wait_s)
        return self.topic.read_keyed(topic, start, wait_s)

    def check(self):
        self.calls += 1
        if self.refusing:
            raise records.StoreUnavailableError("refused")


class Cell:
    """Three readers and many instances that query them.

    No threads are started: :meth:`pass_time` lets all of them read in turn.
    """

    def __init__(self, clock):
        self.clock = clock
        self.topic = fakes.FakeStore()
        self.readers = fakes.FakeReaders()
        self.readers.named = list(READERS)
        names = (*READERS, *(f"follower-{n}" for n in range(FOLLOWERS)))
        self.stores = {name: InstanceStore(self.topic) for name in names}
        self.nexts = {}
        self.failed = dict.fromkeys(names, 0)
        for name in names:
            self.readers.instances[name] = sharing.SharedReads(
                self.stores[name], [TOPIC], self.readers, name, clock
            )
        for name in names:
            # Like a follower, which first reads all content from the store.
            batch = self.stores[name].newest(TOPIC)
            self.nexts[name] = batch.next
        self.reset_calls()

    def pass_time(self, seconds):
        """Let all readers and followers read twice a second."""
        for _ in range(int(seconds / STEP_S)):
            self.clock.now_s += STEP_S
            for shared in self.readers.instances.values():
                for reader in shared.active_readers.values():
                    reader.poller.step()
            for name, shared in self.readers.instances.items():
                self.follow(name, shared)

    def follow(self, name, shared):
        """Let an instance's follower read once."""
        try:
            batch = shared.read_keyed(TOPIC, self.nexts[name], WAIT_S)
        except records.StoreUnavailableError:
            self.failed[name] += 1
            return
        self.nexts[name] = batch.next

    def refuse(self, *names):
        for name in names:
            self.stores[name].refusing = True

    def accept_all(self):
        for store in self.stores.values():
            store.refusing = False

    def reset_calls(self):
        for store in self.stores.values():
            store.calls = 0

    def calls(self):
        return sum(store.calls for store in self.stores.values())

    def write(self, number):
        self.topic.records.append(fakes.record(number))


@pytest.fixture
def cell(monkeypatch):
    monkeypatch.setattr(topic_reader.TopicReader, "start", lambda self: None)
    cell = Cell(clocks.ManualClock())
    # All three start to read until the first one has content.
    cell.pass_time(sharing.READER_IDLE_S + 3.0)
    cell.reset_calls()
    return cell


def test_one_instance_of_a_cell_reads(cell):
    cell.pass_time(10.0)
    assert {name for name, store in cell.stores.items() if store.calls} == {
        "first"
    }


def test_next_reader_takes_over_when_the_store_refuses_the_first(cell):
    """Guard against too many calls when the store refuses a reader.

    The store refuses a third of the instances, a cell's reader among them.
    Forty instances then called the store directly, several times a second
    each, until it answered the reader again.
    """
    cell.refuse("first", "follower-0", "follower-1")
    cell.pass_time(sharing.READER_IDLE_S + 3.0)
    cell.reset_calls()
    cell.write(3)
    cell.pass_time(3.0)
    assert set(cell.nexts.values()) == {4}
    called = {name for name, store in cell.stores.items() if store.calls}
    assert called == {"first", "second"}


def test_first_reader_reads_alone_once_the_store_answers_it_again(cell):
    cell.refuse("first")
    cell.pass_time(5.0)
    cell.accept_all()
    cell.pass_time(sharing.READER_IDLE_S + 2.0)
    cell.reset_calls()
    cell.pass_time(5.0)
    assert {name for name, store in cell.stores.items() if store.calls} == {
        "first"
    }


def test_store_that_refuses_all_instances_gets_few_calls(cell):
    """Guard against too many calls during an outage of the store.

    The store refuses all instances for ten seconds, and each refusal is a
    call.  Still, all instances detect the outage and its end within two
    seconds.
    """
    cell.refuse(*cell.stores)
    cell.pass_time(2.0)
    assert all(cell.failed.values())
    cell.reset_calls()
    cell.pass_time(8.0)
    probes = FOLLOWERS * 8.0 / sharing.PROBE_S
    by_readers = len(READERS) * 8.0 / STEP_S
    assert cell.calls() <= 1.5 * probes + by_readers
    cell.accept_all()
    cell.write(3)
    cell.pass_time(2.0)
    assert set(cell.nexts.values()) == {4}


def test_only_instance_that_the_store_answers_reads_directly(cell):
    """The store refuses all readers and answers one other instance."""
    others = cell.stores.keys() - {"follower-7"}
    cell.refuse(*others)
    cell.pass_time(sharing.PROBE_S * 2)
    cell.failed = dict.fromkeys(cell.failed, 0)
    cell.write(3)
    cell.pass_time(sharing.PROBE_S * 2)
    assert cell.nexts["follower-7"] == 4
    assert cell.nexts["follower-8"] == 3


def test_direct_reads_wait_at_the_store(cell):
    """Guard against a busy loop of direct reads.

    Without a wait, the store answers empty reads at once, thousands of times
    a second.
    """
    others = cell.stores.keys() - {"follower-7"}
    cell.refuse(*others)
    cell.pass_time(sharing.PROBE_S * 2)
    store = cell.stores["follower-7"]
    store.waits.clear()
    cell.pass_time(sharing.DIRECT_READ_S * 3)
    assert store.waits
    assert set(store.waits) == {WAIT_S}


def test_new_reader_answers_an_instance_that_is_behind(cell):
    """The reader is lost before some instances got its last records.

    The new reader has followed these records itself and returns them.
    """
    cell.write(3)
    cell.pass_time(2.0)
    cell.nexts["follower-0"] = 3
    cell.readers.named = ["second", "third"]
    cell.pass_time(1.0)
    cell.reset_calls()
    cell.nexts["follower-0"] = 3
    cell.pass_time(1.0)
    assert cell.nexts["follower-0"] == 4
    assert cell.stores["follower-0"].calls == 0


def reader_of(store, topic, gate, clock):
    cache = record_cache.RecordCache(clock)
    return topic_reader.TopicReader(store, topic, cache, gate)


def test_only_one_topic_probes_the_store_during_an_outage():
    store = fakes.FakeStore()
    clock = clocks.ManualClock()
    gate = topic_reader.OutageGate()
    one = reader_of(store, TOPIC, gate, clock)
    other = reader_of(store, OTHER_TOPIC, gate, clock)
    store.refusing = True
    for _ in range(topic_reader.OUTAGE_FAILURES):
        one.poller.step()
        other.poller.step()
    store.calls = 0
    for _ in range(5):
        one.poller.step()
        other.poller.step()
    assert store.calls == 5
    assert one.cache.store_unavailable
    assert other.cache.store_unavailable
    store.refusing = False
    one.poller.step()
    other.poller.step()
    assert not one.cache.store_unavailable
    assert not other.cache.store_unavailable


def test_lost_answer_of_one_topic_does_not_delay_the_others():
    store = fakes.FakeStore()
    clock = clocks.ManualClock()
    gate = topic_reader.OutageGate()
    one = reader_of(store, TOPIC, gate, clock)
    other = reader_of(store, OTHER_TOPIC, gate, clock)
    store.refusing = True
    one.poller.step()
    store.refusing = False
    other.poller.step()
    assert not other.cache.store_unavailable


def test_reading_starts_for_all_topics_or_none(monkeypatch):
    """Guard against a topic that no instance reads.

    The instance fails to start a thread after it started another topic's.
    """
    store = fakes.FakeStore()
    readers = fakes.FakeReaders()
    shared = sharing.SharedReads(
        store, [TOPIC, OTHER_TOPIC], readers, "reader", clocks.ManualClock()
    )
    started = []
    stopped = []

    def start(reader):
        if len(started) == 1:
            raise RuntimeError("can't start new thread")
        started.append(reader)

    monkeypatch.setattr(topic_reader.TopicReader, "start", start)
    monkeypatch.setattr(
        topic_reader.TopicReader, "stop", lambda reader: stopped.append(reader)
    )
    with pytest.raises(RuntimeError):
        shared.start_reading()
    assert started[0] in stopped
    assert not shared.active_readers
    started.append(None)
    shared.start_reading()
    assert shared.active_readers.keys() == {TOPIC, OTHER_TOPIC}
