"""The records of the lease stream and their encoding."""

from __future__ import annotations

import dataclasses
import typing

import msgpack
import msgspec

RECORD_VERSION = 1
# A stray record must not be able to block a lease for hours.
MAX_TTL_MS = 60_000
TtlMs = typing.Annotated[int, msgspec.Meta(gt=0, le=MAX_TTL_MS)]
Offset = typing.Annotated[int, msgspec.Meta(ge=0)]
Fence = typing.Annotated[int, msgspec.Meta(gt=0)]
Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


class RecordError(Exception):
    """Bytes that are no lease record of any release."""


class NewerRecordError(Exception):
    """A record of a later release, which this one cannot judge."""


@dataclasses.dataclass(frozen=True)
class Term:
    """One lease under one fencing number."""

    name: Name
    fence: Fence


@dataclasses.dataclass(frozen=True)
class Acquire:
    """Ask for a lease; the record's offset becomes the fencing number.

    Attributes
    ----------
    record_id
        Unique name of this attempt, to find it again when the answer to
        the append was lost.
    holder
        Who asks; another one after each restart.
    name
        The lease.
    ttl_ms
        How long each record keeps the lease, in ms.
    seen
        Offset up to which the writer had read the stream.  The record is
        void when any other record of the lease lies in between.
    basis
        Offset of the configuration that the holder goes by.
    """

    record_id: str
    holder: Name
    name: Name
    ttl_ms: TtlMs
    seen: Offset
    basis: Offset = 0


@dataclasses.dataclass(frozen=True)
class Renew:
    """Keep leases for another ttl; one record for all of a holder's."""

    record_id: str
    holder: Name
    ttl_ms: TtlMs
    terms: tuple[Term, ...]


@dataclasses.dataclass(frozen=True)
class Release:
    """Give leases back."""

    record_id: str
    holder: Name
    terms: tuple[Term, ...]


LeaseRecord = Acquire | Renew | Release
KINDS: dict[str, type[LeaseRecord]] = {
    "acquire": Acquire,
    "renew": Renew,
    "release": Release,
}
TAGS = {kind: tag for tag, kind in KINDS.items()}


def encode(record: LeaseRecord) -> bytes:
    """Return a record's bytes."""
    body = msgspec.to_builtins(record)
    packed = msgpack.packb([RECORD_VERSION, TAGS[type(record)], body])
    return typing.cast("bytes", packed)


def decode(data: bytes) -> LeaseRecord:
    """Return the record of some bytes.

    Raises
    ------
    NewerRecordError
        When a later release wrote it.
    RecordError
        When it is malformed; every release agrees on that.
    """
    try:
        version, tag, body = msgpack.unpackb(data, raw=False)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise RecordError(str(error)) from error
    if isinstance(version, int) and version > RECORD_VERSION:
        raise NewerRecordError(f"lease record of version {version}")
    if version != RECORD_VERSION:
        raise RecordError(f"lease record of version {version!r}")
    try:
        return msgspec.convert(body, KINDS[tag])
    except (KeyError, TypeError, msgspec.ValidationError) as error:
        raise RecordError(str(error)) from error


def names(record: LeaseRecord) -> tuple[str, ...]:
    """Return the leases that a record is about."""
    match record:
        case Acquire():
            return (record.name,)
        case Renew() | Release():
            return tuple(term.name for term in record.terms)
