from __future__ import annotations

import msgspec
import pytest

from briarseam import malformed
from briarseam.feeds import records
from briarseam.origins import memory
from briarseam.origins import origin_records
from briarseam.testing import waiting
from tests import clocks

TOPIC = "keyed.origins"
ORIGIN = memory.Origin("engines", "v1")
OTHER = memory.Origin("engines", "v2")
WALL_S = 1_700_000_000.0
WALL_MS = 1_700_000_000_000


class Store:
    """A store with one keyed topic."""

    def __init__(self):
        self.values = {}
        self.is_away = False
        self.era = 0
        self.puts = 0

    def newest(self, topic):
        self.check()
        rows = [records.KeyedRecord(*row) for row in self.values.items()]
        return records.KeyedBatch(tuple(rows), 0)

    def put(self, topic, key, value):
        self.check()
        self.puts += 1
        self.values[key] = value

    def check(self):
        if self.is_away:
            raise records.StoreUnavailableError("away")

    def streams(self, name="one"):
        """Return the streams in an instance's record."""
        rows = msgspec.msgpack.decode(self.values[name])[0]
        return [row[0] for row in rows]


class Platform:
    """Instances that share a store and a clock."""

    def __init__(self):
        self.store = Store()
        self.clock = clocks.ManualClock()
        self.malformed = []
        # By how much the wall clock was set.
        self.jump_s = 0.0

    def wall_s(self):
        return WALL_S + self.clock.now_s + self.jump_s

    def start(self, name="one", count=3):
        """Return the records of an instance that has not read them."""
        return origin_records.OriginRecords(
            self.store,
            TOPIC,
            name,
            memory.OriginMemory(self.clock),
            lambda: count,
            malformed.Tally(self.malformed.append),
            self.clock,
            self.wall_s,
        )

    def write(self, kept):
        """Have an instance write what has run for long enough."""
        self.clock.now_s += 2 * origin_records.GATHER_S
        kept.write()

    def loaded(self, name="one"):
        """Return the records of an instance that has read them."""
        started = self.start(name)
        started.load()
        return started


@pytest.fixture
def platform():
    return Platform()


def test_origin_outlasts_the_end_of_all_instances(platform):
    """Guards against streams that nobody can continue after a kill."""
    for name in ("one", "two"):
        kept = platform.loaded(name)
        kept.note_begun(f"stream-{name}", ORIGIN)
        platform.write(kept)
    platform.clock.now_s += 5
    known = platform.loaded("three").known
    assert known.find("stream-one") == ORIGIN
    assert known.find("stream-two") == ORIGIN


def test_origin_outlasts_two_kills_in_a_row(platform):
    """Guards against a restart that replaces the record of the former one."""
    kept = platform.loaded()
    kept.note_begun("first", ORIGIN)
    platform.write(kept)
    kept = platform.loaded()
    kept.note_begun("second", OTHER)
    platform.write(kept)
    known = platform.loaded("two").known
    assert known.find("first") == ORIGIN
    assert known.find("second") == OTHER


def test_stream_that_was_not_recorded_is_not_known(platform):
    """Guards against a guess for streams that began before the last write."""
    kept = platform.loaded()
    kept.note_begun("written", ORIGIN)
    platform.write(kept)
    kept.note_begun("late", ORIGIN)
    assert platform.loaded("two").known.find("late") is None


def test_stream_on_which_records_do_not_agree_is_not_known(platform):
    """Guards against joining streams whose callers chose the same id."""
    for name, origin in (("one", ORIGIN), ("two", OTHER)):
        kept = platform.loaded(name)
        kept.note_begun("same", origin)
        kept.note_begun(f"own-{name}", origin)
        platform.write(kept)
    kept = platform.loaded("one")
    assert kept.known.find("same") is None
    assert kept.known.find("own-one") == ORIGIN
    assert list(kept.running) == ["own-one"]


def test_streams_are_written_together(platform):
    """Guards against a priced call for each stream."""
    kept = platform.loaded()
    for number in range(20):
        kept.note_begun(f"stream-{number}", ORIGIN)
    platform.write(kept)
    platform.write(kept)
    assert platform.store.puts == 1
    assert len(platform.store.streams()) == 20


