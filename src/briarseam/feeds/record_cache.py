"""The newest records of a topic, kept for the other instances of a cell."""

from __future__ import annotations

import collections
import enum
import itertools
import typing

from briarseam import changes
from briarseam.feeds import records

# Content that the store has not confirmed for so long is not returned: a
# change must be in force within two seconds, even if the reader's link to
# the store goes silent.
MAX_AGE_S = 1.4
# Records kept for instances that are behind: 90 seconds of a topic with 55
# changes a second.
MAX_RECORDS = 5000
# Records kept by an instance that is not a reader, a few seconds' worth.
MAX_TAIL_RECORDS = 500
# Offset of a cache or tail without content.
NO_OFFSET = -1


class MissReason(enum.Enum):
    """Why a cache returns no records."""

    # The store does not answer, or its last confirmation is too old.
    STORE_UNAVAILABLE = "away"
    # The records are not in the cache, or too large for a message.
    UNKNOWN = "unknown"


class Tail:
    """The last records of a topic that an instance has followed.

    An instance that becomes a reader starts from these records, so that
    instances that are a little behind need not query the store.

    Attributes
    ----------
    records
        The last records.
    next
        Offset after the last record.
    """

    def __init__(self) -> None:
        self.records: collections.deque[records.KeyedRecord] = (
            collections.deque(maxlen=MAX_TAIL_RECORDS)
        )
        self.next = NO_OFFSET

    def append(self, start: int, batch: records.KeyedBatch) -> None:
        """Append a batch that was read from an offset."""
        if start != self.next:
            self.records.clear()
        self.records.extend(batch.records)
        self.next = batch.next


class RecordCache:
    """The newest records of one topic; thread-safe.

    Parameters
    ----------
    clock
        Seconds, including time during which the machine is suspended.

    Attributes
    ----------
    next
        Offset after the last record; ``NO_OFFSET`` without content.
    store_unavailable
        Whether the last read failed.
    confirmed_at_s
        When the store last confirmed the content; ``None`` if it has not
        done so since reading started.
    complete_until_s
        Until when the topic had no other changes, by the clock.
    """

    def __init__(self, clock: typing.Callable[[], float]) -> None:
        self.clock = clock
        self.changed = changes.Change()
        self.next = NO_OFFSET
        self.records: collections.deque[records.KeyedRecord] = (
            collections.deque(maxlen=MAX_RECORDS)
        )
        self.store_unavailable = False
        self.confirmed_at_s: float | None = None
        self.complete_until_s = records.NEVER_S

    @property
    def was_confirmed(self) -> bool:
        """Whether the store has confirmed the content at least once."""
        return self.confirmed_at_s is not None

    def resume(self, tail: Tail) -> None:
        """Start from a tail, whose records still need confirmation."""
        with self.changed:
            self.records.extend(tail.records)
            self.next = tail.next

    def reset(
        self, start: int, complete_until_s: float = records.NEVER_S
    ) -> None:
        """Drop all records and continue at an offset."""
        with self.changed:
            self.records.clear()
            self.next = start
            self.mark_confirmed(complete_until_s)
            self.changed.notify_all()

    def append(self, batch: records.KeyedBatch) -> None:
        """Append records from the store."""
        with self.changed:
            self.records.extend(batch.records)
            self.next = batch.next
            self.mark_confirmed(batch.complete_until_s)
            if batch.records:
                self.changed.notify_all()

    def mark_confirmed(self, complete_until_s: float) -> None:
        """Record the store's confirmation; call it under the lock."""
        self.store_unavailable = False
        self.complete_until_s = complete_until_s
        self.confirmed_at_s = self.clock()

    def mark_unavailable(self) -> None:
        """Return no records until the store answers again.

        The other instances then query the next reader.
        """
        with self.changed:
            self.store_unavailable = True
            self.changed.notify_all()

    def complete_until_s_at(self, offset: int) -> float:
        """Return until when there were no changes from an offset on."""
        with self.changed:
            if offset < self.next:
                return records.NEVER_S
            return self.complete_until_s

    def remaining_s(self) -> float:
        """Return for how many seconds the content is still current."""
        if self.store_unavailable or self.confirmed_at_s is None:
            return 0.0
        return self.confirmed_at_s + MAX_AGE_S - self.clock()

    def has_answer(self, start: int) -> bool:
        """Return whether there is an answer now; call it under the lock."""
        return self.store_unavailable or (
            self.was_confirmed and self.next > start
        )

    def limit_wait_s(self, wait_s: float) -> float:
        """Return a requested wait, bounded while content can expire."""
        return (
            min(wait_s, self.remaining_s()) if self.was_confirmed else wait_s
        )

    async def await_answer(self, start: int, wait_s: float) -> None:
        """Wait for an answer without blocking a thread."""
        await self.changed.reached(
            lambda: self.has_answer(start), self.limit_wait_s(wait_s)
        )

    def read(
        self, start: int, wait_s: float
    ) -> records.KeyedBatch | MissReason:
        """Return records from an offset on, waiting for the first."""
        with self.changed:
            self.changed.wait_for(
                lambda: self.has_answer(start), self.limit_wait_s(wait_s)
            )
            if self.remaining_s() <= 0:
                return MissReason.STORE_UNAVAILABLE
            first = self.next - len(self.records)
            if not first <= start <= self.next:
                return MissReason.UNKNOWN
            newer = tuple(itertools.islice(self.records, start - first, None))
            return records.KeyedBatch(newer, self.next, self.complete_until_s)
