"""Records at the store of parts that crash endpoints.

Instances tell each other which parts are suspected, but all of them may end
at the same moment.  A part whose trial was lost is recorded at the store, so
that it does not crash as many endpoints again.
"""

from __future__ import annotations

import dataclasses
import queue
import threading
import time
import typing

import msgspec
import structlog

from briarseam import clocks
from briarseam import malformed
from briarseam.feeds import records
from briarseam.forwarding import trial_messages as messages

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.forwarding import loss_counts
    from briarseam.forwarding import trial_ledger

# Later, prompts with the part have most likely stopped to come.
MAX_AGE_MS = 600_000
# Pause between attempts to read the records at the start.
RETRY_S = 0.5
# An instance takes requests after this time even if the store has not
# answered; it hears of suspected parts from its peers then.
MAX_WAIT_S = 2.0
MAX_PENDING = 100
MS = 1000
log = structlog.get_logger("briarseam.forwarding")


class CrashRecord(msgspec.Struct, array_like=True):
    """A part that crashes endpoints, as encoded in the topic.

    Attributes
    ----------
    endpoints
        Ids of the endpoints at which it was lost.
    trials
        Its trials.
    written_ms
        Unix time in milliseconds.
    """

    endpoints: tuple[str, ...]
    trials: tuple[messages.TrialRow, ...]
    written_ms: int


class KeyedStore(typing.Protocol):
    """A store of keyed topics."""

    def newest(self, topic: str) -> records.KeyedBatch:
        """Return the newest record of each key of a topic."""

    def put(self, topic: str, key: str, value: bytes | None) -> None:
        """Write the newest record of a key."""


@dataclasses.dataclass(frozen=True)
class Write:
    """A record that is to be written, or deleted if there is none."""

    part: bytes
    record: CrashRecord | None


class CrashRecords:
    """Reads records at the start, and writes them in a thread.

    Parameters
    ----------
    store, topic
        Where they are stored.
    losses, ledger
        Losses and trials by part, to which records are applied.
    malformed_counter
        Counts records that can't be decoded.
    wall_clock
        Returns the Unix time in seconds.
    clock
        Seconds.

    Attributes
    ----------
    stored
        Keys of the parts that are known to have a record.
    """

    def __init__(
        self,
        store: KeyedStore,
        topic: str,
        losses: loss_counts.LossCounts,
        ledger: trial_ledger.TrialLedger,
        malformed_counter: malformed.Tally,
        wall_clock: typing.Callable[[], float] = time.time,
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.store = store
        self.topic = topic
        self.losses = losses
        self.ledger = ledger
        self.malformed_counter = malformed_counter
        self.wall_clock = wall_clock
        self.clock = clock
        self.created_s = clock()
        self.stored: set[bytes] = set()
        self.loaded = threading.Event()
        self.stopping = threading.Event()
        self.writes: queue.Queue[Write | None] = queue.Queue(MAX_PENDING)
        self.thread = threading.Thread(
            target=self.run, name="crash-records", daemon=True
        )

    def start(self) -> None:
        """Start to read, and then to write."""
        self.thread.start()

    def stop(self) -> None:
        """Stop soon."""
        self.stopping.set()
        self.enqueue(None)

    def is_settled(self) -> bool:
        """Return whether requests may be taken."""
        waited_s = self.clock() - self.created_s
        return self.loaded.is_set() or waited_s >= MAX_WAIT_S

    def save(self, parts: collections.abc.Iterable[bytes]) -> None:
        """Record parts whose trial was just lost."""
        for part in parts:
            endpoints = tuple(sorted(self.losses.endpoints_of(part)))
            trials = self.ledger.rows(frozenset((part,)))
            record = CrashRecord(endpoints, trials, self.wall_ms())
            self.enqueue(Write(part, record))

    def remove(self, parts: collections.abc.Iterable[bytes]) -> None:
        """Remove the records of parts that were answered."""
        for part in self.stored.intersection(parts):
            self.enqueue(Write(part, None))

    def wall_ms(self) -> int:
        """Return the Unix time in milliseconds."""
        return round(self.wall_clock() * MS)

    def enqueue(self, write: Write | None) -> None:
        """Have the thread write a record, or notice the stop."""
        try:
            self.writes.put_nowait(write)
        except queue.Full:
            log.warning("crash_record_not_written", detail="too many")

    def run(self) -> None:
        """Read the records, then write until stopped."""
        while not self.load() and not self.stopping.wait(RETRY_S):
            pass
        while (write := self.writes.get()) is not None:
            self.write(write)

    def load(self) -> bool:
        """Read and apply the records; return whether that succeeded."""
        try:
            batch = self.store.newest(self.topic)
        except records.StoreUnavailableError as error:
            log.info("crash_records_not_read", detail=str(error))
            return False
        for row in batch.records:
            try:
                self.apply(row)
            except (ValueError, msgspec.MsgspecError) as error:
                self.malformed_counter.note(
                    malformed.Kind.STORE_RECORD,
                    f"{self.topic}/{row.key}",
                    error,
                )
        self.loaded.set()
        return True

    def apply(self, row: records.KeyedRecord) -> None:
        """Apply a record, or remove it if it is old.

        Raises
        ------
        ValueError
            If it can't be decoded.
        """
        if row.value is None:
            return
        part = bytes.fromhex(row.key)
        record = msgspec.msgpack.decode(row.value, type=CrashRecord)
        self.stored.add(part)
        if abs(self.wall_ms() - record.written_ms) > MAX_AGE_MS:
            self.remove((part,))
            return
        for endpoint in record.endpoints:
            self.losses.add_loss(part, endpoint)
        self.ledger.apply(record.trials)
        log.info(
            "crash_record_read",
            part=row.key,
            endpoints=list(record.endpoints),
            trials=len(record.trials),
        )

    def write(self, write: Write) -> None:
        """Write or delete a record."""
        value = None
        if write.record is not None:
            self.stored.add(write.part)
            value = msgspec.msgpack.encode(write.record)
        else:
            self.stored.discard(write.part)
        try:
            self.store.put(self.topic, write.part.hex(), value)
        except records.StoreUnavailableError as error:
            # Peers know the part as well; the next lost trial writes again.
            log.warning("crash_record_not_written", detail=str(error))