def test_stream_that_has_ended_is_not_written(platform):
    kept = platform.loaded()
    kept.note_begun("short", ORIGIN)
    kept.note_ended("short")
    platform.write(kept)
    assert platform.store.puts == 0


def test_short_streams_need_no_write(platform):
    """Guards against a priced call for streams that end at once."""
    kept = platform.loaded()
    for number in range(20):
        kept.note_begun(f"stream-{number}", ORIGIN)
        kept.write()
        assert kept.changed.is_set()
        kept.note_ended(f"stream-{number}")
    assert platform.store.puts == 0


def test_stream_is_recorded_once_however_often_it_is_taken_up(platform):
    kept = platform.loaded()
    kept.note_begun("stream", ORIGIN)
    platform.write(kept)
    kept.note_begun("stream", ORIGIN)
    platform.write(kept)
    assert platform.store.puts == 1


@pytest.mark.parametrize(("count", "pause_s"), [(3, 1.0), (7, 1.75), (80, 20)])
def test_writes_of_all_instances_are_bounded(platform, count, pause_s):
    """Guards against calls that grow with the number of instances."""
    assert platform.start(count=count).pause_s() == pause_s


def test_record_is_bounded(platform, monkeypatch):
    """Guards against a record that grows with the streams."""
    monkeypatch.setattr(origin_records, "MAX_ROWS", 3)
    kept = platform.loaded()
    for number in range(5):
        kept.note_begun(f"stream-{number}", ORIGIN)
    platform.write(kept)
    assert platform.store.streams() == ["stream-2", "stream-3", "stream-4"]
    assert len(kept.running) == 3


def test_expired_streams_are_forgotten(platform):
    kept = platform.loaded()
    kept.note_begun("old", ORIGIN)
    platform.write(kept)
    platform.clock.now_s += origin_records.MAX_AGE_S
    assert platform.loaded("two").known.find("old") is None
    platform.write(kept)
    platform.write(kept)
    assert platform.store.values == {"one": None}
    assert platform.store.puts == 2


def test_stream_expires_in_a_record_that_is_written_again(platform):
    """Guards against ids that are used again after a long time."""
    kept = platform.loaded()
    kept.note_begun("old", ORIGIN)
    platform.clock.now_s += origin_records.MAX_AGE_S - 20
    kept.note_begun("new", ORIGIN)
    platform.write(kept)
    platform.clock.now_s += 30
    known = platform.loaded("two").known
    assert known.find("old") is None
    assert known.find("new") == ORIGIN


@pytest.mark.parametrize("jump_s", [-1000.0, 1000.0])
def test_record_is_not_used_once_the_wall_clock_was_set(platform, jump_s):
    """Guards against stale records that a clock makes look new."""
    kept = platform.loaded()
    kept.note_begun("stream", ORIGIN)
    platform.write(kept)
    platform.jump_s = jump_s
    assert platform.loaded("two").known.find("stream") is None
    assert "one" in platform.store.values


def test_record_is_used_though_wall_clocks_differ(platform):
    kept = platform.loaded()
    kept.note_begun("stream", ORIGIN)
    platform.write(kept)
    platform.jump_s = -3.0
    assert platform.loaded("two").known.find("stream") == ORIGIN


def test_old_record_of_another_instance_is_removed(platform):
    """Guards against a topic that grows with each name of an instance."""
    kept = platform.loaded("gone")
    kept.note_begun("stream", ORIGIN)
    platform.write(kept)
    platform.clock.now_s += origin_records.REMOVE_AGE_S + 1
    platform.loaded()
    assert platform.store.values == {"gone": None}


