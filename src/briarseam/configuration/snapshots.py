"""Snapshots on the stream ``configuration-snapshots``.

The log keeps records for a limited time, so the tree is written again in
chunks, each under its own MAC, long before the last snapshot goes.  Several
writers' chunks may lie between one another; doubles are harmless.
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
    """Bytes that are not an authentic chunk, or chunks that do not fit."""


@dataclasses.dataclass(frozen=True)
class Chunk:
    """One record of a snapshot.

    Attributes
    ----------
    id
        Random, the same in all chunks of one snapshot.
    through
        Offset of the last change in it.
    digest
        Digest of the fold.
    count
        Number of chunks.
    index
        Which one this is, from 0.
    data
        Its part of the compressed state.
    """

    id: str
    through: int
    digest: str
    count: int
    index: int
    data: bytes


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """All chunks of one snapshot have been read.

    Attributes
    ----------
    id
        Its id.
    through
        Offset of the last change in it.
    digest
        Digest of the fold, as its writer saw it.
    time_ms
        The log's clock at its first chunk.
    state
        The compressed state.
    """

    id: str
    through: int
    digest: str
    time_ms: int
    state: bytes


def derive_key(wire_key: bytes) -> bytes:
    """Return the snapshots' key, made from the agents' shared key."""
    return hmac.digest(wire_key, LABEL, hashlib.sha256)


def pack_state(fold: folds.Fold) -> bytes:
    """Return the compressed state of a fold."""
    return zlib.compress(folds.dump(fold), 6)


def unpack_state(state: bytes, through: int, digest: str) -> folds.Fold:
    """Return the fold of a compressed state.

    Raises
    ------
    SnapshotError
        When the state is not what its offset and digest say.
    """
    try:
        packed = zlib.decompressobj().decompress(state, MAX_STATE_BYTES)
        fold = folds.load(packed)
    except (ValueError, zlib.error) as error:
        raise SnapshotError(f"not a state: {error}") from error
    if fold.offset != through or fold.digest != digest:
        raise SnapshotError("the state does not have its digest")
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
    """Append a snapshot's chunks; give up at the first that fails.

    The chunks before it then complete nothing and are passed over by
    readers; a later try writes a new snapshot.

    Returns
    -------
    bool
        Whether the snapshot is whole on the log.
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
        Checks the MAC.

    Raises
    ------
    SnapshotError
        When the record is no authentic chunk.
    """
    try:
        version, body, mac = msgpack.unpackb(data, raw=False)
        if version != VERSION:
            raise SnapshotError(f"snapshot version {version}")
        expected = hmac.digest(key, LABEL + body, hashlib.sha256)
        if not hmac.compare_digest(expected, mac):
            raise SnapshotError("the chunk is not authentic")
        return Chunk(*msgpack.unpackb(body, raw=False))
    except SnapshotError:
        raise
    except (ValueError, TypeError) as error:
        raise SnapshotError(f"not a chunk: {error}") from error


class Assembler:
    """Puts chunks together; gives each snapshot out once, when whole."""

    def __init__(self, key: bytes) -> None:
        self.key = key
        self.parts: dict[str, dict[int, Chunk]] = {}
        self.times_ms: dict[str, int] = {}
        self.bad_chunks = 0

    def add(self, record: logs.Record) -> Snapshot | None:
        """Take one record; return the snapshot that it completes."""
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
        # A writer that died part way leaves chunks that nothing completes;
        # those of an older state are of no use to anyone now.
        self.drop_older(chunk.through)
        return Snapshot(chunk.id, chunk.through, chunk.digest, time_ms, state)

    def drop_older(self, through: int) -> None:
        """Forget parts of snapshots of an older state."""
        for snapshot_id, parts in list(self.parts.items()):
            if next(iter(parts.values())).through < through:
                del self.parts[snapshot_id]
                self.times_ms.pop(snapshot_id, None)


def newest_complete(
    client: logs.LogClient, key: bytes
) -> tuple[Snapshot | None, int]:
    """Return the newest whole snapshot and the end of its stream.

    Reads backwards in windows that double, since the newest is all that is
    wanted and the stream may hold many.

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
        found = newest_after(client, key, after, end)
        if found is not None or after <= max(probe.first - 1, 0):
            return found, end
        window *= 2


def newest_after(
    client: logs.LogClient, key: bytes, after: int, end: int
) -> Snapshot | None:
    """Return the newest whole snapshot in ``(after, end]``."""
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
    """Return the oldest whole snapshot that reaches ``through``.

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
