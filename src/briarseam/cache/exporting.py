"""Exports: engines write pieces to the stores in the background.

One thread per store starts the writes, the chain that saves most prefill per
byte first, within the budget that imports leave on the link.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import threading
import typing

from briarseam.cache import index as indexes
from briarseam.cache import names as block_names
from briarseam.cache import sharing as index_sharing
from briarseam.cache import sizes as block_sizes
from briarseam.cache import state
from briarseam.cache import stores as store_state
from briarseam.endpoints import engine_kv
from briarseam.endpoints import store as store_client

MAX_QUEUED = 1000
MAX_WAIT_S = 60.0
POLL_S = 0.2
WAIT_POLL_S = 0.02
EXPORT_TIMEOUT_S = 30.0
DEFAULT_BLOCK_BYTES = 65536


@dataclasses.dataclass(frozen=True)
class Piece:
    """One piece to export.

    Attributes
    ----------
    digest
        Digest by which the engine identifies it.
    key
        Key in the index.
    depth
        Number of pieces before it in the prompt.
    """

    digest: bytes
    key: bytes
    depth: int


@dataclasses.dataclass(frozen=True)
class Job:
    """Pieces of one chain that one engine has in memory.

    Attributes
    ----------
    engine
        ``ip:port``.
    model, version
        With which they were computed.
    group, variant
        Hashes, as in the names of blocks.
    pieces
        In order of the prompt.
    value
        Retention value per byte.
    queued_at
        Time at which they were queued.
    """

    engine: str
    model: str
    version: str
    group: bytes
    variant: bytes
    pieces: tuple[Piece, ...]
    value: float
    queued_at: float


class ExportStoppedError(Exception):
    """The rest of a job can't be exported; the message is the reason."""


class Queue:
    """Jobs for one store, by descending value."""

    def __init__(self) -> None:
        self.condition = threading.Condition()
        self.jobs: list[tuple[float, int, Job]] = []
        self.order = itertools.count()

    def put(self, job: Job) -> Job | None:
        """Queue a job; return the job dropped if the queue is full."""
        with self.condition:
            entry = (-job.value, next(self.order), job)
            heapq.heappush(self.jobs, entry)
            self.condition.notify()
            if len(self.jobs) <= MAX_QUEUED:
                return None
            last = max(self.jobs)
            self.jobs.remove(last)
            heapq.heapify(self.jobs)
            return last[2]

    def get(self, timeout_s: float) -> Job | None:
        """Return the job of highest value, ``None`` if there is none."""
        with self.condition:
            if not self.jobs:
                self.condition.wait(timeout_s)
            return heapq.heappop(self.jobs)[2] if self.jobs else None


@dataclasses.dataclass(frozen=True)
class CacheContext:
    """Objects shared by the parts of the kept cache."""

    index: indexes.BlockIndex
    names: block_names.Names
    sizes: block_sizes.Sizes
    sharing: index_sharing.Sharing
    stores: store_state.Stores
    engine: engine_kv.KvClient
    client: store_client.StoreClient
    clock: typing.Callable[[], float]
    metrics: state.Metrics


