"""Encoding of typed messages as frames.

A frame is a four byte big-endian length followed by the msgpack array
``[tag, body, stamp]``.  The tag names a class registered with
:func:`message`, which is a data class or a msgspec struct.  The body is
validated against that class when it is decoded, so a handler never receives a
field of the wrong type.  The stamp is the time of the sender's hybrid logical
clock, 0 when it has none; every frame carries it, so messages need no field
for it.

Messages of `briarseam serve` are structs unless they need a data class:
defining a struct of three fields takes 0.01 ms, a frozen data class 0.27 ms,
and the processor time of the start delays the first answer.
"""

from __future__ import annotations

import dataclasses
import struct
import typing

import msgpack
import msgspec

WIRE_VERSION = 1
LENGTH = struct.Struct("!I")
MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_STAMP = 2**64 - 1

Message = typing.Any
MessageType = typing.TypeVar("MessageType")

types_by_tag: dict[str, type] = {}
tags_by_type: dict[type, str] = {}


class CodecError(Exception):
    """A message or frame can't be encoded or decoded."""


@dataclasses.dataclass(frozen=True)
class Frame:
    """Content of one frame.

    Attributes
    ----------
    message
        A registered message.
    stamp
        Time of the sender's clock; 0 when it has none.
    """

    message: Message
    stamp: int


@dataclasses.dataclass(frozen=True)
class Failed:
    """The reply to a message that could not be handled.

    Attributes
    ----------
    kind
        Error code: ``"unhandled"``, ``"error"`` or ``"overloaded"``, or
        ``"lost"`` for the observer of a call without a reply.
    detail
        Description for the log.
    """

    kind: str
    detail: str


def message(tag: str) -> typing.Callable[[type[MessageType]], type]:
    """Register a class as the type of messages with a tag.

    Parameters
    ----------
    tag
        Name on the wire; unique among all message types.

    Returns
    -------
    callable
        A class decorator that returns the class unchanged.
    """

    def register(cls: type[MessageType]) -> type[MessageType]:
        if types_by_tag.get(tag, cls) is not cls:
            raise ValueError(f"message tag {tag!r} is already taken")
        types_by_tag[tag] = cls
        tags_by_type[cls] = tag
        return cls

    return register


message("failed")(Failed)


def encode(value: Message, stamp: int = 0) -> bytes:
    """Return the frame of a registered message.

    Parameters
    ----------
    value
        The message.
    stamp
        Time of the sender's clock.

    Raises
    ------
    CodecError
        When the class isn't registered, the message is larger than
        ``MAX_FRAME_BYTES``, or msgpack can't encode one of its values.
    """
    tag = tags_by_type.get(type(value))
    if tag is None:
        raise CodecError(f"{type(value).__name__} is not a registered message")
    try:
        body = msgspec.to_builtins(value, builtin_types=(bytes,))
        payload = msgpack.packb([tag, body, stamp], use_bin_type=True)
    except (OverflowError, TypeError, ValueError) as error:
        raise CodecError(f"{tag} cannot be encoded: {error}") from error
    if len(payload) > MAX_FRAME_BYTES:
        raise CodecError(f"message of {len(payload)} bytes is too large")
    return LENGTH.pack(len(payload)) + typing.cast("bytes", payload)


def decode(payload: bytes) -> Message:
    """Return the message of a frame's payload, see :func:`decode_frame`."""
    return decode_frame(payload).message


def decode_frame(payload: bytes) -> Frame:
    """Return the message and the stamp of a frame's payload.

    Raises
    ------
    CodecError
        When the payload is malformed or its tag is unknown.
    """
    try:
        tag, body, stamp = msgpack.unpackb(payload, raw=False)
        if type(stamp) is not int or not 0 <= stamp <= MAX_STAMP:
            raise ValueError("the stamp is not a clock time")
        return Frame(msgspec.convert(body, types_by_tag[tag]), stamp)
    except KeyError as error:
        raise CodecError(f"unknown message tag {error}") from error
    except (ValueError, TypeError, msgspec.ValidationError) as error:
        raise CodecError(f"malformed message: {error}") from error
