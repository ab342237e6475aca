"""A process's own events, in memory that is bounded in bytes."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import math
import sys
import threading
import typing

import msgspec

from briarseam.timeline import clock as clocks
from briarseam.timeline import event as events

DEFAULT_CAPACITY = 4096
DEFAULT_MAX_BYTES = 2 * 1024 * 1024
MAX_WORD = 96
MAX_FIELDS = 12
MAX_COUNT = 2**62
OVERHEAD_BYTES = sys.getsizeof(b"") + 8

encoder = msgspec.msgpack.Encoder()


@dataclasses.dataclass(frozen=True)
class Selection:
    """What a ring still holds of the events asked for.

    Attributes
    ----------
    events
        In order of their stamps.
    dropped
        Events, asked for or not, that had to make room since the start.
    oldest
        Stamp of the oldest event still held; 0 when there is none.
    """

    events: tuple[events.Event, ...]
    dropped: int
    oldest: int


class Ring:
    """The newest events of one process; safe for several threads.

    Events are kept packed, which makes the bound on bytes exact and holds
    no objects of the callers alive.

    Parameters
    ----------
    process
        Name of the process.
    capacity
        Most events kept.
    clock
        The process's clock; the one that its wire connections use, so that
        events and messages are ordered together.
    max_bytes
        Most bytes of packed events, with the objects' own overhead.
    """

    def __init__(
        self,
        process: str,
        capacity: int = DEFAULT_CAPACITY,
        clock: clocks.HybridClock | None = None,
        max_bytes: int = DEFAULT_MAX_BYTES,
    ) -> None:
        self.process = process
        self.capacity = capacity
        self.max_bytes = max_bytes
        self.clock = clock or clocks.HybridClock()
        self.packed: collections.deque[bytes] = collections.deque()
        self.bytes = 0
        self.dropped = 0
        self.lock = threading.Lock()
        self.local = threading.local()

    def about(self, request: str) -> None:
        """Let what this thread notes be about a request.

        A handler runs in one thread from its message to the reply, so what
        is noted on the way, by whichever slice, belongs to that request.

        Parameters
        ----------
        request
            Its name; empty for none.
        """
        self.local.request = request

    def note(
        self,
        kind: str,
        /,
        *,
        request: str = "",
        path: str = "",
        endpoint: str = "",
        organisation: str = "",
        **fields: events.Scalar,
    ) -> None:
        """Note that something happened, now.

        Never raises and never waits for anything but the ring itself, so
        it may stand on any path.

        Parameters
        ----------
        kind, request, path, endpoint, organisation
            As in :class:`briarseam.timeline.event.Event`.
        **fields
            Ids and counts.  Anything that does not look like an id is
            replaced by its length.
        """
        if fields:
            fields = clean(fields)
        if not request:
            request = getattr(self.local, "request", "")
        words = (
            kind[:MAX_WORD],
            request[:MAX_WORD],
            path[:MAX_WORD],
            endpoint[:MAX_WORD],
            organisation[:MAX_WORD],
            fields,
        )
        with self.lock:
            stamp = self.clock.now()
            try:
                packed = encoder.encode((stamp, words))
            except UnicodeEncodeError:
                # A caller's header may hold half a surrogate pair.  The
                # request that is noted must not fail of it.
                packed = encoder.encode((stamp, printable(words)))
            self.packed.append(packed)
            self.bytes += len(packed) + OVERHEAD_BYTES
            while (
                len(self.packed) > self.capacity or self.bytes > self.max_bytes
            ):
                self.bytes -= len(self.packed.popleft()) + OVERHEAD_BYTES
                self.dropped += 1

    def since(self, stamp: int = 0) -> tuple[events.Event, ...]:
        """Return the events stamped later than ``stamp``, oldest first."""
        return self.selected(events.Filter(after=stamp)).events

    def select(
        self, request: str = "", path: str = "", endpoint: str = ""
    ) -> tuple[events.Event, ...]:
        """Return the events about these, oldest first; empty means any."""
        wanted = events.Filter(request, path, endpoint)
        return self.selected(wanted).events

    def selected(self, wanted: events.Filter) -> Selection:
        """Return the events asked for and what the ring no longer has."""
        with self.lock:
            packed = list(self.packed)
            dropped = self.dropped
        oldest = unpack(packed[0], self.process).clock if packed else 0
        needles = needles_of(wanted)
        packed = [one for one in packed if needles.are_in(one)]
        found = (unpack(one, self.process) for one in packed)
        return Selection(
            events=tuple(event for event in found if wanted.matches(event)),
            dropped=dropped,
            oldest=oldest,
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


def unpack(packed: bytes, process: str) -> events.Event:
    """Return the event of its packed form."""
    stamp, words = msgspec.msgpack.decode(packed)
    kind, request, path, endpoint, organisation, fields = words
    return events.Event(
        stamp, process, kind, request, path, endpoint, organisation, fields
    )


def printable(words: typing.Any) -> typing.Any:
    """Return words that can be encoded, whatever was in them."""
    *texts, fields = words
    names = {escaped(name): value for name, value in fields.items()}
    return (*map(escaped, texts), names)


def escaped(text: str) -> str:
    """Return a text with all but ASCII escaped."""
    return text.encode("ascii", "backslashreplace").decode()


def clean(fields: dict[str, events.Scalar]) -> dict[str, events.Scalar]:
    """Return the fields with everything that is no id or count replaced.

    The dictionary is the caller's own and is changed in place: this runs
    for each note, and most notes have nothing to replace.
    """
    if len(fields) > MAX_FIELDS:
        fields = dict(itertools.islice(fields.items(), MAX_FIELDS))
    value: typing.Any
    for name, value in fields.items():
        kind = type(value)
        if kind is str and is_word(value):
            continue
        if kind is int and -MAX_COUNT < value < MAX_COUNT:
            continue
        fields[name] = clean_value(value)
    return fields


def is_word(text: str) -> bool:
    """Tell whether a text may be an id: short, and without white space."""
    return len(text) <= MAX_WORD and " " not in text and text.isprintable()


def clean_value(value: object) -> events.Scalar:
    """Return an id or count as it is, anything else as its length.

    A time line is read by operators of all teams.  A caller that notes a
    prompt, an answer or an error text quoting one would show an
    organisation's words there; ids have no white space and are short, so
    such a value shows as ``text:LENGTH``.
    """
    if isinstance(value, str):
        return str(value) if is_word(value) else f"text:{len(value)}"
    if isinstance(value, bool):
        return value
    if isinstance(value, float):
        # JSON has no word for these two, and the page is JSON.
        return value if math.isfinite(value) else str(value)
    if isinstance(value, int):
        return max(-MAX_COUNT, min(int(value), MAX_COUNT))
    return type(value).__name__