class Exporter:
    """Exports to one store.

    Parameters
    ----------
    store
        The store.
    context
        Objects shared by the parts of the kept cache.
    stopping
        Set to stop the thread.
    """

    def __init__(
        self,
        store: store_state.Store,
        context: CacheContext,
        stopping: threading.Event,
    ) -> None:
        self.store = store
        self.context = context
        self.stopping = stopping
        self.queue = Queue()
        self.queued_keys: set[bytes] = set()
        self.lock = threading.Lock()
        self.thread = threading.Thread(
            target=self.work, name=f"export-{store.name}", daemon=True
        )

    def submit(self, job: Job) -> None:
        """Queue those pieces of a job that are not yet queued."""
        with self.lock:
            pieces = tuple(
                piece
                for piece in job.pieces
                if piece.key not in self.queued_keys
            )
            if not pieces:
                return
            self.queued_keys.update(piece.key for piece in pieces)
        dropped = self.queue.put(dataclasses.replace(job, pieces=pieces))
        if dropped is not None:
            self.context.metrics.count("exports_dropped", len(dropped.pieces))
            self.release(dropped)

    def release(self, job: Job) -> None:
        """Allow the pieces of a job to be queued again."""
        with self.lock:
            self.queued_keys.difference_update(
                piece.key for piece in job.pieces
            )

    def running(self) -> bool:
        """Return whether the thread should continue."""
        current = self.context.stores.is_current(self.store)
        return current and not self.stopping.is_set()

    def work(self) -> None:
        """Export until stopped."""
        while self.running():
            job = self.queue.get(POLL_S)
            if job is not None:
                self.run_job(job)

    def run_job(self, job: Job) -> None:
        """Export a job's pieces until one can't be exported."""
        try:
            for piece in job.pieces:
                self.export_piece(job, piece)
        except ExportStoppedError as reason:
            self.context.metrics.count(f"exports_{reason}")
        finally:
            self.release(job)

    def export_piece(self, job: Job, piece: Piece) -> None:
        """Export one piece and index it once it is confirmed."""
        context = self.context
        expected_size = context.sizes.expected(job.variant)
        size = expected_size or DEFAULT_BLOCK_BYTES
        self.wait_for(lambda: self.store.has_room(expected_size or 0), job)
        self.wait_for(lambda: self.store.link.reserve_idle(size), job)
        if not self.store.alive:
            raise ExportStoppedError("refused")
        name = context.names.new_name(
            job.group, job.variant, piece.depth, piece.key
        )
        packed = context.names.pack(name)
        # Guard: the store lists a block before its writer has confirmed
        # it.  If the sweep adopted it, it would be in use when the
        # confirmation fails, so the sweep skips blocks being written.
        context.index.in_flight_writes.add(packed)
        try:
            self.write_piece(job, piece, packed, size)
        finally:
            context.index.in_flight_writes.discard(packed)

    def write_piece(
        self, job: Job, piece: Piece, packed: bytes, size: int
    ) -> None:
        """Have the engine write one piece, then confirm and index it."""
        boot_id = self.store.boot_id
        match self.transfer(job, piece, packed, size):
            case engine_kv.NotCached():
                raise ExportStoppedError("not_cached")
            case engine_kv.ExportFailed():
                self.discard(packed, size, boot_id)
                raise ExportStoppedError("failed")
            case engine_kv.Exported() as exported:
                block = self.confirm(packed, exported)
        if block is None:
            self.discard(packed, size, boot_id)
            raise ExportStoppedError("unconfirmed")
        self.add_to_index(block)

    def wait_for(self, condition: typing.Callable[[], bool], job: Job) -> None:
        """Wait until a condition holds, such as room in the store."""
        while not condition():
            too_old = self.context.clock() - job.queued_at > MAX_WAIT_S
            if too_old or not self.store.alive or not self.running():
                raise ExportStoppedError("late")
            self.stopping.wait(WAIT_POLL_S)

    def transfer(
        self, job: Job, piece: Piece, packed: bytes, size: int
    ) -> engine_kv.ExportOutcome:
        """Have the engine write the piece, and record the transfer."""
        link = self.store.link
        transfer = link.begin(size)
        moved_bytes = 0
        try:
            outcome = self.context.engine.export(
                job.engine,
                job.model,
                job.version,
                piece.digest,
                self.store.address,
                self.context.names.format(packed),
                EXPORT_TIMEOUT_S,
            )
            if isinstance(outcome, engine_kv.Exported):
                moved_bytes = outcome.bytes
            return outcome
        finally:
            link.end(transfer, moved_bytes)

    def confirm(
        self, packed: bytes, exported: engine_kv.Exported
    ) -> state.Block | None:
        """Return the block if the store holds all of it.

        Guard: a store or engine may crash during the write, or the store
        may keep only a part and still report success; a request that read
        such a block would continue from incomplete KV.  The block is
        indexed only if the store lists it with the length and checksum
        that the engine reported.
        """
        text = self.context.names.format(packed)
        try:
            page = self.context.client.listing(
                self.store.address, text[:-1], limit=1
            )
        except store_client.StoreUnavailableError:
            return None
        if not page.blocks or page.blocks[0].name != text:
            return None
        listed = page.blocks[0]
        complete = listed.bytes == exported.bytes
        if not complete or listed.checksum != exported.checksum:
            return None
        checksum = bytes.fromhex(exported.checksum)
        return state.Block(
            packed, exported.bytes, checksum, self.store.name, page.boot_id
        )

    def discard(self, packed: bytes, size: int, boot_id: str) -> None:
        """Schedule the deletion of a possibly incomplete block."""
        block = state.Block(packed, size, b"", self.store.name, boot_id)
        self.context.index.free(block, self.context.clock())

    def add_to_index(self, block: state.Block) -> None:
        """Index a confirmed block and notify the other index holders."""
        context = self.context
        context.sizes.record(block.variant, block.size)
        is_owner = context.sharing.holders(block.group).is_owner
        valid_until = context.sharing.valid_until(is_owner)
        self.store.used += block.size
        added = context.index.add(block, context.clock(), valid_until)
        if not added and not context.index.contains(block):
            context.index.free(block, context.clock())
            return
        context.metrics.count("exported_blocks")
        context.metrics.count("exported_bytes", block.size)
        context.sharing.announce_added(block)
