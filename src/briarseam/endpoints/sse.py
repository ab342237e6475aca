"""Server-sent events read from and written to byte streams."""

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
        The ``event`` field, ``"message"`` when absent.
    data
        The ``data`` field.
    id
        The ``id`` field, empty when absent.
    """

    kind: str
    data: str
    id: str = ""


def render(event: Event) -> bytes:
    """Return the bytes of an event whose data is one line."""
    head = f"id: {event.id}\n" if event.id else ""
    return f"{head}event: {event.kind}\ndata: {event.data}\n\n".encode()


def parse(block: bytes) -> Event:
    """Return the event of one block of lines."""
    fields = {"event": "message", "data": "", "id": ""}
    for line in block.decode().split("\n"):
        name, _, value = line.partition(":")
        if name in fields:
            fields[name] = value.removeprefix(" ")
    return Event(fields["event"], fields["data"], fields["id"])


def read(chunks: typing.Iterable[bytes]) -> typing.Iterator[Event]:
    """Yield the events of a stream of chunks.

    Raises
    ------
    TruncatedError
        When the stream ends within an event.
    """
    buffer = b""
    for chunk in chunks:
        buffer += chunk
        while SEPARATOR in buffer:
            block, _, buffer = buffer.partition(SEPARATOR)
            if block.strip():
                yield parse(block)
    if buffer.strip():
        raise TruncatedError("the stream ended within an event")
