"""Records at the store of which software began the streams that run.

Instances know the origins of streams from each other, but all of them may end
at the same moment.  So each records those that it serves, and reads the
records of all at its start.
"""

from __future__ import annotations

import collections
import dataclasses
import random
import threading
import time
import typing

import msgspec
import structlog

from briarseam import clocks
from briarseam import malformed
from briarseam.feeds import records
from briarseam.origins import memory

MS = 1000.0
MAX_AGE_S = memory.ORIGIN_TTL_S
# Pause between attempts to read the records at the start.
RETRY_S = 0.5
# An instance takes requests after this time even if the store has not
# answered; streams whose origin is not known are refused then.
MAX_WAIT_S = 2.0
# Streams that end within this time need no record.
GATHER_S = 0.3
# Bounds on the writes of one instance, and of all together: calls are priced.
MIN_PAUSE_S = 1.0
MAX_WRITES_PER_S = 4.0
# Interval of checks whether the store was restored from a backup.
POLL_S = 2.0
# Bounds the size of a record; the newest streams are recorded.
MAX_ROWS = 300
# Records of other instances are removed after this time.  Clocks of instances
# may differ, and a record that is in use would be missed.
REMOVE_AGE_S = 3600.0
log = structlog.get_logger("briarseam.origins")

Text = typing.Annotated[
    str, msgspec.Meta(min_length=1, max_length=memory.MAX_ID_CHARACTERS)
]
Software = typing.Annotated[
    str, msgspec.Meta(max_length=memory.MAX_ID_CHARACTERS)
]
Milliseconds = typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class OriginRow(msgspec.Struct, array_like=True, frozen=True):
    """Where a stream began, as encoded in a record.

    Attributes
    ----------
    stream, service, software
        The stream, and where it began.
    age_ms
        Time since then, in milliseconds.
    """

    stream: Text
    service: Text
    software: Software
    age_ms: Milliseconds


Rows = typing.Annotated[
    tuple[OriginRow, ...], msgspec.Meta(max_length=MAX_ROWS)
]


class OriginRecord(msgspec.Struct, array_like=True, frozen=True):
    """Streams of one instance, as encoded in the topic.

    Attributes
    ----------
    rows
        The streams.
    written_ms
        Unix time in milliseconds.
    """

    rows: Rows
    written_ms: Milliseconds


class KeyedStore(typing.Protocol):
    """A store of keyed topics."""

    @property
    def era(self) -> int:
        """Number of times that the store was restored from a backup."""

    def newest(self, topic: str) -> records.KeyedBatch:
        """Return the newest record of each key of a topic."""

    def put(self, topic: str, key: str, value: bytes | None) -> None:
        """Write the newest record of a key."""


@dataclasses.dataclass(frozen=True)
class RunningStream:
    """A stream that this instance serves, or that broke off lately.

    Attributes
    ----------
    origin
        Where it began.
    since_s
        Since when, by the clock.
    """

    origin: memory.Origin
    since_s: float


