"""Snapshots on the stream ``configuration-snapshots``.

The log keeps records for a limited time, so a new snapshot is written long
before retention removes the last one.  It consists of chunks, each with its
own MAC.  Chunks of several writers may be interleaved; duplicate snapshots
are harmless.
"""

from __future__ import annotations

import dataclasses
import hashlib
import hmac
import secrets
import typing
import zlib

import msgpack
import structlog

from briarseam.backing import log as logs
from briarseam.configuration import fold as folds

STREAM = "configuration-snapshots"
VERSION = 1
CHUNK_BYTES = 256 * 1024
MAX_STATE_BYTES = 256 * 1024 * 1024
LABEL = b"briarseam configuration snapshot"
ID_BYTES = 8
READ_WINDOW = 32
log = structlog.get_logger("briarseam.configuration")


class SnapshotError(ValueError):
    """Bytes that are not an authentic chunk, or an invalid state."""


@dataclasses.dataclass(frozen=True)
class Chunk:
    """One record of a snapshot.

    Attributes
    ----------
    id
        Random, the same in all chunks of a snapshot.
    through
        Offset of the last change in the snapshot.
    digest
        Digest of the fold.
    count
        Number of chunks.
    index
        Index of this chunk, from 0.
    data
        This chunk's part of the compressed state.
    """

    id: str
    through: int
    digest: str
    count: int
    index: int
    data: bytes


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """A snapshot whose chunks have all been read.

    Attributes
    ----------
    id
        Id of the snapshot.
    through
        Offset of the last change in the snapshot.
    digest
        Digest of the writer's fold.
    time_ms
        Time of the first chunk by the log's clock, in ms since the epoch.
    state
        The compressed state.
    """

    id: str
    through: int
    digest: str
    time_ms: int
    state: bytes


def derive_key(wire_key: bytes) -> bytes:
    """Return the snapshots' key, derived from the agents' shared key."""
    return hmac.digest(wire_key, LABEL, hashlib.sha256)


def pack_state(fold: folds.Fold) -> bytes:
    """Return the compressed state of a fold."""
    return zlib.compress(folds.dump(fold), 6)


def unpack_state(state: bytes, through: int, digest: str) -> folds.Fold:
    """Return the fold of a compressed state.

    Raises
    ------
    SnapshotError
        When the state does not match its offset and digest.
    """
    try:
        packed = zlib.decompressobj().decompress(state, MAX_STATE_BYTES)
        fold = folds.load(packed)
    except (ValueError, zlib.error) as error:
        raise SnapshotError(f"not a state: {error}") from error
    if fold.offset != through or fold.digest != digest:
        raise SnapshotError("the state does not match its digest")
    return fold


def make_chunks(fold: folds.Fold) -> tuple[Chunk, ...]:
    """Return the chunks of a fold's snapshot."""
    state = pack_state(fold)
    parts = [
        state[start : start + CHUNK_BYTES]
        for start in range(0, len(state), CHUNK_BYTES)
    ]
    snapshot_id = secrets.token_hex(ID_BYTES)
    return tuple(
        Chunk(snapshot_id, fold.offset, fold.digest, len(parts), index, data)
        for index, data in enumerate(parts)
    )


def encode_chunk(chunk: Chunk, key: bytes) -> bytes:
    """Return a chunk's record."""
    body = msgpack.packb(dataclasses.astuple(chunk))
    mac = hmac.digest(key, LABEL + body, hashlib.sha256)
    return typing.cast("bytes", msgpack.packb([VERSION, body, mac]))


def write(
    client: logs.LogClient, chunks: typing.Iterable[Chunk], key: bytes
) -> bool:
    """Append a snapshot's chunks; stop at the first failure.

    Readers ignore the chunks of an incomplete snapshot; the next attempt
    writes a new snapshot.

    Returns
    -------
    bool
        Whether all chunks were appended.
    """
    return all(
        isinstance(
            client.append(STREAM, encode_chunk(chunk, key)), logs.Appended
        )
        for chunk in chunks
    )


