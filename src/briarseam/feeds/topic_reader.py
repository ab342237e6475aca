"""Reading topics from the store for a whole cell."""

from __future__ import annotations

import threading

import structlog

from briarseam import polling
from briarseam.feeds import record_cache
from briarseam.feeds import records

# Longest wait for a record, at the store and at the reader.
MAX_WAIT_S = 0.8
# The reader's pause after it got records, so that it gets them in batches.
BATCH_PAUSE_S = 0.3
RETRY_S = 0.4
# Failed reads of a topic, one after the other, that mean an outage; one by
# itself is an answer that was lost.
OUTAGE_FAILURES = 2
log = structlog.get_logger("briarseam.feeds")


class OutageGate:
    """Lets one topic ask whether the store is back; thread-safe.

    In an outage each try is a call that the store refuses, and it is away
    for all topics alike.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.failures: dict[str, int] = {}
        self.probing_topic = ""

    def may_read(self, topic: str) -> bool:
        """Tell whether a topic is to be read now."""
        with self.lock:
            return self.probing_topic in ("", topic)

    def record_failure(self, topic: str) -> None:
        """Take note of a read that failed."""
        with self.lock:
            count = self.failures[topic] = self.failures.get(topic, 0) + 1
            if not self.probing_topic and count >= OUTAGE_FAILURES:
                self.probing_topic = topic

    def record_success(self, topic: str) -> None:
        """Take note of a read that was answered."""
        with self.lock:
            self.failures.pop(topic, None)
            if self.probing_topic == topic:
                self.probing_topic = ""


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
    gate
        Shared by the readers of all topics.
    """

    def __init__(
        self,
        store: records.KeyedStore,
        topic: str,
        cache: record_cache.RecordCache,
        gate: OutageGate,
    ) -> None:
        self.store = store
        self.topic = topic
        self.cache = cache
        self.gate = gate
        self.poller = polling.Poller(
            f"read-{topic}",
            self.read_once,
            records.StoreUnavailableError,
            RETRY_S,
            self.handle_failure,
        )

    def start(self) -> None:
        """Begin reading."""
        self.poller.start()

    def stop(self) -> None:
        """Stop after the read under way."""
        self.poller.stop()

    def handle_failure(self, error: Exception) -> None:
        """Hand nothing on while the store does not answer."""
        del error
        self.cache.mark_unavailable()

    def read_once(self) -> float:
        """Read what is new; return the pause to the next read."""
        if not self.gate.may_read(self.topic):
            raise records.StoreUnavailableError("another topic's read asks")
        try:
            pause_s = self.read_store()
        except records.StoreUnavailableError:
            self.gate.record_failure(self.topic)
            raise
        self.gate.record_success(self.topic)
        return pause_s

    def read_store(self) -> float:
        """Ask the store; return the pause to the next time."""
        if self.cache.next == record_cache.NO_OFFSET:
            return self.restart()
        wait_s = MAX_WAIT_S if self.cache.was_confirmed else 0.0
        try:
            batch = self.store.read_keyed(self.topic, self.cache.next, wait_s)
        except records.RecordsExpiredError as error:
            log.warning("records_expired", topic=self.topic, detail=str(error))
            return self.restart()
        self.cache.append(batch)
        return BATCH_PAUSE_S if batch.records else 0.0

    def restart(self) -> float:
        """Begin where the topic ends now; return the pause after that."""
        self.cache.reset(self.store.newest(self.topic).next)
        return 0.0
