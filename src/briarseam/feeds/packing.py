"""Encoding of records in messages between instances."""

from __future__ import annotations

import functools
import math
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
UNKNOWN_AGE_MS = -1
MS = 1000


class UnpackError(Exception):
    """A received value can't be decompressed."""


def pack_batch(
    batch: records.KeyedBatch, unpacks: bool, now_s: float
) -> messages.RecordsTold | None:
    """Return the message that carries a batch of records.

    Parameters
    ----------
    batch
        The records.
    unpacks
        Whether the receiving instance can decompress values.
    now_s
        The time by the boot clock.

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
        True,
        tuple(rows),
        batch.next,
        packed=tuple(packed),
        age_ms=age_ms(batch, now_s),
    )


def age_ms(batch: records.KeyedBatch, now_s: float) -> int:
    """Return how long ago a batch was complete; negative if not known."""
    if batch.complete_until_s == records.NEVER_S:
        return UNKNOWN_AGE_MS
    return max(0, math.ceil((now_s - batch.complete_until_s) * MS))


def unpack_batch(
    message: messages.RecordsTold, asked_s: float
) -> records.KeyedBatch:
    """Return the records of a message.

    Parameters
    ----------
    message
        The message.
    asked_s
        When it was asked for, by the boot clock.

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
    # The reader may have answered at once.
    complete_until_s = (
        records.NEVER_S
        if message.age_ms < 0
        else asked_s - message.age_ms / MS
    )
    return records.KeyedBatch(unpacked, message.next, complete_until_s)


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
