"""Reading topics through one instance of the cell.

The store counts each call, and a topic that changes all the time is read by
each instance about once a second: at 85 instances that was 240 calls a
second, a sixth of what the answers were worth.  In a large deployment one
instance of a cell reads the topics, and the others ask it for records by the
store's own offsets.  Whoever gets no current answer asks the store itself.
"""

from __future__ import annotations

import collections
import itertools
import threading
import typing

import structlog

from briarseam import changes
from briarseam import clocks
from briarseam import polling
from briarseam.feeds import records
from briarseam.feeds import shared_messages as messages

if typing.TYPE_CHECKING:
    import collections.abc

# With fewer instances each reads the store itself: 7 instances make 15 calls
# a second, 0.005 of what their answers are worth, and depend on nobody.  16
# instances made 31 calls a second by themselves, 0.13 of what their answers
# were worth, and 0.05 through one reader.
SHARED_FROM = 11
# What was not confirmed by the store for so long is not handed on.  A
# change must be in force within two seconds, also where the reader's link
# to the store is silent.
MAX_AGE_S = 1.4
# Longest wait for a record, at the store and at the reader, and what an
# answer of the reader may take beyond it.  A reader that is gone without a
# word is noticed in their sum.
WAIT_S = 0.8
SLACK_S = 0.5
# The reader's pause after it got records, so that it gets them in batches.
PAUSE_S = 0.3
RETRY_S = 0.3
# How long a reader that gave no answer is not asked again.
AVOID_S = 1.0
# Records that are kept for those who are behind: a minute and a half of a
# topic with 55 changes a second.
MOST_RECORDS = 5000
# Larger ones are read from the store by each instance: thirty copies of a
# whole configuration would hold up the link of the reader.
MOST_BYTES = 20_000
log = structlog.get_logger("briarseam.feeds")


class ReaderUnavailableError(Exception):
    """The instance that reads for the cell does not answer."""


class Readers(typing.Protocol):
    """Who reads for this cell, and calls to it."""

    def count(self) -> int:
        """Return the number of all instances."""

    def speaker(self) -> str:
        """Return who reads for the cell; empty while not known."""

    def read_topic(
        self, reader: str, asked: messages.RecordsAsked, timeout_s: float
    ) -> messages.RecordsTold:
        """Ask the reader.

        Raises
        ------
        ReaderUnavailableError
            When it does not answer.
        """


class RecordCache:
    """The newest records of one topic; thread-safe.

    Parameters
    ----------
    clock
        Seconds, counting while the machine is suspended.
    """

    def __init__(self, clock: typing.Callable[[], float]) -> None:
        self.clock = clock
        self.changed = changes.Change()
        self.next = 0
        self.records: collections.deque[records.KeyedRecord] = (
            collections.deque(maxlen=MOST_RECORDS)
        )
        self.confirmed_s: float | None = None

    def begin(self, start: int) -> None:
        """Begin anew at an offset."""
        with self.changed:
            self.records.clear()
            self.next = start
            self.confirmed_s = self.clock()
            self.changed.notify_all()

    def take(self, batch: records.KeyedBatch) -> None:
        """Take in what the store answered."""
        with self.changed:
            self.records.extend(batch.records)
            self.next = batch.next
            self.confirmed_s = self.clock()
            if batch.records:
                self.changed.notify_all()

    def doubt(self) -> None:
        """Hand nothing on until the store has answered again.

        Who asks then asks the store itself and sees that it is away.
        """
        with self.changed:
            self.confirmed_s = None
            self.changed.notify_all()

    def left_s(self) -> float:
        """Return for how long the content is still current."""
        if self.confirmed_s is None:
            return 0.0
        return self.confirmed_s + MAX_AGE_S - self.clock()

    def has_news(self, start: int) -> bool:
        """Tell whether there is an answer now; call it under the lock."""
        return self.next > start or self.confirmed_s is None

    async def await_news(self, start: int, wait_s: float) -> None:
        """Wait for an answer, without a thread."""
        await self.changed.reached(
            lambda: self.has_news(start), min(wait_s, self.left_s())
        )

    def read(self, start: int, wait_s: float) -> records.KeyedBatch | None:
        """Return records from an offset on, waiting for the first.

        ``None`` when they are not here, too large to be handed on, or when
        the store has not confirmed for too long that there is none.
        """
        with self.changed:
            self.changed.wait_for(
                lambda: self.has_news(start), min(wait_s, self.left_s())
            )
            first = self.next - len(self.records)
            if self.left_s() <= 0 or not first <= start <= self.next:
                return None
            found = tuple(itertools.islice(self.records, start - first, None))
            size = sum(len(record.value or b"") for record in found)
            if size > MOST_BYTES:
                return None
            return records.KeyedBatch(found, self.next)


