"""Writes snapshots and verifies those of other agents."""

from __future__ import annotations

import dataclasses
import random
import threading
import time
import typing

import structlog

from briarseam.backing import log as logs
from briarseam.configuration import snapshots

if typing.TYPE_CHECKING:
    from briarseam.configuration import state as states

DAY_S = 86400.0
# The first attempt leaves three quarters of the retention for retries.
RENEWALS_PER_RETENTION = 4
log = structlog.get_logger("briarseam.configuration")


@dataclasses.dataclass(frozen=True)
class Options:
    """When snapshots are due.

    Attributes
    ----------
    every_records
        Maximum number of records after the last snapshot.
    max_age_s
        Maximum age of the last snapshot, in seconds.
    backoff_s
        The reader of rank n delays writing by n to n + 1 times this, in
        seconds, so that usually only one reader writes.
    check_s
        Time between two reads of the stream, in seconds.
    """

    every_records: int = 2000
    max_age_s: float = DAY_S / RENEWALS_PER_RETENTION
    backoff_s: float = 5.0
    check_s: float = 2.0


class Snapshotter:
    """A thread that keeps a recent complete snapshot in the log.

    Parameters
    ----------
    client
        The log.
    tree
        The local tree.
    key
        Key of the snapshots.
    rank
        Returns this agent's rank among the log's readers; ``None`` when it
        is not a reader and thus writes no snapshots.
    options
        When snapshots are due.
    """

    def __init__(
        self,
        client: logs.LogClient,
        tree: states.SharedTree,
        key: bytes,
        rank: typing.Callable[[], int | None],
        options: Options,
    ) -> None:
        self.client = client
        self.tree = tree
        self.key = key
        self.rank = rank
        self.options = options
        self.assembler = snapshots.Assembler(key)
        self.latest: snapshots.Snapshot | None = None
        self.read_offset: int | None = None
        self.due_at: float | None = None
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name="configuration-snapshots", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Stop after the current read or write."""
        self.stopping.set()

    def run(self) -> None:
        """Read the stream, and write snapshots when due, until stopped."""
        while not self.stopping.wait(self.options.check_s):
            rank = self.rank()
            if rank is None or not self.tree.loaded:
                self.due_at = None
                continue
            try:
                self.read_snapshots()
                self.write_when_due(rank)
            except logs.LogUnavailableError:
                self.due_at = None

    def read_snapshots(self) -> None:
        """Read the snapshots written after the last read."""
        if self.read_offset is None:
            self.latest, self.read_offset = snapshots.newest_complete(
                self.client, self.key
            )
            if self.latest is not None:
                self.tree.digest_differs(
                    self.latest.through, self.latest.digest
                )
        while True:
            batch = self.client.read(snapshots.STREAM, self.read_offset)
            for record in batch.records:
                self.read_offset = record.offset
                snapshot = self.assembler.add(record)
                if snapshot is not None:
                    self.handle_snapshot(snapshot)
            if self.read_offset + 1 >= batch.next:
                return

    def handle_snapshot(self, snapshot: snapshots.Snapshot) -> None:
        """Record a complete snapshot and compare its digest."""
        self.tree.counters.snapshots_read += 1
        self.tree.digest_differs(snapshot.through, snapshot.digest)
        if self.latest is None or snapshot.through >= self.latest.through:
            self.latest = snapshot

    def is_due(self) -> bool:
        """Return whether a new snapshot is due."""
        offset = self.tree.view.offset
        if self.tree.fold.stopped is not None or offset == 0:
            return False
        if self.latest is None:
            return True
        age_s = time.time() - self.latest.time_ms / 1000
        behind = offset - self.latest.through
        return (
            behind >= self.options.every_records
            or age_s >= self.options.max_age_s
        )

    def write_when_due(self, rank: int) -> None:
        """Write a due snapshot unless another agent writes it first."""
        if not self.is_due():
            self.due_at = None
            return
        now = time.monotonic()
        if self.due_at is None:
            backoff_s = self.options.backoff_s
            self.due_at = now + (rank + random.random()) * backoff_s
        if now < self.due_at:
            return
        self.due_at = None
        self.write()

    def write(self) -> None:
        """Write a snapshot of the current tree."""
        # Packed under the lock but appended without it: an append may take
        # seconds, during which followers must not be blocked.
        with self.tree.changed:
            chunks = snapshots.make_chunks(self.tree.fold)
        if snapshots.write(self.client, chunks, self.key):
            self.tree.counters.snapshots_written += 1
            log.info("snapshot_written", through=chunks[0].through)
