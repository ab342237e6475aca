"""The newest records of one topic, for those who ask this instance."""

from __future__ import annotations

import collections
import enum
import itertools
import typing

from briarseam import changes
from briarseam.feeds import records

# What was not confirmed by the store for so long is not handed on.  A
# change must be in force within two seconds, also where the reader's link
# to the store is silent.
MAX_AGE_S = 1.4
# Records that are kept for those who are behind: a minute and a half of a
# topic with 55 changes a second.
MAX_RECORDS = 5000
# Records that an instance keeps of what it follows: some seconds' worth.
MAX_TAIL_RECORDS = 500
# No offset is known yet.
NO_OFFSET = -1


class MissReason(enum.Enum):
    """Why there is no answer."""

    # The store does not answer, or has not confirmed the content lately.
    STORE_UNAVAILABLE = "away"
    # The records are not here, or can't be handed on.
    UNKNOWN = "unknown"


class Tail:
    """The last records of a topic that an instance has followed.

    An instance that begins to read for others answers those who are a little
    behind from here; else each of them would ask the store.

    Attributes
    ----------
    records
        The last ones.
    next
        Offset behind them.
    """

    def __init__(self) -> None:
        self.records: collections.deque[records.KeyedRecord] = (
            collections.deque(maxlen=MAX_TAIL_RECORDS)
        )
        self.next = NO_OFFSET

    def append(self, start: int, batch: records.KeyedBatch) -> None:
        """Take in what was read from an offset on."""
        if start != self.next:
            self.records.clear()
        self.records.extend(batch.records)
        self.next = batch.next


class RecordCache:
    """The newest records of one topic; thread-safe.

    Parameters
    ----------
    clock
        Seconds, counting while the machine is suspended.

    Attributes
    ----------
    next
        Offset behind the content; ``NOWHERE`` while there is none.
    away
        Whether the last read failed.
    confirmed_s
        When the store last confirmed the content; ``None`` if it has not
        since reading began.
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

    @property
    def was_confirmed(self) -> bool:
        """Whether the store has confirmed the content at all."""
        return self.confirmed_at_s is not None

    def resume(self, tail: Tail) -> None:
        """Go on from what was followed; nothing of it is confirmed yet."""
        with self.changed:
            self.records.extend(tail.records)
            self.next = tail.next

    def reset(self, start: int) -> None:
        """Begin anew at an offset."""
        with self.changed:
            self.records.clear()
            self.next = start
            self.mark_confirmed()
            self.changed.notify_all()

    def append(self, batch: records.KeyedBatch) -> None:
        """Take in what the store answered."""
        with self.changed:
            self.records.extend(batch.records)
            self.next = batch.next
            self.mark_confirmed()
            if batch.records:
                self.changed.notify_all()

    def mark_confirmed(self) -> None:
        """Take note that the store answered; call it under the lock."""
        self.store_unavailable = False
        self.confirmed_at_s = self.clock()

    def mark_unavailable(self) -> None:
        """Hand nothing on until the store has answered again.

        Who asks then asks another reader.
        """
        with self.changed:
            self.store_unavailable = True
            self.changed.notify_all()

    def remaining_s(self) -> float:
        """Return for how long the content is still current."""
        if self.store_unavailable or self.confirmed_at_s is None:
            return 0.0
        return self.confirmed_at_s + MAX_AGE_S - self.clock()

    def has_answer(self, start: int) -> bool:
        """Tell whether there is an answer now; call it under the lock."""
        return self.store_unavailable or (
            self.was_confirmed and self.next > start
        )

    def limit_wait_s(self, wait_s: float) -> float:
        """Return how long to wait for news, given how long is wanted."""
        return (
            min(wait_s, self.remaining_s()) if self.was_confirmed else wait_s
        )

    async def await_answer(self, start: int, wait_s: float) -> None:
        """Wait for an answer, without a thread."""
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
            found = tuple(itertools.islice(self.records, start - first, None))
            return records.KeyedBatch(found, self.next)
