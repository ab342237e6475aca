"""Shared reads of topics through a few instances of the cell.

The store counts each call, and each instance reads a topic that changes
constantly about once a second.  In a large deployment one instance of a cell
reads the topics, and the others query it for records by the store's offsets.
If the store does not answer that reader, they query the next in rank, which
then starts to read.
"""

from __future__ import annotations

import threading
import typing

import structlog

from briarseam import backoff
from briarseam import clocks
from briarseam.feeds import packing
from briarseam.feeds import record_cache
from briarseam.feeds import records
from briarseam.feeds import shared_messages as messages
from briarseam.feeds import topic_reader

if typing.TYPE_CHECKING:
    import collections.abc

# With fewer instances each one reads the store directly, without depending
# on a reader.
MIN_SHARING_INSTANCES = 11
# Time for a reader's answer beyond the requested wait.  A dead reader is
# detected after the sum of both.
READER_SLACK_S = 0.5
# How long a reader is skipped after it did not answer, or reported that the
# store does not answer it.
BACKOFF_S = 1.0
# A reader without queries for so long stops, unless it ranks first.
READER_IDLE_S = 5.0
# While the store answers no reader, each instance probes it at this
# interval: of forty instances, ten probe in a second.
PROBE_S = 4.0
PROBE_JITTER = 0.5
# How long the store is read directly after a successful probe.
DIRECT_READ_S = 2.0
log = structlog.get_logger("briarseam.feeds")


class ReaderUnavailableError(Exception):
    """A reader of the cell does not answer."""


class Readers(typing.Protocol):
    """The instances that may read for this cell, and calls to them."""

    def instance_count(self) -> int:
        """Return the number of all instances."""

    def topic_readers(self) -> collections.abc.Sequence[str]:
        """Return the names of the cell's readers, highest rank first.

        Empty while not known.
        """

    def read_topic(
        self, reader: str, query: messages.RecordsAsked, timeout_s: float
    ) -> messages.RecordsTold:
        """Query a reader.

        Raises
        ------
        ReaderUnavailableError
            If it does not answer.
        """