def encoded(rows, written_ms=WALL_MS):
    """Return a record as another writer may encode it."""
    return msgspec.msgpack.encode((rows, written_ms))


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xc1",
        b"text",
        msgspec.msgpack.encode({"rows": 1}),
        encoded([["stream", "engines"]]),
        encoded([["", "engines", "v1", 0]]),
        encoded([["stream", "", "v1", 0]]),
        encoded([["x" * 1000, "engines", "v1", 0]]),
        encoded([["stream", "engines", "v" * 1000, 0]]),
        encoded([["stream", "engines", None, 0]]),
        encoded([["stream", "engines", "v1", -1]]),
        encoded([["stream", "engines", "v1", 2**60]]),
        encoded([["stream", "engines", "v1", 0]], 2**60),
        encoded([["stream", "engines", "v1", 0]], -1),
        encoded(
            [
                [f"stream-{number}", "engines", "v1", 0]
                for number in range(origin_records.MAX_ROWS + 1)
            ]
        ),
    ],
)
def test_malformed_record_is_not_used(platform, value):
    """Guards against foreign records that end an instance or name streams."""
    platform.store.values["foreign"] = value
    kept = platform.loaded("two")
    kept.note_begun("own", ORIGIN)
    platform.write(kept)
    assert len(kept.known.origins) == 0
    assert platform.malformed == [malformed.Kind.STORE_RECORD]
    assert platform.loaded("three").known.find("own") == ORIGIN


def test_removed_record_is_not_malformed(platform):
    platform.store.values["gone"] = None
    platform.loaded()
    assert platform.malformed == []


def test_origin_that_is_known_already_stays(platform):
    """Guards against a record that replaces what a peer has told."""
    kept = platform.loaded()
    kept.note_begun("stream", ORIGIN)
    platform.write(kept)
    started = platform.start("two")
    started.known.record("stream", OTHER)
    started.load()
    assert started.known.find("stream") == OTHER


def test_record_is_written_again_once_the_store_was_restored(platform):
    """Guards against streams that an older copy does not have."""
    kept = platform.loaded()
    kept.note_begun("stream", ORIGIN)
    platform.write(kept)
    platform.store.values.clear()
    platform.store.era += 1
    platform.write(kept)
    platform.write(kept)
    assert platform.store.streams() == ["stream"]
    assert platform.store.puts == 2


def test_write_that_failed_is_repeated(platform):
    kept = platform.loaded()
    platform.store.is_away = True
    kept.note_begun("stream", ORIGIN)
    with pytest.raises(records.StoreUnavailableError):
        platform.write(kept)
    assert kept.changed.is_set()
    platform.store.is_away = False
    platform.write(kept)
    assert platform.store.streams() == ["stream"]


def test_requests_wait_for_a_short_time_only(platform):
    """Guards against a store that is away and keeps requests from running."""
    platform.store.is_away = True
    started = platform.start()
    assert started.must_wait()
    with pytest.raises(records.StoreUnavailableError):
        started.load()
    platform.clock.now_s += origin_records.MAX_WAIT_S
    assert not started.must_wait()


def test_nothing_is_written_before_the_records_are_read(platform, monkeypatch):
    """Guards against replacing what the former process has recorded."""
    monkeypatch.setattr(origin_records, "RETRY_S", 0.01)
    monkeypatch.setattr(origin_records, "GATHER_S", 0.01)
    monkeypatch.setattr(origin_records, "MIN_PAUSE_S", 0.01)
    kept = platform.loaded()
    kept.note_begun("first", ORIGIN)
    platform.write(kept)
    platform.store.is_away = True
    started = platform.start()
    started.start()
    try:
        started.note_begun("second", ORIGIN)
        platform.clock.now_s += 1
        platform.store.is_away = False
        waiting.until(lambda: platform.store.puts == 2, 5)
        assert platform.store.streams() == ["first", "second"]
        assert not started.must_wait()
    finally:
        started.stop()
    started.thread.join(5)
    assert not started.thread.is_alive()


def test_thread_survives_an_error(platform, monkeypatch):
    """Guards against a fault after which no stream is recorded."""
    monkeypatch.setattr(origin_records, "RETRY_S", 0.01)
    started = platform.start()
    load = started.load
    faults = [ValueError("first"), ValueError("second")]

    def load_at_last():
        if faults:
            raise faults.pop()
        load()

    monkeypatch.setattr(started, "load", load_at_last)
    started.start()
    try:
        assert started.loaded.wait(5)
    finally:
        started.stop()
