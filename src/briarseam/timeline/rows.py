"""What both renderings say of each event."""

from __future__ import annotations

import dataclasses
import typing

from briarseam.timeline import clock as clocks
from briarseam.timeline import event as events
from briarseam.timeline import kinds

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.timeline import messages

MS = 1000.0
SECONDS_FROM_MS = 10_000.0
MINUTES_FROM_MS = 600_000.0


@dataclasses.dataclass(frozen=True)
class Row:
    """One event as it is shown.

    Attributes
    ----------
    time
        UTC, ``HH:MM:SS.mmm``.
    after
        Time since the row before, as ``+1.2ms``; empty for the first.
    process, kind
        As in the event.
    about
        Request, path, endpoint, organisation and fields, ``name=value``;
        a request that all events share stands in the summary instead.
    tone
        How much it worries.
    """

    time: str
    after: str
    process: str
    kind: str
    about: tuple[str, ...]
    tone: kinds.Tone


def build_rows(found: messages.Events) -> tuple[Row, ...]:
    """Return a row for each event."""
    rows = []
    previous = 0
    shared = shared_request(found)
    for event in found.events:
        rows.append(build_row(event, previous, shared))
        previous = event.clock
    return tuple(rows)


def shared_request(found: messages.Events) -> str:
    """Return the request that all events are about, else nothing."""
    requests = {event.request for event in found.events}
    return requests.pop() if len(requests) == 1 else ""


def build_row(event: events.Event, previous: int, shared: str = "") -> Row:
    """Return an event's row.

    Parameters
    ----------
    event
        The event.
    previous
        Stamp of the event before; 0 when there is none.
    shared
        Request that is not repeated on each row.
    """
    request = event.request if event.request != shared else ""
    words = (
        ("request", request),
        ("path", event.path),
        ("endpoint", event.endpoint),
        ("organisation", event.organisation),
    )
    about = [f"{name}={value}" for name, value in words if value]
    about += [
        f"{name}={value}"
        for name, value in event.fields.items()
        if value != ""
    ]
    return Row(
        time=time_of(event.clock),
        after=f"+{elapsed(previous, event.clock)}" if previous else "",
        process=event.process,
        kind=event.kind,
        about=tuple(about),
        tone=kinds.tone_of(event.kind, event.fields.get("result", "")),
    )


def packed(words: collections.abc.Iterable[str], columns: int) -> list[str]:
    """Return words on as few lines as they need.

    A word that does not fit the line begins the next one, so that an id
    can be copied whole; only one longer than a line is broken.
    """
    lines: list[str] = []
    for word in words:
        if lines and len(lines[-1]) + 1 + len(word) <= columns:
            lines[-1] += f" {word}"
            continue
        for start in range(0, len(word), columns):
            lines.append(word[start : start + columns])
    return lines


def time_of(stamp: int) -> str:
    """Return the time of day of a stamp, UTC."""
    return clocks.iso_of(stamp)[11:-1]


def elapsed(start: int, end: int) -> str:
    """Return the time between two stamps, in a unit that suits it."""
    ms = (clocks.micros_of(end) - clocks.micros_of(start)) / MS
    if ms >= MINUTES_FROM_MS:
        return f"{ms / 60_000:.1f}min"
    if ms >= SECONDS_FROM_MS:
        return f"{ms / MS:.1f}s"
    return f"{ms:.1f}ms"


def notes(found: messages.Events) -> tuple[str, ...]:
    """Return what the reader must know about what is missing.

    A time line without these lines would show a process that was cut off,
    or whose ring was overrun, as one where nothing happened.
    """
    lines = []
    if found.cut:
        lines.append(f"{found.cut} older events left out; narrow the question")
    first = found.events[0].clock if found.events else 0
    for source in found.sources:
        if source.error:
            lines.append(f"{source.process} is missing: {source.error}")
        elif source.dropped and source.oldest > first:
            since = clocks.iso_of(source.oldest)[:-5]
            lines.append(f"{source.process} has all only since {since}Z")
    return tuple(lines)


def summary(found: messages.Events) -> str:
    """Return one line on what was found."""
    answered = [source for source in found.sources if not source.error]
    if not found.events:
        return f"no events in {len(answered)} processes"
    day = clocks.iso_of(found.events[0].clock)[:10]
    took = elapsed(found.events[0].clock, found.events[-1].clock)
    count = len(found.events)
    request = shared_request(found)
    about = f" of request {request}" if request else ""
    what = f"{count} events{about} in {took}"
    return f"{what}, {day} UTC, {len(answered)} processes"
