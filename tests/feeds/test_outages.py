"""Reading topics for a cell while the store answers some or nobody."""

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
ASKERS = 30
READERS = ("first", "second", "third")
STEP_S = 0.5
WAIT_S = 0.01


class StoreOf:
    """A store as one instance sees it."""

    def __init__(self, topic):
        self.topic = topic
        self.away = False
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
        if self.away:
            raise records.StoreUnavailableError("turned away")


class Cell:
    """Three instances that may read and many that ask them.

    Threads are not started: :meth:`pass_time` lets all read in turn.
    """

    def __init__(self, clock):
        self.clock = clock
        self.topic = fakes.FakeStore()
        self.readers = fakes.FakeReaders()
        self.readers.named = list(READERS)
        names = (*READERS, *(f"asker-{n}" for n in range(ASKERS)))
        self.stores = {name: StoreOf(self.topic) for name in names}
        self.nexts = {}
        self.failed = dict.fromkeys(names, 0)
        for name in names:
            self.readers.instances[name] = sharing.SharedReads(
                self.stores[name], [TOPIC], self.readers, name, clock
            )
        for name in names:
            # As a follower does: everything first, from the store itself.
            batch = self.stores[name].newest(TOPIC)
            self.nexts[name] = batch.next
        self.forget_calls()

    def pass_time(self, seconds):
        """Let everybody read twice a second."""
        for _ in range(int(seconds / STEP_S)):
            self.clock.now_s += STEP_S
            for one in self.readers.instances.values():
                for reader in one.active_readers.values():
                    reader.poller.step()
            for name, one in self.readers.instances.items():
                self.follow(name, one)

    def follow(self, name, one):
        """Let an instance's follower read once."""
        try:
            batch = one.read_keyed(TOPIC, self.nexts[name], WAIT_S)
        except records.StoreUnavailableError:
            self.failed[name] += 1
            return
        self.nexts[name] = batch.next

    def turn_away(self, *names):
        for name in names:
            self.stores[name].away = True

    def take_back(self):
        for store in self.stores.values():
            store.away = False

    def forget_calls(self):
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
    # At first, before anything is read, all three begin to read.
    cell.pass_time(sharing.READER_IDLE_S + 3.0)
    cell.forget_calls()
    return cell


def test_one_instance_of_a_cell_reads(cell):
    cell.pass_time(10.0)
    assert {name for name, store in cell.stores.items() if store.calls} == {
        "first"
    }


def test_cell_whose_reader_is_turned_away_is_read_for_by_the_next(cell):
    """The store turns a third of the instances away, a cell's reader too.

    Forty instances asked the store themselves, several times a second
    each, until the reader was served again.
    """
    cell.turn_away("first", "asker-0", "asker-1")
    cell.pass_time(sharing.READER_IDLE_S + 3.0)
    cell.forget_calls()
    cell.write(3)
    cell.pass_time(3.0)
    assert set(cell.nexts.values()) == {4}
    asked = {name for name, store in cell.stores.items() if store.calls}
    assert asked == {"first", "second"}


def test_first_reader_reads_alone_again_once_it_is_served(cell):
    cell.turn_away("first")
    cell.pass_time(5.0)
    cell.take_back()
    cell.pass_time(sharing.READER_IDLE_S + 2.0)
    cell.forget_calls()
    cell.pass_time(5.0)
    assert {name for name, store in cell.stores.items() if store.calls} == {
        "first"
    }


def test_store_that_answers_nobody_is_asked_seldom(cell):
    """All processes are refused for ten seconds; each refusal is a call.

    Everybody sees the outage within two seconds all the same, and its end.
    """
    cell.turn_away(*cell.stores)
    cell.pass_time(2.0)
    assert all(cell.failed.values())
    cell.forget_calls()
    cell.pass_time(8.0)
    own_tries = ASKERS * 8.0 / sharing.PROBE_S
    by_readers = len(READERS) * 8.0 / STEP_S
    assert cell.calls() <= 1.5 * own_tries + by_readers
    cell.take_back()
    cell.write(3)
    cell.pass_time(2.0)
    assert set(cell.nexts.values()) == {4}


def test_instance_that_is_served_alone_reads_by_itself(cell):
    """The store turns away all readers and serves one other instance."""
    others = cell.stores.keys() - {"asker-7"}
    cell.turn_away(*others)
    cell.pass_time(sharing.PROBE_S * 2)
    cell.failed = dict.fromkeys(cell.failed, 0)
    cell.write(3)
    cell.pass_time(sharing.PROBE_S * 2)
    assert cell.nexts["asker-7"] == 4
    assert cell.nexts["asker-8"] == 3


def test_who_reads_by_itself_waits_at_the_store(cell):
    """An instance reads by itself as fast as it can, thousands of times a
    second: the store answers it at once that there is nothing new.
    """
    others = cell.stores.keys() - {"asker-7"}
    cell.turn_away(*others)
    cell.pass_time(sharing.PROBE_S * 2)
    served = cell.stores["asker-7"]
    served.waits.clear()
    cell.pass_time(sharing.DIRECT_READ_S * 3)
    assert served.waits
    assert set(served.waits) == {WAIT_S}


def test_who_is_behind_is_answered_by_a_new_reader(cell):
    """The reader is lost while some have not yet heard its last news.

    The new reader has followed that news itself, and hands it on.
    """
    cell.write(3)
    cell.pass_time(2.0)
    cell.nexts["asker-0"] = 3
    cell.readers.named = ["second", "third"]
    cell.pass_time(1.0)
    cell.forget_calls()
    cell.nexts["asker-0"] = 3
    cell.pass_time(1.0)
    assert cell.nexts["asker-0"] == 4
    assert cell.stores["asker-0"].calls == 0


def reader_of(store, topic, gate, clock):
    cache = record_cache.RecordCache(clock)
    return topic_reader.TopicReader(store, topic, cache, gate)


def test_one_topic_asks_whether_the_store_is_back():
    store = fakes.FakeStore()
    clock = clocks.ManualClock()
    gate = topic_reader.OutageGate()
    one = reader_of(store, TOPIC, gate, clock)
    other = reader_of(store, OTHER_TOPIC, gate, clock)
    store.away = True
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
    store.away = False
    one.poller.step()
    other.poller.step()
    assert not one.cache.store_unavailable
    assert not other.cache.store_unavailable


def test_lost_answer_of_one_topic_does_not_hold_up_the_others():
    store = fakes.FakeStore()
    clock = clocks.ManualClock()
    gate = topic_reader.OutageGate()
    one = reader_of(store, TOPIC, gate, clock)
    other = reader_of(store, OTHER_TOPIC, gate, clock)
    store.away = True
    one.poller.step()
    store.away = False
    other.poller.step()
    assert not other.cache.store_unavailable


def test_reading_begins_with_all_topics_or_none(monkeypatch):
    """The machine has no room for a thread as an instance begins to read.

    One topic was read by nobody from then on.
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
