"""Splitting of a stream of server-sent events at event boundaries."""

from __future__ import annotations

END_OF_EVENT = b"\n\n"
ID_FIELD = b"id:"


def split_complete(data: bytes) -> tuple[bytes, bytes]:
    """Return the complete events in ``data``, and the remaining bytes.

    An endpoint may stop in the middle of an event.  If a caller got part of
    it, the events of the endpoint that continues would follow that part.
    """
    end = data.rfind(END_OF_EVENT)
    if end < 0:
        return b"", data
    end += len(END_OF_EVENT)
    return data[:end], data[end:]


def last_id(events: bytes) -> str | None:
    """Return the id of the last event that has an id."""
    for line in reversed(events.split(b"\n")):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return None
