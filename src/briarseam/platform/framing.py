"""How records stand one behind the other in the metadata store's bodies."""

from __future__ import annotations

import struct
import typing

from briarseam import malformed
from briarseam.feeds import records
from briarseam.platform import decoding

if typing.TYPE_CHECKING:
    import collections.abc

LENGTH = struct.Struct(">I")
# Where the topic ends and where it begins; a read has both before its records.
POSITIONS = struct.Struct(">QQ")


def join_records(items: collections.abc.Iterable[bytes]) -> bytes:
    """Return the body of an append, each record behind its length."""
    return b"".join(LENGTH.pack(len(item)) + item for item in items)


def split_records(body: bytes) -> list[bytes]:
    """Return the whole records of a read's body, behind its positions.

    Raises
    ------
    MalformedError
        If the body breaks off before the end of its first record.  Taken
        for one without records, it would be asked for again at once.
    """
    if len(body) < POSITIONS.size:
        raise decoding.MalformedError("the body has no positions")
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
        raise decoding.MalformedError("the first record is cut short")
    return items


def decode_keyed(data: bytes) -> records.KeyedRecord:
    """Return a keyed topic's record: a length, the key, the value.

    Raises
    ------
    MalformedError
        If the key can't be read.
    """
    if not data or len(data) < 1 + data[0]:
        raise decoding.MalformedError("the key is cut short")
    end = 1 + data[0]
    with malformed.raised_as_malformed():
        key = data[1:end].decode()
    return records.KeyedRecord(key, data[end:] or None)


def encode_keyed(key: str, value: bytes | None) -> bytes:
    """Return the bytes of a keyed topic's record."""
    name = key.encode()
    return bytes([len(name)]) + name + (value or b"")
