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
MOST_RECORDS = 5000
# Records that an instance keeps of what it follows: some seconds' worth.
TAIL_RECORDS = 500
# No offset is known yet.
NOWHERE = -1


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
            collections.deque(maxlen=TAIL_RECORDS)
        )
        self.next = NOWHERE

    def note(self, start: int, batch: records.KeyedBatch) -> None:
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
        self.next = NOWHERE
        self.records: collections.deque[records.KeyedRecord] = (
            collections.deque(maxlen=MOST_RECORDS)
        )
        self.away = False
        self.confirmed_s: float | None = None

    @property
    def begun(self) -> bool:
        """Whether the store has confirmed the content at all."""
        return self.confirmed_s is not None

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
            self.confirm()
            self.changed.notify_all()

    def append(self, batch: records.KeyedBatch) -> None:
        """Take in what the store answered."""
        with self.changed:
            self.records.extend(batch.records)
            self.next = batch.next
            self.confirm()
            if batch.records:
                self.changed.notify_all()

    def confirm(self) -> None:
        """Take note that the store answered; call it under the lock."""
        self.away = False
        self.confirmed_s = self.clock()

    def doubt(self) -> None:
        """Hand nothing on until the store has answered again.

        Who asks then asks another reader.
        """
        with self.changed:
            self.away = True
            self.changed.notify_all()

    def left_s(self) -> float:
        """Return for how long the content is still current."""
        if self.away or self.confirmed_s is None:
            return 0.0
        return self.confirmed_s + MAX_AGE_S - self.clock()

    def has_news(self, start: int) -> bool:
        """Tell whether there is an answer now; call it under the lock."""
        return self.away or (self.begun and self.next > start)

    def wait_s(self, wait_s: float) -> float:
        """Return how long to wait for news, given how long is wanted."""
        return min(wait_s, self.left_s()) if self.begun else wait_s

    async def await_news(self, start: int, wait_s: float) -> None:
        """Wait for an answer, without a thread."""
        await self.changed.reached(
            lambda: self.has_news(start), self.wait_s(wait_s)
        )

    def read(
        self, start: int, wait_s: float
    ) -> records.KeyedBatch | MissReason:
        """Return records from an offset on, waiting for the first."""
        with self.changed:
            self.changed.wait_for(
                lambda: self.has_news(start), self.wait_s(wait_s)
            )
            if self.left_s() <= 0:
                return MissReason.STORE_UNAVAILABLE
            first = self.next - len(self.records)
            if not first <= start <= self.next:
                return MissReason.UNKNOWN
            found = tuple(itertools.islice(self.records, start - first, None))
            return records.KeyedBatch(found, self.next)
