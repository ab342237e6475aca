"""Typed messages and their frames.

A frame is a four byte big-endian length followed by the msgpack array
``[tag, body]``.  The tag names a data class registered with
:func:`message`; the body is validated against that class on arrival, so no
handler ever sees a field of the wrong type.
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

Message = typing.Any
MessageType = typing.TypeVar("MessageType")

registry: dict[str, type] = {}
tags: dict[type, str] = {}


class CodecError(Exception):
    """A frame that is too large, not msgpack, or not a known message."""


@dataclasses.dataclass(frozen=True)
class Failed:
    """The reply to a message that could not be handled.

    Attributes
    ----------
    kind
        Short machine-readable word, ``"unhandled"`` or ``"error"``.
    detail
        One sentence for the log.
    """

    kind: str
    detail: str


def message(tag: str) -> typing.Callable[[type[MessageType]], type]:
    """Register a data class as the message called ``tag``.

    Parameters
    ----------
    tag
        Name on the wire; unique over all slices.

    Returns
    -------
    callable
        A class decorator that returns the class unchanged.
    """

    def register(cls: type[MessageType]) -> type[MessageType]:
        if registry.get(tag, cls) is not cls:
            raise ValueError(f"message tag {tag!r} is taken")
        registry[tag] = cls
        tags[cls] = tag
        return cls

    return register


message("failed")(Failed)


def encode(value: Message) -> bytes:
    """Return the frame of a registered message.

    Raises
    ------
    CodecError
        When the message is larger than ``MAX_FRAME_BYTES``.
    """
    body = msgspec.to_builtins(value, builtin_types=(bytes,))
    payload = msgpack.packb([tags[type(value)], body], use_bin_type=True)
    if len(payload) > MAX_FRAME_BYTES:
        raise CodecError(f"message of {len(payload)} bytes is too large")
    return LENGTH.pack(len(payload)) + typing.cast("bytes", payload)


def decode(payload: bytes) -> Message:
    """Return the message of a frame's payload.

    Raises
    ------
    CodecError
        When the payload is not a valid known message.
    """
    try:
        tag, body = msgpack.unpackb(payload, raw=False)
        return msgspec.convert(body, registry[tag])
    except KeyError as error:
        raise CodecError(f"unknown message {error}") from error
    except (ValueError, TypeError, msgspec.ValidationError) as error:
        raise CodecError(f"malformed message: {error}") from error