class SharedReads:
    """A store of keyed topics that is read through the cell's readers.

    Parameters
    ----------
    store
        The store.
    topics
        Names of the shared topics.
    readers
        The cell's readers, and calls to them.
    own_name
        Name of the local instance.
    clock
        Seconds, including time during which the machine is suspended.
    """

    def __init__(
        self,
        store: records.KeyedStore,
        topics: collections.abc.Iterable[str],
        readers: Readers,
        own_name: str,
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.store = store
        self.readers = readers
        self.own_name = own_name
        self.clock = clock
        self.topics = tuple(topics)
        self.caches: dict[str, record_cache.RecordCache] = {}
        self.active_readers: dict[str, topic_reader.TopicReader] = {}
        self.tails = {topic: record_cache.Tail() for topic in self.topics}
        self.silent_until_s: dict[str, float] = {}
        self.unavailable_until_s: dict[str, float] = {}
        self.next_probe_s = 0.0
        self.direct_until_s = float("-inf")
        self.last_query_s = float("-inf")
        self.lock = threading.Lock()
        self.direct_reads = 0
        self.shared_reads = 0

    def newest(self, topic: str) -> records.KeyedBatch:
        """Return the newest record of each key, from the store."""
        return self.store.newest(topic)

    def read_keyed(
        self, topic: str, start: int, wait_s: float
    ) -> records.KeyedBatch:
        """Return changes from an offset on, waiting for the first.

        Raises
        ------
        RecordsExpiredError
            If records from the offset on are no longer retained.
        StoreUnavailableError
            If neither a reader nor the store gives a valid answer.
        """
        batch = self.read_shared_or_direct(topic, start, wait_s)
        self.tails[topic].append(start, batch)
        return batch

    def read_shared_or_direct(
        self, topic: str, start: int, wait_s: float
    ) -> records.KeyedBatch:
        """Return changes from a reader, or from the store as a fallback."""
        shared_wait_s = min(wait_s, topic_reader.MAX_WAIT_S)
        result = self.read_from_readers(topic, start, shared_wait_s)
        match result:
            case records.KeyedBatch():
                self.shared_reads += 1
                return result
            case record_cache.MissReason.STORE_UNAVAILABLE:
                return self.probe_store(topic, start, wait_s)
            case record_cache.MissReason.UNKNOWN:
                return self.read_directly(topic, start, wait_s)

    def read_directly(
        self, topic: str, start: int, wait_s: float
    ) -> records.KeyedBatch:
        """Read from the store, without a reader."""
        self.direct_reads += 1
        return self.store.read_keyed(topic, start, wait_s)

    def probe_store(
        self, topic: str, start: int, wait_s: float
    ) -> records.KeyedBatch:
        """Probe the store while it answers none of the readers.

        Probes are rare, since hundreds of instances make them during an
        outage.  An instance that the store still answers detects this by its
        probe, and then reads directly for a while.
        """
        now_s = self.clock()
        if now_s < self.direct_until_s:
            batch = self.read_directly(topic, start, wait_s)
        elif now_s >= self.next_probe_s:
            pause_s = backoff.jittered(PROBE_S, PROBE_JITTER)
            self.next_probe_s = now_s + pause_s
            # If the store is silent, a long poll would block the follower.
            batch = self.read_directly(topic, start, 0.0)
        else:
            raise records.StoreUnavailableError(
                "the store answers none of the cell's readers"
            )
        self.direct_until_s = self.clock() + DIRECT_READ_S
        return batch

    def read_from_readers(
        self, topic: str, start: int, wait_s: float
    ) -> records.KeyedBatch | record_cache.MissReason:
        """Return records from a reader, querying readers by rank."""
        if self.readers.instance_count() < MIN_SHARING_INSTANCES:
            self.stop()
            return record_cache.MissReason.UNKNOWN
        names = list(self.readers.topic_readers())
        self.stop_unless_needed(names)
        store_unavailable = False
        for name in names:
            if self.is_skipped(self.unavailable_until_s, name):
                store_unavailable = True
                continue
            if self.is_skipped(self.silent_until_s, name):
                continue
            result = self.read_from(name, topic, start, wait_s)
            match result:
                case records.KeyedBatch():
                    return result
                case record_cache.MissReason.STORE_UNAVAILABLE:
                    self.unavailable_until_s[name] = self.clock() + BACKOFF_S
                    store_unavailable = True
                case record_cache.MissReason.UNKNOWN:
                    return result
                case None:
                    self.silent_until_s[name] = self.clock() + BACKOFF_S
        if store_unavailable:
            return record_cache.MissReason.STORE_UNAVAILABLE
        return record_cache.MissReason.UNKNOWN

    def is_skipped(self, skipped_until_s: dict[str, float], name: str) -> bool:
        """Return whether a reader is skipped at present."""
        return skipped_until_s.get(name, float("-inf")) > self.clock()

    def read_from(
        self, name: str, topic: str, start: int, wait_s: float
    ) -> records.KeyedBatch | record_cache.MissReason | None:
        """Return one reader's records; ``None`` if it does not answer."""
        if name != self.own_name:
            return self.query_reader(name, topic, start, wait_s)
        self.last_query_s = self.clock()
        self.start_reading()
        # The follower of another topic may have stopped all readers at the
        # same moment, because the ranking changed.
        cache = self.caches.get(topic)
        if cache is None:
            return record_cache.MissReason.UNKNOWN
        return cache.read(start, wait_s)

    def query_reader(
        self, reader: str, topic: str, start: int, wait_s: float
    ) -> records.KeyedBatch | record_cache.MissReason | None:
        """Query another instance; ``None`` if it does not answer."""
        query = messages.RecordsAsked(topic, start, wait_s, unpacks=True)
        asked_s = self.clock()
        try:
            reply = self.readers.read_topic(
                reader, query, wait_s + READER_SLACK_S
            )
            batch = packing.unpack_batch(reply, asked_s)
        except (ReaderUnavailableError, packing.UnpackError) as error:
            log.warning(
                "topic_reader_silent", reader=reader, detail=str(error)
            )
            return None
        if reply.away:
            return record_cache.MissReason.STORE_UNAVAILABLE
        if not reply.known:
            return record_cache.MissReason.UNKNOWN
        return batch

    def complete_until_s(self, topic: str, offset: int) -> float:
        """Return until when a topic had no changes from an offset on.

        Known from what this instance reads for the cell, if it does.
        """
        cache = self.caches.get(topic)
        if cache is None:
            return records.NEVER_S
        return cache.complete_until_s_at(offset)

    # Queries from other instances.

    async def await_answer(self, query: messages.RecordsAsked) -> None:
        """Wait until there is an answer for another instance."""
        self.last_query_s = self.clock()
        # Ranking the cell's instances for each call would cost too much.
        if (
            not self.active_readers
            and self.own_name in self.readers.topic_readers()
        ):
            self.start_reading()
        cache = self.caches.get(query.topic)
        if cache is not None:
            wait_s = min(query.wait_s, topic_reader.MAX_WAIT_S)
            await cache.await_answer(query.start, wait_s)

    def answer(self, query: messages.RecordsAsked) -> messages.RecordsTold:
        """Return the answer to another instance's query without waiting."""
        cache = self.caches.get(query.topic)
        if cache is None:
            return messages.UNKNOWN
        match cache.read(query.start, 0.0):
            case records.KeyedBatch() as batch:
                return (
                    packing.pack_batch(batch, query.unpacks, self.clock())
                    or messages.UNKNOWN
                )
            case record_cache.MissReason.STORE_UNAVAILABLE:
                return messages.STORE_UNAVAILABLE
            case record_cache.MissReason.UNKNOWN:
                return messages.UNKNOWN

    def start_reading(self) -> None:
        """Start to read all topics for the cell, unless already started."""
        with self.lock:
            if self.active_readers:
                return
            log.info("topic_reading_begun", topics=len(self.topics))
            # New objects each time: a read of a stopped reader may still be
            # in progress.
            gate = topic_reader.OutageGate()
            caches = {
                topic: record_cache.RecordCache(self.clock)
                for topic in self.topics
            }
            readers = {
                topic: topic_reader.TopicReader(self.store, topic, cache, gate)
                for topic, cache in caches.items()
            }
            for topic, cache in caches.items():
                cache.resume(self.tails[topic])
            start_all(readers.values())
            self.caches, self.active_readers = caches, readers

    def stop_unless_needed(self, names: list[str]) -> None:
        """Stop the topic readers if another instance reads for the cell."""
        if not self.active_readers or names[:1] == [self.own_name]:
            return
        idle_s = self.clock() - self.last_query_s
        if self.own_name not in names or idle_s > READER_IDLE_S:
            self.stop()

    def stop(self) -> None:
        """Stop all topic readers."""
        with self.lock:
            stopped, self.active_readers = self.active_readers, {}
            self.caches = {}
        for reader in stopped.values():
            reader.stop()


def start_all(
    readers: collections.abc.Collection[topic_reader.TopicReader],
) -> None:
    """Start all readers or none.

    Guard: starting a thread may fail.  A topic without its thread would
    count as being read, and no instance would follow it.

    Raises
    ------
    RuntimeError
        If a thread can't be started.
    """
    try:
        for reader in readers:
            reader.start()
    except RuntimeError:
        for reader in readers:
            reader.stop()
        raise
