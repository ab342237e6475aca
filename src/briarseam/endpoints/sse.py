"""Parser and serializer of server-sent events."""

from __future__ import annotations

import dataclasses
import typing

SEPARATOR = b"\n\n"


class TruncatedError(Exception):
    """The stream ended in the middle of an event."""


@dataclasses.dataclass(frozen=True)
class Event:
    """One event of a stream.

    Attributes
    ----------
    kind
        The ``event`` field, ``"message"`` if absent.
    data
        The ``data`` field.
    id
        The ``id`` field, empty if absent.
    """

    kind: str
    data: str
    id: str = ""


def render(event: Event) -> bytes:
    """Serialize an event; its data must be a single line."""
    head = f"id: {event.id}\n" if event.id else ""
    return f"{head}event: {event.kind}\ndata: {event.data}\n\n".encode()


def parse(block: bytes) -> Event:
    """Parse the lines of one event."""
    fields = {"event": "message", "data": "", "id": ""}
    for line in block.decode().split("\n"):
        name, _, value = line.partition(":")
        if name in fields:
            fields[name] = value.removeprefix(" ")
    return Event(fields["event"], fields["data"], fields["id"])


def has_fields(block: bytes) -> bool:
    """Return whether lines hold more than comments."""
    lines = block.split(b"\n")
    return any(line.strip() and not line.startswith(b":") for line in lines)


def read(chunks: typing.Iterable[bytes]) -> typing.Iterator[Event]:
    """Yield the events of a stream of chunks.

    Raises
    ------
    TruncatedError
        If the stream ends within an event.
    """
    buffer = b""
    for chunk in chunks:
        buffer += chunk
        while SEPARATOR in buffer:
            block, _, buffer = buffer.partition(SEPARATOR)
            if has_fields(block):
                yield parse(block)
    if buffer.strip():
        raise TruncatedError("the stream ended within an event")
