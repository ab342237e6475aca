"""The records of a claim stream: batches of claims and settlements."""

from __future__ import annotations

import msgspec

VERSION = 1


class Outcome(msgspec.Struct, frozen=True):
    """What a request that ran gave, kept for a replay.

    Attributes
    ----------
    status
        HTTP status of the answer.
    body
        The answer, as far as it was kept.
    whole
        Whether ``body`` is all of it.
    answer_id
        Answer id of a prompt; empty for service calls.
    """

    status: int
    body: bytes = b""
    whole: bool = True
    answer_id: str = ""


class Claim(msgspec.Struct, frozen=True, tag="claim", array_like=True):
    """An attempt asks for the right to run a key's request.

    Attributes
    ----------
    organisation, key
        What is claimed.
    attempt
        Random name of the attempt, never used for another.
    body_digest
        Digest of the request, to tell a reused key.
    holder, incarnation, address
        The agent that acts for the attempt, which start of it, and where
        other agents reach it.
    """

    organisation: str
    key: str
    attempt: str
    body_digest: bytes
    holder: str
    incarnation: str
    address: str


class Done(msgspec.Struct, frozen=True, tag="done", array_like=True):
    """The attempt's request ran, with this outcome."""

    organisation: str
    key: str
    attempt: str
    outcome: Outcome


class NotRun(msgspec.Struct, frozen=True, tag="not-run", array_like=True):
    """The attempt was never sent and never will be."""

    organisation: str
    key: str
    attempt: str


class Lost(msgspec.Struct, frozen=True, tag="lost", array_like=True):
    """The attempt may have been sent and nobody can tell its outcome.

    Attributes
    ----------
    organisation, key, attempt
        Which attempt.
    answer_id
        By which a prompt's answer may still be had from its endpoint.
    """

    organisation: str
    key: str
    attempt: str
    answer_id: str = ""


Settlement = Done | NotRun | Lost
Item = Claim | Done | NotRun | Lost


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """One record: what its writer put in at once.

    Attributes
    ----------
    version
        Form of the record; comes first so that any release can read it.
    shards
        Into how many streams the writer cuts the keys.
    writer
        Agent and incarnation that wrote it, for the operator.
    sequence
        Counts the writer's batches, so that no two are the same bytes.
    items
        In the order in which the fold takes them.
    """

    version: int
    shards: int
    writer: str
    sequence: int
    items: tuple[Item, ...]


class Head(msgspec.Struct, frozen=True, array_like=True):
    """The part of a batch that no release may change."""

    version: int


class UnreadableError(Exception):
    """A record that is no batch of any release; it claims nothing."""


class UnknownVersionError(Exception):
    """A batch of a later release, which may hold claims."""


encoder = msgspec.msgpack.Encoder()
head_decoder = msgspec.msgpack.Decoder(Head)
batch_decoder = msgspec.msgpack.Decoder(Batch)


def encode(batch: Batch) -> bytes:
    """Return the record of a batch."""
    return encoder.encode(batch)


def decode(data: bytes) -> Batch:
    """Return the batch of a record.

    Raises
    ------
    UnreadableError
        When the record is no batch at all.
    UnknownVersionError
        When a later release wrote it.
    """
    try:
        version = head_decoder.decode(data).version
        if version != VERSION:
            raise UnknownVersionError(f"claim record of version {version}")
        return batch_decoder.decode(data)
    except msgspec.DecodeError as error:
        raise UnreadableError(str(error)) from error