class OriginRecords:
    """Reads all records at the start, and writes that of this instance.

    Parameters
    ----------
    store, topic
        Where they are stored.
    name
        Name of this instance.
    known
        To which origins from records are added.
    count_instances
        Returns the number of instances.
    tally
        Records malformed records.
    clock
        Seconds.
    wall_clock
        Returns the Unix time in seconds.

    Attributes
    ----------
    running
        Streams that may have to go on after a kill of all instances, the
        oldest first.
    unwritten
        Those of them that the store does not have.
    is_stored
        Whether this instance has a record at the store, as far as known.
    """

    def __init__(
        self,
        store: KeyedStore,
        topic: str,
        name: str,
        known: memory.OriginMemory,
        count_instances: typing.Callable[[], int],
        tally: malformed.Tally,
        clock: typing.Callable[[], float] = clocks.boot_clock,
        wall_clock: typing.Callable[[], float] = time.time,
    ) -> None:
        self.store = store
        self.topic = topic
        self.name = name
        self.known = known
        self.count_instances = count_instances
        self.tally = tally
        self.clock = clock
        self.wall_clock = wall_clock
        self.running: collections.OrderedDict[str, RunningStream] = (
            collections.OrderedDict()
        )
        self.unwritten: set[str] = set()
        self.is_stored = False
        self.started_s = clock()
        self.written_s = float("-inf")
        self.written_era = 0
        self.lock = threading.Lock()
        self.loaded = threading.Event()
        self.changed = threading.Event()
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name="origin-records", daemon=True
        )

    def start(self) -> None:
        """Start to read, and then to write."""
        self.thread.start()

    def stop(self) -> None:
        """Stop soon."""
        self.stopping.set()
        self.changed.set()

    def must_wait(self) -> bool:
        """Return whether requests must wait until the records are read."""
        if self.loaded.is_set():
            return False
        return self.clock() - self.started_s < MAX_WAIT_S

    def note_begun(self, stream: str, origin: memory.Origin) -> None:
        """Have the thread record a stream soon, unless it ends before."""
        with self.lock:
            self.forget_old(self.clock())
            if stream in self.running:
                return
            self.running[stream] = RunningStream(origin, self.clock())
            self.unwritten.add(stream)
            while len(self.running) > MAX_ROWS:
                oldest, _running = self.running.popitem(last=False)
                self.unwritten.discard(oldest)
        self.changed.set()

    def note_ended(self, stream: str) -> None:
        """Drop a stream that its caller has received as a whole."""
        with self.lock:
            self.running.pop(stream, None)
            self.unwritten.discard(stream)

    def run(self) -> None:
        """Read the records, then write until stopped."""
        while not self.stopping.is_set():
            try:
                self.step()
            except records.StoreUnavailableError as error:
                log.info("origin_records_unavailable", detail=str(error))
                self.stopping.wait(RETRY_S)
            except Exception:
                # If this thread ended, no further stream would be recorded;
                # the next attempt may succeed.
                log.exception("origin_records_failed")
                self.stopping.wait(RETRY_S)

    def step(self) -> None:
        """Read if that was not done yet; else write if there is need.

        Before the records are read, a write would replace what the former
        process of this instance knew.

        Raises
        ------
        StoreUnavailableError
            When the store does not answer properly.
        """
        if not self.loaded.is_set():
            self.load()
            return
        self.changed.wait(POLL_S)
        next_s = self.written_s + self.pause_s()
        self.stopping.wait(max(GATHER_S, next_s - self.clock()))
        self.changed.clear()
        if not self.stopping.is_set():
            self.write()

    def pause_s(self) -> float:
        """Return the least time between writes."""
        return max(MIN_PAUSE_S, self.count_instances() / MAX_WRITES_PER_S)

    # Reading.

    def load(self) -> None:
        """Read and apply all records."""
        found: dict[str, OriginRecord] = {}
        outdated: list[str] = []
        batch = self.store.newest(self.topic)
        self.written_era = self.store.era
        for row in batch.records:
            record = self.decode(row)
            if record is None:
                continue
            elapsed_s = self.wall_clock() - record.written_ms / MS
            if abs(elapsed_s) < MAX_AGE_S:
                found[row.key] = record
            elif abs(elapsed_s) > REMOVE_AGE_S and row.key != self.name:
                outdated.append(row.key)
            self.is_stored = self.is_stored or row.key == self.name
        self.apply(found)
        self.loaded.set()
        log.info(
            "origin_records_read",
            instances=len(found),
            streams=sum(len(record.rows) for record in found.values()),
        )
        if outdated:
            # All instances may read at the same moment.
            self.store.put(self.topic, random.choice(outdated), None)

    def decode(self, row: records.KeyedRecord) -> OriginRecord | None:
        """Return a record; ``None`` if there is none or it is malformed."""
        if row.value is None:
            return None
        try:
            return msgspec.msgpack.decode(row.value, type=OriginRecord)
        except (ValueError, msgspec.MsgspecError) as error:
            self.tally.note(
                malformed.Kind.STORE_RECORD, f"{self.topic}/{row.key}", error
            )
            return None

    def apply(self, found: dict[str, OriginRecord]) -> None:
        """Apply records, without streams on which they do not agree."""
        origins: dict[str, set[memory.Origin]] = {}
        since_s: dict[str, float] = {}
        for record in found.values():
            for row in record.rows:
                at_s = self.time_of(record, row)
                if self.clock() - at_s < MAX_AGE_S:
                    origin = memory.Origin(row.service, row.software)
                    origins.setdefault(row.stream, set()).add(origin)
                    since_s[row.stream] = at_s
        agreed = sorted(
            (since_s[stream], stream)
            for stream, told in origins.items()
            if len(told) == 1
        )
        own = found.get(self.name)
        own_streams = {row.stream for row in own.rows} if own else set()
        restored: collections.OrderedDict[str, RunningStream] = (
            collections.OrderedDict()
        )
        for at_s, stream in agreed:
            (origin,) = origins[stream]
            self.known.record(stream, origin)
            if stream in own_streams:
                restored[stream] = RunningStream(origin, at_s)
        with self.lock:
            restored.update(self.running)
            self.running = restored

    def time_of(self, record: OriginRecord, row: OriginRow) -> float:
        """Return when a stream began, by the clock.

        Wall clocks of instances differ by seconds, so it is never later than
        now.
        """
        elapsed_s = self.wall_clock() - record.written_ms / MS
        return self.clock() - max(0.0, elapsed_s) - row.age_ms / MS

    # Writing.

    def write(self) -> None:
        """Write the streams that run, if the store lacks any of them.

        Raises
        ------
        StoreUnavailableError
            If the store does not confirm the write.
        """
        now_s = self.clock()
        era = self.store.era
        with self.lock:
            self.forget_old(now_s)
            if era != self.written_era:
                self.unwritten = set(self.running)
            rows = self.rows(now_s)
            written = frozenset(self.unwritten)
            is_due = any(
                now_s - self.running[stream].since_s >= GATHER_S
                for stream in written
            )
        is_unused = self.is_stored and not rows
        if is_unused and now_s - self.written_s >= MAX_AGE_S:
            is_due = True
        if not is_due:
            if written:
                self.changed.set()
            return
        self.written_s = now_s
        record = OriginRecord(rows, round(self.wall_clock() * MS))
        value = msgspec.msgpack.encode(record) if rows else None
        self.changed.set()
        self.store.put(self.topic, self.name, value)
        self.changed.clear()
        self.is_stored = bool(rows)
        self.written_era = era
        with self.lock:
            self.unwritten -= written
            if self.unwritten:
                self.changed.set()

    def forget_old(self, now_s: float) -> None:
        """Forget streams that nobody takes up any more; requires the lock."""
        while self.running:
            stream, oldest = next(iter(self.running.items()))
            if now_s - oldest.since_s < MAX_AGE_S:
                return
            self.running.popitem(last=False)
            self.unwritten.discard(stream)

    def rows(self, now_s: float) -> Rows:
        """Return the newest streams, encodable; requires the lock."""
        newest = list(self.running.items())[-MAX_ROWS:]
        return tuple(
            OriginRow(
                stream,
                running.origin.service,
                running.origin.software,
                max(0, round((now_s - running.since_s) * MS)),
            )
            for stream, running in newest
        )
