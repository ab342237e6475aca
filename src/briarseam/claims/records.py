"""The records of a claim stream: batches of claims and settlements."""

from __future__ import annotations

import msgspec

VERSION = 1


class Outcome(msgspec.Struct, frozen=True):
    """Outcome of a request that ran, stored for replays.

    Attributes
    ----------
    status
        HTTP status of the answer.
    body
        The answer, as far as it is stored.
    whole
        Whether ``body`` is the complete answer.
    answer_id
        Answer id of a prompt; empty for service calls.
    """

    status: int
    body: bytes = b""
    whole: bool = True
    answer_id: str = ""


class Claim(msgspec.Struct, frozen=True, tag="claim", array_like=True):
    """An attempt claims the right to run a key's request.

    Attributes
    ----------
    organisation, key
        The key that is claimed, and its organisation.
    attempt
        Random name of the attempt, never used again.
    body_digest
        Digest of the request, to detect a reused key.
    holder, incarnation, address
        Name, incarnation and address of the agent that acts for the
        attempt.
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
    """The attempt may have been sent and its outcome is unknown.

    Attributes
    ----------
    organisation, key, attempt
        The attempt and its key.
    answer_id
        Answer id with which the endpoint may still have a prompt's answer.
    """

    organisation: str
    key: str
    attempt: str
    answer_id: str = ""


Settlement = Done | NotRun | Lost
Item = Claim | Done | NotRun | Lost


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """One record: the items of one append.

    Attributes
    ----------
    version
        Version of the format; comes first so that any release can read it.
    shards
        Number of streams that the writer distributes the keys over.
    writer
        Agent and incarnation that wrote the record, for the operator.
    sequence
        Number of the writer's batch; makes each record's bytes unique.
    items
        Claims and settlements in the order in which the fold applies them.
    """

    version: int
    shards: int
    writer: str
    sequence: int
    items: tuple[Item, ...]


class Head(msgspec.Struct, frozen=True, array_like=True):
    """The part of a batch that is the same in all releases."""

    version: int


class UnreadableError(Exception):
    """A record that is not a batch of any release; it holds no claims."""


class UnknownVersionError(Exception):
    """A batch of a later release, which may hold claims."""


encoder = msgspec.msgpack.Encoder()
head_decoder = msgspec.msgpack.Decoder(Head)
batch_decoder = msgspec.msgpack.Decoder(Batch)


def encode(batch: Batch) -> bytes:
    """Encode a batch as a record."""
    return encoder.encode(batch)


def decode(data: bytes) -> Batch:
    """Decode a record.

    Raises
    ------
    UnreadableError
        If the record is not a batch.
    UnknownVersionError
        If a later release wrote the record.
    """
    try:
        version = head_decoder.decode(data).version
        if version != VERSION:
            raise UnknownVersionError(f"claim record of version {version}")
        return batch_decoder.decode(data)
    except msgspec.DecodeError as error:
        raise UnreadableError(str(error)) from error
