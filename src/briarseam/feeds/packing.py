"""Records as one instance hands them on to another."""

from __future__ import annotations

import functools
import zlib

from briarseam.feeds import records
from briarseam.feeds import shared_messages as messages

# Larger values are compressed: a configuration becomes a fifth.
COMPRESS_MIN_BYTES = 2000
COMPRESSION_LEVEL = 1
# Of what is handed on at once.  Larger batches are read from the store by
# each instance: thirty copies would hold up the link of the reader.
MAX_MESSAGE_BYTES = 20_000
# Largest value that is unpacked.
MAX_UNPACKED_BYTES = 16 * 1024 * 1024
COMPRESSED_CACHE_SIZE = 4


class UnpackError(Exception):
    """A value that was handed on can't be unpacked."""


def pack_batch(
    batch: records.KeyedBatch, unpacks: bool
) -> messages.RecordsTold | None:
    """Return the message that hands records on.

    Parameters
    ----------
    batch
        The records.
    unpacks
        Whether the other instance can unpack values.

    Returns
    -------
    RecordsTold or None
        ``None`` if they are too large to be handed on.
    """
    packed: list[int] = []
    rows: list[tuple[str, bytes | None]] = []
    for record in batch.records:
        value = record.value
        if unpacks and value is not None and len(value) >= COMPRESS_MIN_BYTES:
            packed.append(len(rows))
            value = compress(value)
        rows.append((record.key, value))
    if sum(len(value or b"") for _key, value in rows) > MAX_MESSAGE_BYTES:
        return None
    return messages.RecordsTold(
        True, tuple(rows), batch.next, packed=tuple(packed)
    )


def unpack_batch(message: messages.RecordsTold) -> records.KeyedBatch:
    """Return the records of a message.

    Raises
    ------
    UnpackError
        If a value can't be unpacked.
    """
    packed = frozenset(message.packed)
    found = tuple(
        records.KeyedRecord(
            key,
            decompress(value) if value and number in packed else value,
        )
        for number, (key, value) in enumerate(message.records)
    )
    return records.KeyedBatch(found, message.next)


@functools.lru_cache(maxsize=COMPRESSED_CACHE_SIZE)
def compress(value: bytes) -> bytes:
    """Return a value compressed; the same one goes to forty instances."""
    return zlib.compress(value, COMPRESSION_LEVEL)


def decompress(value: bytes) -> bytes:
    """Return a value that was compressed."""
    unpacker = zlib.decompressobj()
    try:
        found = unpacker.decompress(value, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise UnpackError(str(error)) from error
    if not unpacker.eof:
        raise UnpackError("the value is cut off, or too large")
    return found
