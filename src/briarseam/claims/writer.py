"""Group commit: the appends of one claim stream.

Claims that arrive during an append are queued, and the next append takes
them all.  An idle stream appends at once, a busy one at most every
``interval_s``, so as not to exceed the few hundred appends per second that
the log allows.
"""

from __future__ import annotations

import collections
import dataclasses
import threading
import time
import typing

from briarseam.backing import log as platform_log
from briarseam.claims import records

MAX_ITEMS = 2000
# The log accepts 1 MiB per record; an item beyond this size starts the next.
MAX_BYTES = 768 * 1024
ITEM_OVERHEAD_BYTES = 192
MAX_RESOLVE_RECORDS = 2000
STOP_JOIN_S = 5.0


@dataclasses.dataclass(frozen=True)
class Failure:
    """Why items were not appended.

    Attributes
    ----------
    detail
        One sentence.
    retry_after_s
        Seconds after which an append may succeed.
    dangling
        Whether they may be in the stream nevertheless, now or later.
    """

    detail: str
    retry_after_s: float
    dangling: bool


@dataclasses.dataclass(frozen=True)
class Stream:
    """The stream that a writer appends to.

    Attributes
    ----------
    log
        The log service.
    name
        Name of the stream.
    shards
        Number of streams that the keys are distributed over.
    writer
        Agent and incarnation, written to each batch.
    """

    log: platform_log.LogClient
    name: str
    shards: int
    writer: str


class ShardView(typing.Protocol):
    """What a writer needs from its shard."""

    def position(self) -> int:
        """Return the last offset that was read from the stream."""

    def is_awaited(self, item: records.Item) -> bool:
        """Return whether a thread still waits for an item."""

    def fail(
        self, items: typing.Sequence[records.Item], failure: Failure
    ) -> None:
        """End the waits for items that were not appended."""


class Writer:
    """Thread that appends to one claim stream.

    Parameters
    ----------
    stream
        The stream to append to.
    shard
        The shard, which reads the stream back.
    interval_s
        Minimum time between the starts of two appends, in seconds.
    """

    def __init__(
        self, stream: Stream, shard: ShardView, interval_s: float
    ) -> None:
        self.stream = stream
        self.shard = shard
        self.interval_s = interval_s
        self.queue: collections.deque[records.Item] = collections.deque()
        self.changed = threading.Condition()
        self.stopping = False
        self.sequence = 0
        self.appends = 0
        self.items = 0
        self.next_append_at = 0.0
        self.thread = threading.Thread(
            target=self.run, name=f"append-{stream.name}", daemon=True
        )

    def start(self) -> None:
        """Start appending."""
        self.thread.start()

    def stop(self) -> None:
        """Append queued items, then stop."""
        with self.changed:
            self.stopping = True
            self.changed.notify_all()
        self.thread.join(STOP_JOIN_S)

    def submit(self, items: typing.Iterable[records.Item]) -> None:
        """Queue items for the next append."""
        with self.changed:
            self.queue.extend(items)
            self.changed.notify_all()

    def run(self) -> None:
        """Append until stopped."""
        while True:
            items = self.next_items()
            if not items:
                return
            self.commit(items)

    def next_items(self) -> list[records.Item]:
        """Wait for items and return those of one record; none at the end."""
        with self.changed:
            while not self.queue and not self.stopping:
                self.changed.wait()
            while not self.stopping and self.pause_s() > 0:
                self.changed.wait(self.pause_s())
            return pop_record_items(self.queue)

    def pause_s(self) -> float:
        """Return the seconds until the next append may start; may be < 0."""
        return self.next_append_at - time.monotonic()

    def commit(self, items: list[records.Item]) -> None:
        """Append one record and handle the result of the append."""
        self.next_append_at = time.monotonic() + self.interval_s
        self.sequence += 1
        batch = records.Batch(
            records.VERSION,
            self.stream.shards,
            self.stream.writer,
            self.sequence,
            tuple(items),
        )
        data = records.encode(batch)
        self.appends += 1
        self.items += len(items)
        match self.stream.log.append(self.stream.name, data):
            case platform_log.Appended():
                # The claimants are not answered yet: only the fold, which
                # reads the stream back, knows which claim came first.
                return
            case platform_log.AppendRefused(detail, retry_after_s, True):
                self.requeue_throttled(items, retry_after_s)
            case platform_log.AppendRefused(detail, retry_after_s):
                self.shard.fail(items, Failure(detail, retry_after_s, False))
            case platform_log.AppendUnknown(detail):
                self.resolve_unknown(items, data, detail)

    def requeue_throttled(
        self, items: list[records.Item], seconds: float
    ) -> None:
        """Queue throttled items again for the next append."""
        self.next_append_at = time.monotonic() + seconds
        self.requeue(items)

    def requeue(self, items: list[records.Item]) -> None:
        """Queue awaited items again, in front of the others."""
        awaited = [item for item in items if self.shard.is_awaited(item)]
        with self.changed:
            self.queue.extendleft(reversed(awaited))

    def resolve_unknown(
        self, items: list[records.Item], data: bytes, detail: str
    ) -> None:
        """Read the stream to find out whether an append took effect.

        The answer to an append can be lost after the append took effect.
        If the record is in the stream, the fold settles its items.  If not,
        they are appended again; should the first append still arrive, the
        fold treats both as one claim of the same attempt.  If the log is
        unreadable the outcome is unknown, and the waits end at once.
        """
        try:
            batch = self.stream.log.read(
                self.stream.name, self.shard.position(), 0, MAX_RESOLVE_RECORDS
            )
        except platform_log.LogUnavailableError as error:
            failure = Failure(
                f"{detail}; {error}",
                platform_log.DEFAULT_RETRY_AFTER_S,
                True,
            )
            self.shard.fail(items, failure)
            return
        if any(record.data == data for record in batch.records):
            return
        self.requeue(items)


def pop_record_items(
    queue: collections.deque[records.Item],
) -> list[records.Item]:
    """Remove as many items from the queue as fit into one record."""
    items: list[records.Item] = []
    size = 0
    while queue and len(items) < MAX_ITEMS:
        size += item_bytes(queue[0])
        if items and size > MAX_BYTES:
            break
        items.append(queue.popleft())
    return items


def item_bytes(item: records.Item) -> int:
    """Return an upper bound on an item's size in a record, in bytes."""
    text = len(item.organisation) + len(item.key) + len(item.attempt)
    match item:
        case records.Done():
            text += len(item.outcome.body) + len(item.outcome.answer_id)
        case records.Claim():
            text += len(item.holder) + len(item.incarnation)
            text += len(item.body_digest)
    return text + ITEM_OVERHEAD_BYTES
