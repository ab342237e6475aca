"""The records of the lease stream and their encoding."""

from __future__ import annotations

import dataclasses
import typing

import msgpack
import msgspec

RECORD_VERSION = 1
# Keeps a faulty record from blocking a lease for hours.
MAX_TTL_MS = 60_000
TtlMs = typing.Annotated[int, msgspec.Meta(gt=0, le=MAX_TTL_MS)]
Offset = typing.Annotated[int, msgspec.Meta(ge=0)]
Fence = typing.Annotated[int, msgspec.Meta(gt=0)]
Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


class RecordError(Exception):
    """The bytes are not a valid lease record."""


class NewerRecordError(Exception):
    """A record of a later release, which this release can't interpret."""


@dataclasses.dataclass(frozen=True)
class Term:
    """One lease under one fencing number."""

    name: Name
    fence: Fence


@dataclasses.dataclass(frozen=True)
class Acquire:
    """Acquires a lease; the record's offset becomes the fencing number.

    Attributes
    ----------
    record_id
        Unique id of this attempt, by which the writer recognises the record
        when the reply to the append was lost.
    holder
        The acquiring process; differs after each restart.
    name
        The lease.
    ttl_ms
        Time that each record extends the lease by, in ms.
    seen
        Offset up to which the writer had read the stream.  The record is
        void if another record of the lease lies in between.
    basis
        Offset of the configuration that the holder uses.
    """

    record_id: str
    holder: Name
    name: Name
    ttl_ms: TtlMs
    seen: Offset
    basis: Offset = 0


@dataclasses.dataclass(frozen=True)
class Renew:
    """Extends all leases of a holder by another ttl."""

    record_id: str
    holder: Name
    ttl_ms: TtlMs
    terms: tuple[Term, ...]


@dataclasses.dataclass(frozen=True)
class Release:
    """Releases leases."""

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
    """Return the encoded record."""
    body = msgspec.to_builtins(record)
    packed = msgpack.packb([RECORD_VERSION, TAGS[type(record)], body])
    return typing.cast("bytes", packed)


def decode(data: bytes) -> LeaseRecord:
    """Return the decoded record.

    Raises
    ------
    NewerRecordError
        If a later release wrote it.
    RecordError
        If it is malformed for every release.
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
    """Return the names of the leases that a record refers to."""
    match record:
        case Acquire():
            return (record.name,)
        case Renew() | Release():
            return tuple(term.name for term in record.terms)