def decode_chunk(data: bytes, key: bytes) -> Chunk:
    """Return the chunk of a record.

    Parameters
    ----------
    data
        The record.
    key
        Key of the MAC.

    Raises
    ------
    SnapshotError
        When the record is not an authentic chunk.
    """
    try:
        version, body, mac = msgpack.unpackb(data, raw=False)
        if version != VERSION:
            raise SnapshotError(f"unsupported snapshot version {version}")
        expected = hmac.digest(key, LABEL + body, hashlib.sha256)
        if not hmac.compare_digest(expected, mac):
            raise SnapshotError("the chunk is not authentic")
        return Chunk(*msgpack.unpackb(body, raw=False))
    except SnapshotError:
        raise
    except (ValueError, TypeError) as error:
        raise SnapshotError(f"not a chunk: {error}") from error


class Assembler:
    """Assembles chunks; returns each snapshot once, when it is complete."""

    def __init__(self, key: bytes) -> None:
        self.key = key
        self.parts: dict[str, dict[int, Chunk]] = {}
        self.times_ms: dict[str, int] = {}
        self.bad_chunks = 0

    def add(self, record: logs.Record) -> Snapshot | None:
        """Add one record; return the snapshot that it completes, if any."""
        try:
            chunk = decode_chunk(record.data, self.key)
        except SnapshotError:
            self.bad_chunks += 1
            return None
        parts = self.parts.setdefault(chunk.id, {})
        parts[chunk.index] = chunk
        self.times_ms.setdefault(chunk.id, record.time_ms)
        if len(parts) < chunk.count:
            return None
        del self.parts[chunk.id]
        time_ms = self.times_ms.pop(chunk.id)
        state = b"".join(parts[index].data for index in sorted(parts))
        # A writer that fails leaves an incomplete snapshot; one of an older
        # state is no longer needed.
        self.drop_older(chunk.through)
        return Snapshot(chunk.id, chunk.through, chunk.digest, time_ms, state)

    def drop_older(self, through: int) -> None:
        """Drop incomplete snapshots of an older state."""
        for snapshot_id, parts in list(self.parts.items()):
            if next(iter(parts.values())).through < through:
                del self.parts[snapshot_id]
                self.times_ms.pop(snapshot_id, None)


def newest_complete(
    client: logs.LogClient, key: bytes
) -> tuple[Snapshot | None, int]:
    """Return the newest complete snapshot and the end of its stream.

    Searches backwards in windows that double in size, since the stream may
    hold many snapshots and only the newest is needed.

    Raises
    ------
    logs.LogUnavailableError
        When the log cannot be read.
    """
    probe = client.read(STREAM, 0, limit=1)
    end = probe.next - 1
    window = READ_WINDOW
    while True:
        after = max(end - window, probe.first - 1, 0)
        snapshot = newest_after(client, key, after, end)
        if snapshot is not None or after <= max(probe.first - 1, 0):
            return snapshot, end
        window *= 2


def newest_after(
    client: logs.LogClient, key: bytes, after: int, end: int
) -> Snapshot | None:
    """Return the newest complete snapshot in ``(after, end]``."""
    assembler = Assembler(key)
    newest: Snapshot | None = None
    while after < end:
        batch = client.read(STREAM, after, limit=READ_WINDOW)
        if not batch.records:
            break
        for record in batch.records:
            snapshot = assembler.add(record)
            if snapshot and (
                newest is None or snapshot.through >= newest.through
            ):
                newest = snapshot
        after = batch.records[-1].offset
    return newest


def oldest_complete(
    client: logs.LogClient, key: bytes, through: int
) -> Snapshot | None:
    """Return the oldest complete snapshot that reaches ``through``.

    Raises
    ------
    logs.LogUnavailableError
        When the log cannot be read.
    """
    assembler = Assembler(key)
    after = 0
    while True:
        batch = client.read(STREAM, after, limit=READ_WINDOW)
        if not batch.records:
            return None
        for record in batch.records:
            snapshot = assembler.add(record)
            if snapshot is not None and snapshot.through >= through:
                return snapshot
        after = batch.records[-1].offset
