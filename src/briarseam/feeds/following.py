"""A thread that follows one keyed topic."""

from __future__ import annotations

import threading
import typing

import structlog

from briarseam import backoff
from briarseam import clocks
from briarseam.feeds import records

if typing.TYPE_CHECKING:
    import collections.abc

# Delays after a failed read: short, so that changes arrive soon after the
# store's return, with jitter, so that instances don't retry all at once.
RETRY_S = 0.2
MAX_RETRY_S = 0.8
JITTER = 0.3
# Minimum pause after a read that returned no records of its position.
EMPTY_PAUSE_S = 0.05
log = structlog.get_logger("briarseam.feeds")


class Listener(typing.Protocol):
    """Consumer of a topic's records; called by the follower's thread."""

    def apply_all(
        self, changes: collections.abc.Sequence[records.KeyedRecord]
    ) -> None:
        """Replace all content by the newest record of each key."""

    def apply_changes(
        self, changes: collections.abc.Sequence[records.KeyedRecord]
    ) -> None:
        """Apply changes in order; there may be none."""

    def store_lost(self) -> None:
        """Handle the loss of the store."""


class Follower:
    """Follows one keyed topic and delivers its changes to a listener.

    Parameters
    ----------
    store
        Store that holds the topic.
    topic
        Name of the topic.
    listener
        Receives the changes.
    wait_s
        Length of one long poll, in seconds.
    pause_s
        Pause between two reads, so that a busy topic is read in batches.

    Attributes
    ----------
    complete_until_s
        Until when the last batch is known to have all changes, by the boot
        clock.
    read_until_s
        The latest time until which all changes were delivered, by the same
        clock.
    continuous_since_s
        Since when each change was delivered, also those of keys that were
        deleted later; by the same clock.
    """

    def __init__(
        self,
        store: records.KeyedStore,
        topic: str,
        listener: Listener,
        wait_s: float,
        pause_s: float = 0.0,
    ) -> None:
        self.store = store
        self.topic = topic
        self.listener = listener
        self.wait_s = wait_s
        self.pause_s = pause_s
        self.next: int | None = None
        self.available = True
        self.last_batch_empty = False
        self.complete_until_s = records.NEVER_S
        self.read_until_s = records.NEVER_S
        self.continuous_since_s = float("inf")
        self.waiters = 0
        self.changed = threading.Condition()
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name=f"follow-{topic}", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Stop the thread after its current read."""
        self.stopping.set()

    def run(self) -> None:
        """Read the topic until stopped."""
        retry_backoff = backoff.Backoff(RETRY_S, MAX_RETRY_S, JITTER)
        while not self.stopping.is_set():
            try:
                self.read_once()
            except records.StoreUnavailableError as error:
                self.record_store_lost(str(error))
                self.stopping.wait(retry_backoff.next_s())
                continue
            except Exception:
                # An unexpected error must not end the thread: without it,
                # the instance would keep serving outdated content.
                log.exception("read_failed", topic=self.topic)
                self.stopping.wait(MAX_RETRY_S)
                continue
            retry_backoff.reset()
            self.record_store_regained()
            self.stopping.wait(self.next_pause_s())

    def next_pause_s(self) -> float:
        """Return the pause after a successful read, in seconds.

        Guard: a store or reader that answers an empty read at once, or that
        any position has expired, would otherwise be polled in a busy loop.
        """
        return max(
            self.pause_s, EMPTY_PAUSE_S if self.last_batch_empty else 0.0
        )

    def read_once(self) -> None:
        """Read new records, or all content if no offset is known."""
        if self.next is None:
            batch = self.store.newest(self.topic)
            self.continuous_since_s = clocks.boot_clock()
            self.deliver(self.listener.apply_all, batch)
            return
        try:
            batch = self.store.read_keyed(
                self.topic, self.next, self.next_wait_s()
            )
        except records.StoreRestoredError as error:
            log.warning("topic_restored", topic=self.topic, detail=str(error))
            # Records written after the backup may be missing for a while.
            self.listener.store_lost()
            self.next = None
            self.last_batch_empty = True
            return
        except records.RecordsExpiredError as error:
            log.warning("records_expired", topic=self.topic, detail=str(error))
            self.next = None
            self.last_batch_empty = True
            return
        self.deliver(self.listener.apply_changes, batch)

    def next_wait_s(self) -> float:
        """Return the length of the next long poll, in seconds.

        While the store is unavailable, a read may hang until its timeout.
        A long poll could still hang after the store's return and delay
        changes by seconds, as it would a thread that waits for a complete
        read.
        """
        return self.wait_s if self.available and not self.waiters else 0.0

    def await_complete(self, until_s: float, timeout_s: float) -> bool:
        """Wait until all changes until a time are delivered.

        Parameters
        ----------
        until_s
            The time, by the boot clock.
        timeout_s
            How long to wait at most, in seconds.

        Returns
        -------
        bool
            Whether they are; ``False`` at once while the store is away.
        """
        with self.changed:
            self.waiters += 1
            try:
                self.changed.wait_for(
                    lambda: self.read_until_s >= until_s or not self.available,
                    timeout_s,
                )
            finally:
                self.waiters -= 1
            return self.read_until_s >= until_s

    def deliver(
        self,
        apply: collections.abc.Callable[
            [tuple[records.KeyedRecord, ...]], None
        ],
        batch: records.KeyedBatch,
    ) -> None:
        """Deliver a batch and store the next offset."""
        try:
            apply(batch.records)
        except Exception:
            # A record that can't be applied must not block later ones.
            log.exception("records_not_taken", topic=self.topic)
            self.continuous_since_s = clocks.boot_clock()
        self.next = batch.next
        self.last_batch_empty = not batch.records
        with self.changed:
            self.complete_until_s = batch.complete_until_s
            self.read_until_s = max(self.read_until_s, batch.complete_until_s)
            self.changed.notify_all()

    def record_store_lost(self, detail: str) -> None:
        """Record that the store does not answer; log it once."""
        if self.available:
            log.warning("store_lost", topic=self.topic, detail=detail)
        with self.changed:
            self.available = False
            self.changed.notify_all()
        self.listener.store_lost()

    def record_store_regained(self) -> None:
        """Record that the store answers again; log it once."""
        if not self.available:
            log.warning("store_regained", topic=self.topic, next=self.next)
        self.available = True
