"""Encoding of records in messages between instances."""

from __future__ import annotations

import functools
import zlib

from briarseam.feeds import records
from briarseam.feeds import shared_messages as messages

# Values from this size on are compressed; a configuration shrinks to a fifth.
COMPRESS_MIN_BYTES = 2000
COMPRESSION_LEVEL = 1
# Each instance reads larger batches from the store: thirty copies would
# saturate the reader's network link.
MAX_MESSAGE_BYTES = 20_000
# Limit of a decompressed value.
MAX_UNPACKED_BYTES = 16 * 1024 * 1024
COMPRESSED_CACHE_SIZE = 4


class UnpackError(Exception):
    """A received value can't be decompressed."""


def pack_batch(
    batch: records.KeyedBatch, unpacks: bool
) -> messages.RecordsTold | None:
    """Return the message that carries a batch of records.

    Parameters
    ----------
    batch
        The records.
    unpacks
        Whether the receiving instance can decompress values.

    Returns
    -------
    RecordsTold or None
        ``None`` if the records are too large for a message.
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
        If a value can't be decompressed.
    """
    packed = frozenset(message.packed)
    unpacked = tuple(
        records.KeyedRecord(
            key,
            decompress(value) if value and number in packed else value,
        )
        for number, (key, value) in enumerate(message.records)
    )
    return records.KeyedBatch(unpacked, message.next)


@functools.lru_cache(maxsize=COMPRESSED_CACHE_SIZE)
def compress(value: bytes) -> bytes:
    """Compress a value; cached, since forty instances get the same one."""
    return zlib.compress(value, COMPRESSION_LEVEL)


def decompress(value: bytes) -> bytes:
    """Decompress a value.

    Raises
    ------
    UnpackError
        If the value is damaged, truncated or too large.
    """
    unpacker = zlib.decompressobj()
    try:
        result = unpacker.decompress(value, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise UnpackError(str(error)) from error
    if not unpacker.eof:
        raise UnpackError("the value is truncated or too large")
    return result
