"""Change records of the stream ``configuration``.

A record is the msgpack array ``[v, author, body, proof]``.  The body is
opaque bytes (in version 1: msgpack compressed by zlib) and the proof is an
HMAC over the other three with a key of the author's team.  All versions use
this envelope, so that each release can distinguish an authentic record of an
unknown version from a forged one.
"""

from __future__ import annotations

import dataclasses
import secrets
import typing
import zlib

import msgpack

STREAM = "configuration"
VERSION = 1
ID_BYTES = 16
MAX_RECORD_BYTES = 1024 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
LABEL = b"briarseam configuration change"

Value = typing.Any


class RecordError(ValueError):
    """Bytes that are not a record, or a body that is not a change."""


@dataclasses.dataclass(frozen=True)
class Change:
    """One atomic change of several paths.

    Attributes
    ----------
    id
        Random, 16 bytes in hex; identifies duplicates.
    author
        Name of the team.
    operator
        Who issued the command, for the history only.
    base
        Offset of the tree that the change was planned on.
    expects
        Revision that each path must still have; 0 means absent.  Must
        contain every path in ``sets``.
    sets
        New value by path; ``None`` deletes.
    """

    id: str
    author: str
    operator: str
    base: int
    expects: typing.Mapping[str, int]
    sets: typing.Mapping[str, Value]


@dataclasses.dataclass(frozen=True)
class Envelope:
    """A record of the log whose proof has not been verified."""

    version: int
    author: str
    body: bytes
    proof: bytes

    def signed_bytes(self) -> bytes:
        """Return the bytes that the proof covers."""
        parts = [LABEL, self.version, self.author, self.body]
        return typing.cast("bytes", msgpack.packb(parts))


def new_id() -> str:
    """Return a new change id."""
    return secrets.token_hex(ID_BYTES)


def encode(
    change: Change, sign: typing.Callable[[str, bytes], bytes]
) -> bytes:
    """Return the record of ``change``.

    Parameters
    ----------
    change
        The change to publish.
    sign
        Returns the proof, see :meth:`teams.Teams.sign`.

    Raises
    ------
    RecordError
        When the record exceeds the log's size limit.
    """
    fields = {
        "id": change.id,
        "operator": change.operator,
        "base": change.base,
        "expects": dict(change.expects),
        "sets": dict(change.sets),
    }
    body = zlib.compress(msgpack.packb(fields))
    unsigned = Envelope(VERSION, change.author, body, b"")
    proof = sign(change.author, unsigned.signed_bytes())
    data = msgpack.packb([VERSION, change.author, body, proof])
    if len(data) > MAX_RECORD_BYTES:
        raise RecordError(
            f"the change has {len(data)} bytes, the log's limit is"
            f" {MAX_RECORD_BYTES}: split the change"
        )
    return typing.cast("bytes", data)


def open_envelope(data: bytes) -> Envelope:
    """Return the envelope of a record.

    Raises
    ------
    RecordError
        When the bytes are not a record.
    """
    try:
        version, author, body, proof = msgpack.unpackb(data, raw=False)
    except (ValueError, TypeError) as error:
        raise RecordError(f"not a record: {error}") from error
    typed = (
        isinstance(version, int)
        and isinstance(author, str)
        and isinstance(body, bytes)
        and isinstance(proof, bytes)
    )
    if not typed:
        raise RecordError("not a record: a part has the wrong type")
    return Envelope(version, author, body, proof)


def decode_body(envelope: Envelope) -> Change:
    """Return the change in a version 1 envelope.

    The checks are part of version 1 and must never change: a release that
    decoded a body differently would fold a different tree.

    Raises
    ------
    RecordError
        When the body is not a change.
    """
    try:
        inflater = zlib.decompressobj()
        packed = inflater.decompress(envelope.body, MAX_BODY_BYTES)
        fields = msgpack.unpackb(packed, raw=False)
        change = Change(
            id=fields["id"],
            author=envelope.author,
            operator=fields["operator"],
            base=fields["base"],
            expects=fields["expects"],
            sets=fields["sets"],
        )
    except (ValueError, TypeError, KeyError, zlib.error) as error:
        raise RecordError(f"not a change: {error}") from error
    check_types(change)
    return change


def decode_unverified(data: bytes) -> Change | None:
    """Return a record's change without verifying it; ``None`` if invalid."""
    try:
        return decode_body(open_envelope(data))
    except RecordError:
        return None


def check_types(change: Change) -> None:
    """Check the type of every field.

    Raises
    ------
    RecordError
        When a field has the wrong type.
    """
    if not isinstance(change.id, str) or not change.id:
        raise RecordError("the id is not a string")
    if not isinstance(change.base, int):
        raise RecordError("the base is not an offset")
    if not isinstance(change.expects, dict):
        raise RecordError("expects is not an object")
    if not isinstance(change.sets, dict):
        raise RecordError("sets is not an object")
    for path, revision in change.expects.items():
        if not isinstance(path, str) or not isinstance(revision, int):
            raise RecordError("an expected revision is malformed")
    for path in change.sets:
        if path not in change.expects:
            raise RecordError(f"{path} is set without an expected revision")
