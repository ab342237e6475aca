"""Cutting a stream of server-sent events at whole events."""

from __future__ import annotations

END_OF_EVENT = b"\n\n"
ID_FIELD = b"id:"


def split_complete(data: bytes) -> tuple[bytes, bytes]:
    """Return the whole events of some bytes, and what is left.

    An endpoint may stop in the middle of an event.  The part of it that a
    caller had would stand before the events of the endpoint that goes on.
    """
    end = data.rfind(END_OF_EVENT)
    if end < 0:
        return b"", data
    end += len(END_OF_EVENT)
    return data[:end], data[end:]


def last_id(events: bytes) -> str | None:
    """Return the id of the last event that has one."""
    for line in reversed(events.split(b"\n")):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return None
