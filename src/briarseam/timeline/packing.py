"""Events in their packed form, in which a ring keeps and searches them.

One length byte, the request's name, and msgpack of the rest.  The name
stands in front so that a ring can tell whose event it is without unpacking.
"""

from __future__ import annotations

import dataclasses

import msgspec

from briarseam.timeline import event as events

MAX_NAME_BYTES = 255
PREFIXES = tuple(bytes((length,)) for length in range(MAX_NAME_BYTES + 1))

encoder = msgspec.msgpack.Encoder()


def pack_name(request: str) -> bytes:
    """Return a request's name as it stands in front of its events."""
    return request.encode(errors="replace")[:MAX_NAME_BYTES]


def pack(
    stamp: int,
    name: bytes,
    texts: tuple[str, ...],
    fields: dict[str, events.Scalar],
) -> bytes:
    """Return the packed form of an event.

    Parameters
    ----------
    stamp
        Its stamp.
    name
        From :func:`pack_name`.
    texts
        Kind, path, endpoint and organisation.
    fields
        Cleaned.
    """
    try:
        body = encoder.encode((stamp, texts, fields))
    except UnicodeEncodeError:
        # A caller's header may hold half a surrogate pair.  The request
        # that is noted must not fail of it.
        shown = {escaped(word): value for word, value in fields.items()}
        body = encoder.encode((stamp, tuple(map(escaped, texts)), shown))
    return PREFIXES[len(name)] + name + body


def escaped(text: str) -> str:
    """Return a text with all but ASCII escaped."""
    return text.encode("ascii", "backslashreplace").decode()


def name_of(packed: bytes) -> bytes:
    """Return the packed name of an event's request."""
    return packed[1 : 1 + packed[0]]


def unpack(packed: bytes, process: str) -> events.Event:
    """Return the event of its packed form."""
    name = name_of(packed)
    stamp, texts, fields = msgspec.msgpack.decode(packed[1 + len(name) :])
    kind, path, endpoint, organisation = texts
    request = name.decode(errors="ignore")
    return events.Event(
        stamp, process, kind, request, path, endpoint, organisation, fields
    )


@dataclasses.dataclass(frozen=True)
class Needles:
    """What the packed form of an event asked for must have in it.

    Packed words stand as they are in UTF-8, so most events can be passed
    over without unpacking them.

    Attributes
    ----------
    names
        One of these, when there are any.
    words
        All of these.
    """

    names: tuple[bytes, ...]
    words: tuple[bytes, ...]

    def are_in(self, packed: bytes) -> bool:
        """Tell whether an event may be one asked for."""
        for word in self.words:
            if word not in packed:
                return False
        return not self.names or any(name in packed for name in self.names)


def needles_of(wanted: events.Filter) -> Needles:
    """Return what a filter's events must have in them."""
    names = (wanted.request, *wanted.also) if wanted.request else ()
    words = (wanted.path.rstrip("/"), wanted.endpoint)
    return Needles(
        tuple(name.encode(errors="replace") for name in names),
        tuple(word.encode(errors="replace") for word in words if word),
    )