class TopicReader:
    """Reads one topic for the cell until stopped.

    Parameters
    ----------
    store
        The store.
    topic
        The topic.
    cache
        Takes the records.
    """

    def __init__(
        self, store: records.KeyedStore, topic: str, cache: RecordCache
    ) -> None:
        self.store = store
        self.topic = topic
        self.cache = cache
        self.begun = False
        self.poller = polling.Poller(
            f"read-{topic}",
            self.read_once,
            records.StoreUnavailableError,
            RETRY_S,
            self.doubt,
        )

    def start(self) -> None:
        """Begin reading."""
        self.poller.start()

    def stop(self) -> None:
        """Stop after the read under way."""
        self.poller.stop()

    def doubt(self, error: Exception) -> None:
        """Hand nothing on while the store does not answer."""
        del error
        self.cache.doubt()

    def read_once(self) -> float:
        """Read what is new; return the pause to the next read."""
        if not self.begun:
            self.cache.begin(self.store.newest(self.topic).next)
            self.begun = True
            return 0.0
        try:
            batch = self.store.read_keyed(self.topic, self.cache.next, WAIT_S)
        except records.RecordsExpiredError as error:
            log.warning("records_expired", topic=self.topic, detail=str(error))
            self.begun = False
            return 0.0
        self.cache.take(batch)
        return PAUSE_S if batch.records else 0.0


class SharedReads:
    """A store whose topics are read through the cell's reader.

    Parameters
    ----------
    store
        The store itself.
    topics
        The topics that are shared.
    readers
        Who reads, and calls to it.
    me
        Name of this instance.
    clock
        Seconds, counting while the machine is suspended.
    """

    def __init__(
        self,
        store: records.KeyedStore,
        topics: collections.abc.Iterable[str],
        readers: Readers,
        me: str,
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.store = store
        self.readers = readers
        self.me = me
        self.clock = clock
        self.topics = tuple(topics)
        self.caches: dict[str, RecordCache] = {}
        self.reading: dict[str, TopicReader] = {}
        self.avoided: dict[str, float] = {}
        self.lock = threading.Lock()
        self.direct = 0
        self.shared = 0

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
            When records from there on are no longer kept.
        StoreUnavailableError
            When neither the reader nor the store answers properly.
        """
        batch = self.read_shared(topic, start, wait_s)
        if batch is not None:
            self.shared += 1
            return batch
        self.direct += 1
        return self.store.read_keyed(topic, start, wait_s)

    def read_shared(
        self, topic: str, start: int, wait_s: float
    ) -> records.KeyedBatch | None:
        """Return what the reader has; ``None`` to ask the store."""
        if self.readers.count() < SHARED_FROM:
            self.stop()
            return None
        reader = self.readers.speaker()
        if reader == self.me:
            self.begin_reading()
            # Another topic's follower may just have seen another reader and
            # stopped all of this.
            cache = self.caches.get(topic)
            if cache is None:
                return None
            return cache.read(start, min(wait_s, WAIT_S))
        self.stop()
        if not reader or self.avoided.get(reader, 0.0) > self.clock():
            return None
        return self.ask(reader, topic, start, min(wait_s, WAIT_S))

    def ask(
        self, reader: str, topic: str, start: int, wait_s: float
    ) -> records.KeyedBatch | None:
        """Ask the reader; leave it alone for a while if it is silent."""
        asked = messages.RecordsAsked(topic, start, wait_s)
        try:
            told = self.readers.read_topic(reader, asked, wait_s + SLACK_S)
        except ReaderUnavailableError as error:
            self.avoided = {reader: self.clock() + AVOID_S}
            log.warning(
                "topic_reader_silent", reader=reader, detail=str(error)
            )
            return None
        if not told.known:
            return None
        found = tuple(records.KeyedRecord(*record) for record in told.records)
        return records.KeyedBatch(found, told.next)

    async def await_answer(self, asked: messages.RecordsAsked) -> None:
        """Wait until there is an answer for another instance."""
        cache = self.caches.get(asked.topic)
        if cache is not None:
            await cache.await_news(asked.start, min(asked.wait_s, WAIT_S))

    def answer(self, asked: messages.RecordsAsked) -> messages.RecordsTold:
        """Answer an instance that takes this one for its reader, at once."""
        cache = self.caches.get(asked.topic)
        if cache is None:
            return messages.UNKNOWN
        batch = cache.read(asked.start, 0.0)
        if batch is None:
            return messages.UNKNOWN
        return messages.RecordsTold(
            True,
            tuple((record.key, record.value) for record in batch.records),
            batch.next,
        )

    def begin_reading(self) -> None:
        """Read all topics for the cell, unless that goes on already."""
        with self.lock:
            if self.reading:
                return
            log.info("topic_reading_begun", topics=len(self.topics))
            # New ones each time: a reader of before may still have a read
            # under way.
            caches = {topic: RecordCache(self.clock) for topic in self.topics}
            readers = {
                topic: TopicReader(self.store, topic, cache)
                for topic, cache in caches.items()
            }
            # A thread may not be had; what counts as read is tried again
            # by nobody.
            for reader in readers.values():
                reader.start()
            self.caches, self.reading = caches, readers

    def stop(self) -> None:
        """Read for nobody any more."""
        with self.lock:
            stopped, self.reading = self.reading, {}
            self.caches = {}
        for reader in stopped.values():
            reader.stop()
