"""Readers of topics from the store, for all instances of a cell."""

from __future__ import annotations

import threading

import structlog

from briarseam import polling
from briarseam.feeds import record_cache
from briarseam.feeds import records

# Maximum wait for a record, at the store and at the reader.
MAX_WAIT_S = 0.8
# Pause after a read that returned records, so that they come in batches.
BATCH_PAUSE_S = 0.3
RETRY_S = 0.4
# Pause after a read without records: a store that doesn't wait for the first
# one would be read in a busy loop.
EMPTY_PAUSE_S = 0.05
# Consecutive failed reads of a topic that count as an outage; a single one
# may be a lost answer.
OUTAGE_FAILURES = 2
log = structlog.get_logger("briarseam.feeds")


class OutageGate:
    """Lets only one topic probe the store during an outage; thread-safe.

    Each probe is a call that the store refuses, and an outage affects all
    topics alike.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.failures: dict[str, int] = {}
        self.probing_topic = ""

    def may_read(self, topic: str) -> bool:
        """Return whether a topic may be read now."""
        with self.lock:
            return self.probing_topic in ("", topic)

    def record_failure(self, topic: str) -> None:
        """Record a failed read."""
        with self.lock:
            count = self.failures[topic] = self.failures.get(topic, 0) + 1
            if not self.probing_topic and count >= OUTAGE_FAILURES:
                self.probing_topic = topic

    def record_success(self, topic: str) -> None:
        """Record a successful read."""
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
        Name of the topic.
    cache
        Receives the records.
    gate
        Outage gate that the readers of all topics share.
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
        """Start the thread."""
        self.poller.start()

    def stop(self) -> None:
        """Stop the thread after its current read."""
        self.poller.stop()

    def handle_failure(self, error: Exception) -> None:
        """Mark the cache as unavailable after a failed read."""
        del error
        self.cache.mark_unavailable()

    def read_once(self) -> float:
        """Read new records; return the pause before the next read."""
        if not self.gate.may_read(self.topic):
            raise records.StoreUnavailableError(
                "another topic's reader probes the store"
            )
        try:
            pause_s = self.read_store()
        except records.StoreUnavailableError:
            self.gate.record_failure(self.topic)
            raise
        self.gate.record_success(self.topic)
        return pause_s

    def read_store(self) -> float:
        """Read from the store; return the pause before the next read."""
        if self.cache.next == record_cache.NO_OFFSET:
            return self.restart()
        wait_s = MAX_WAIT_S if self.cache.was_confirmed else 0.0
        try:
            batch = self.store.read_keyed(self.topic, self.cache.next, wait_s)
        except records.RecordsExpiredError as error:
            log.warning("records_expired", topic=self.topic, detail=str(error))
            return self.restart()
        self.cache.append(batch)
        return BATCH_PAUSE_S if batch.records else EMPTY_PAUSE_S

    def restart(self) -> float:
        """Restart at the topic's end; return the pause before a read."""
        newest = self.store.newest(self.topic)
        self.cache.reset(newest.next, newest.complete_until_s)
        return EMPTY_PAUSE_S
