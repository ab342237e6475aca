"""A thread that follows one keyed topic."""

from __future__ import annotations

import threading
import typing

import structlog

from briarseam import backoff
from briarseam.feeds import records

if typing.TYPE_CHECKING:
    import collections.abc

# After a failed read; a change should be seen soon after the store's return
# and a store that refuses must not be asked by everybody at once.
RETRY_S = 0.2
MAX_RETRY_S = 0.8
JITTER = 0.3
# Least time between two reads of which the first brought nothing.
EMPTY_PAUSE_S = 0.05
log = structlog.get_logger("briarseam.feeds")


class Listener(typing.Protocol):
    """Whatever a topic's content is for.  Called by one thread."""

    def apply_all(
        self, changes: collections.abc.Sequence[records.KeyedRecord]
    ) -> None:
        """Take in the newest record of each key; others are no more."""

    def apply_changes(
        self, changes: collections.abc.Sequence[records.KeyedRecord]
    ) -> None:
        """Take in changes, maybe none, in order."""

    def store_lost(self) -> None:
        """Take note that the store does not answer."""


class Follower:
    """Follows one keyed topic and hands on what changes.

    Parameters
    ----------
    store
        Where the topic lies.
    topic
        Its name.
    listener
        Takes the changes.
    wait_s
        Length of one long poll, in seconds.
    pause_s
        Pause between two reads, so that a busy topic is read in batches.
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
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name=f"follow-{topic}", daemon=True
        )

    def start(self) -> None:
        """Begin following."""
        self.thread.start()

    def stop(self) -> None:
        """Stop after the read under way."""
        self.stopping.set()

    def run(self) -> None:
        """Follow until stopped."""
        retry_backoff = backoff.Backoff(RETRY_S, MAX_RETRY_S, JITTER)
        while not self.stopping.is_set():
            try:
                self.read_once()
            except records.StoreUnavailableError as error:
                self.record_store_lost(str(error))
                self.stopping.wait(retry_backoff.next_s())
                continue
            except Exception:
                # A fault of ours must not end the thread: nothing would
                # be followed any more, and the instance would serve what
                # was in force then for ever.
                log.exception("read_failed", topic=self.topic)
                self.stopping.wait(MAX_RETRY_S)
                continue
            retry_backoff.reset()
            self.record_store_regained()
            self.stopping.wait(self.next_pause_s())

    def next_pause_s(self) -> float:
        """Return the pause after a read that was answered, in seconds.

        Guard: whoever is asked may answer at once that there is nothing,
        and would then be asked as fast as it answers.
        """
        return max(
            self.pause_s, EMPTY_PAUSE_S if self.last_batch_empty else 0.0
        )

    def read_once(self) -> None:
        """Read what is new, or everything where records have expired."""
        if self.next is None:
            batch = self.store.newest(self.topic)
            self.deliver(self.listener.apply_all, batch)
            return
        try:
            batch = self.store.read_keyed(
                self.topic, self.next, self.next_wait_s()
            )
        except records.StoreRestoredError as error:
            log.warning("topic_restored", topic=self.topic, detail=str(error))
            # What others wrote since the copy may be missing for a while.
            self.listener.store_lost()
            self.next = None
            return
        except records.RecordsExpiredError as error:
            log.warning("records_expired", topic=self.topic, detail=str(error))
            self.next = None
            return
        self.deliver(self.listener.apply_changes, batch)

    def next_wait_s(self) -> float:
        """Return the length of the next long poll, in seconds.

        While the store is away each try hangs until its own end.  A long
        one would still hang when the store is back, and what changed
        meanwhile would be seen seconds later.
        """
        return self.wait_s if self.available else 0.0

    def deliver(
        self,
        apply: collections.abc.Callable[
            [tuple[records.KeyedRecord, ...]], None
        ],
        batch: records.KeyedBatch,
    ) -> None:
        """Hand a batch on and remember where to read next."""
        try:
            apply(batch.records)
        except Exception:
            # A record that can't be taken in must not stop all later ones.
            log.exception("records_not_taken", topic=self.topic)
        self.next = batch.next
        self.last_batch_empty = not batch.records

    def record_store_lost(self, detail: str) -> None:
        """Note that the store does not answer; log it once."""
        if self.available:
            log.warning("store_lost", topic=self.topic, detail=detail)
        self.available = False
        self.listener.store_lost()

    def record_store_regained(self) -> None:
        """Note that the store answers; log it once."""
        if not self.available:
            log.warning("store_regained", topic=self.topic, next=self.next)
        self.available = True
