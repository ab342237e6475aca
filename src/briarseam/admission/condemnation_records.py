"""Records of the log stream ``condemnations``.

A record is the msgpack array ``[version, author, items, proof]``.  Without
an author, the proof is a MAC under the key that the system's processes
share.  With a team as the author, it is a MAC under the team's key, and the
record may only clear prompts of organisations that the team owns.
"""

from __future__ import annotations

import hashlib
import hmac
import typing

import msgpack
import msgspec

from briarseam.admission import evidence

if typing.TYPE_CHECKING:
    from briarseam.configuration import teams as teams_module

STREAM = "condemnations"
VERSION = 1
SIGNING_CONTEXT = b"briarseam condemnations"
Items = list[evidence.Item]


class RecordError(ValueError):
    """Bytes that are not a record, or a record that is not authentic."""


def encode_items(items: typing.Sequence[evidence.Item]) -> bytes:
    """Return the bytes of items."""
    return msgspec.msgpack.encode(list(items))


def decode_items(data: bytes) -> Items:
    """Return the validated items of bytes.

    Raises
    ------
    RecordError
        When the bytes are not encoded items.
    """
    try:
        return msgspec.msgpack.decode(data, type=Items)
    except msgspec.DecodeError as error:
        raise RecordError(f"malformed items: {error}") from error


def signed_bytes(author: str, body: bytes) -> bytes:
    """Return the bytes that a proof covers."""
    packed = msgpack.packb([SIGNING_CONTEXT, VERSION, author, body])
    return typing.cast("bytes", packed)


def encode(items: typing.Sequence[evidence.Item], key: bytes) -> bytes:
    """Return a record of items, authenticated with the system's key."""
    body = encode_items(items)
    proof = hmac.digest(key, signed_bytes("", body), hashlib.sha256)
    return typing.cast("bytes", msgpack.packb([VERSION, "", body, proof]))


def encode_lift(
    cleared: evidence.Cleared, author: str, teams: teams_module.Teams
) -> bytes:
    """Return a team's record that lifts a condemnation."""
    body = encode_items([cleared])
    proof = teams.sign(author, signed_bytes(author, body))
    return typing.cast("bytes", msgpack.packb([VERSION, author, body, proof]))


def decode(data: bytes, key: bytes, teams: teams_module.Teams) -> Items:
    """Return the items of an authentic record.

    Raises
    ------
    RecordError
        When the record is malformed, its proof is invalid or its author may
        not append its items.
    """
    try:
        version, author, body, proof = msgpack.unpackb(data, raw=False)
        if version != VERSION:
            raise RecordError(f"unknown version {version}")
        signed = signed_bytes(author, body)
        if author:
            proved = teams.verifies(author, signed, proof)
        else:
            expected = hmac.digest(key, signed, hashlib.sha256)
            proved = hmac.compare_digest(expected, proof)
    except (ValueError, TypeError) as error:
        raise RecordError(f"malformed record: {error}") from error
    if not proved:
        raise RecordError("the record's proof is invalid")
    items = decode_items(body)
    if author and not all(may_lift(author, item, teams) for item in items):
        raise RecordError(f"team {author} may not append these items")
    return items


def may_lift(
    author: str, item: evidence.Item, teams: teams_module.Teams
) -> bool:
    """Return whether a team may append an item.

    A team may only lift condemnations of prompts of its own organisations.
    """
    if not isinstance(item, evidence.Cleared):
        return False
    return teams.owner(f"organisations/{item.organisation}") == author
