"""Framing of records in request and response bodies of the metadata store."""

from __future__ import annotations

import struct
import typing

from briarseam import malformed
from briarseam.feeds import records
from briarseam.platform import decoding

if typing.TYPE_CHECKING:
    import collections.abc

LENGTH = struct.Struct(">I")
# End and first offset of the topic; precede the records in a read's body.
POSITIONS = struct.Struct(">QQ")


def join_records(items: collections.abc.Iterable[bytes]) -> bytes:
    """Return the body of an append: each record, preceded by its length."""
    return b"".join(LENGTH.pack(len(item)) + item for item in items)


def split_records(body: bytes) -> list[bytes]:
    """Return the complete records of a read's body.

    Raises
    ------
    MalformedError
        If the body ends within the positions or the first record.  Taken
        as a body without records, it would make the reader repeat the read
        without a pause.
    """
    if len(body) < POSITIONS.size:
        raise decoding.MalformedError("body has no positions")
    items: list[bytes] = []
    position = POSITIONS.size
    while position + LENGTH.size <= len(body):
        (length,) = LENGTH.unpack_from(body, position)
        end = position + LENGTH.size + length
        if end > len(body):
            break
        items.append(body[position + LENGTH.size : end])
        position = end
    if position < len(body) and not items:
        raise decoding.MalformedError("first record is truncated")
    return items


def end_of(body: bytes) -> int:
    """Return the end of the topic in a read's body with positions."""
    end, _first = POSITIONS.unpack_from(body)
    return typing.cast("int", end)


def decode_keyed(data: bytes) -> records.KeyedRecord:
    """Decode a record of a keyed topic: length of the key, key, value.

    Raises
    ------
    MalformedError
        If the key is truncated or not UTF-8.
    """
    if not data or len(data) < 1 + data[0]:
        raise decoding.MalformedError("key is truncated")
    end = 1 + data[0]
    with malformed.raised_as_malformed():
        key = data[1:end].decode()
    return records.KeyedRecord(key, data[end:] or None)


def encode_keyed(key: str, value: bytes | None) -> bytes:
    """Encode a record of a keyed topic."""
    name = key.encode()
    return bytes([len(name)]) + name + (value or b"")
