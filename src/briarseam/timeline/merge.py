"""Events of many processes in one causal order, within bounds."""

from __future__ import annotations

import typing

from briarseam.timeline import messages

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.timeline import event as events

# Below the wire's cap on a frame, with room for the frame's other parts.
MAX_REPLY_BYTES = 768 * 1024
EVENT_OVERHEAD_BYTES = 96
FIELD_OVERHEAD_BYTES = 12


def merge(
    parts: collections.abc.Iterable[messages.Events], limit: int
) -> messages.Events:
    """Return the events of all parts in causal order.

    The order is that of the hybrid logical stamps: an event that was
    caused by another stands after it.  Stamps of unrelated events that are
    equal are ordered by process name, so that every reader sees the same
    order.

    Parameters
    ----------
    parts
        What came from the processes; an event may be in several of them.
    limit
        Most events returned; the newest are kept.
    """
    known: dict[tuple[int, str], events.Event] = {}
    sources: list[messages.Source] = []
    cut = 0
    for part in parts:
        for event in part.events:
            known[event.clock, event.process] = event
        sources.extend(part.sources)
        cut += part.cut
    ordered = [known[key] for key in sorted(known)]
    kept = newest(ordered, limit)
    return messages.Events(
        events=kept,
        sources=tuple(sorted(sources, key=lambda source: source.process)),
        cut=cut + len(ordered) - len(kept),
    )


def newest(
    ordered: collections.abc.Sequence[events.Event], limit: int
) -> tuple[events.Event, ...]:
    """Return the newest events that fit a reply.

    A reply larger than a frame could not be sent at all, and the reader
    would see a process without events instead of one with many.
    """
    room = MAX_REPLY_BYTES
    first = len(ordered)
    while first and len(ordered) - first < limit:
        room -= size(ordered[first - 1])
        if room < 0:
            break
        first -= 1
    return tuple(ordered[first:])


def size(event: events.Event) -> int:
    """Return the bytes of an event on the wire, rather too many."""
    words = (
        event.process,
        event.kind,
        event.request,
        event.path,
        event.endpoint,
        event.organisation,
    )
    total = EVENT_OVERHEAD_BYTES + sum(map(utf8_size, words))
    for name, value in event.fields.items():
        total += FIELD_OVERHEAD_BYTES + utf8_size(name)
        if isinstance(value, str):
            total += utf8_size(value)
    return total


def utf8_size(text: str) -> int:
    """Return the bytes of a text."""
    return len(text) if text.isascii() else len(text.encode())
