"""A process's own events, in memory that is bounded in bytes."""

from __future__ import annotations

import collections
import dataclasses
import sys
import threading

from briarseam.timeline import cleaning
from briarseam.timeline import clock as clocks
from briarseam.timeline import event as events
from briarseam.timeline import packing

DEFAULT_CAPACITY = 4096
DEFAULT_MAX_BYTES = 2 * 1024 * 1024
KEPT_PART = 4
MAX_MARKS = 2048
MAX_WORD = cleaning.MAX_WORD
OVERHEAD_BYTES = sys.getsizeof(b"") + 8


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
        From this stamp on every event is held; 0 when there is none.
    """

    events: tuple[events.Event, ...]
    dropped: int
    oldest: int


class Events:
    """Packed events, bounded in number and in bytes; the oldest go."""

    def __init__(self, capacity: int, max_bytes: int) -> None:
        self.capacity = capacity
        self.max_bytes = max_bytes
        self.packed: collections.deque[bytes] = collections.deque()
        self.bytes = 0

    def add(self, packed: bytes) -> None:
        """Add an event; :meth:`make_room` has to follow."""
        self.packed.append(packed)
        self.bytes += len(packed) + OVERHEAD_BYTES

    def make_room(self) -> bytes | None:
        """Return an event that had to go; ``None`` when all have room."""
        if len(self.packed) <= self.capacity and self.bytes <= self.max_bytes:
            return None
        gone = self.packed.popleft()
        self.bytes -= len(gone) + OVERHEAD_BYTES
        return gone


class Ring:
    """The newest events of one process; safe for several threads.

    Events are kept packed, which makes the bound on bytes exact and holds
    no objects of the callers alive.

    When an event has to make room, it is kept a good while longer if it is
    about no request (a configuration change, a member, an order) or about
    one that was marked by :meth:`keep`.  These are few, and they are what
    is asked for hours later; the many events of requests that went well
    would flush them out within minutes.

    Parameters
    ----------
    process
        Name of the process.
    capacity
        Most newest events held; a quarter as many are kept longer.
    clock
        The process's clock; the one that its wire connections use, so that
        events and messages are ordered together.
    max_bytes
        Most bytes of the newest events, with the objects' own overhead; a
        quarter as many of those kept longer.
    """

    def __init__(
        self,
        process: str,
        capacity: int = DEFAULT_CAPACITY,
        clock: clocks.HybridClock | None = None,
        max_bytes: int = DEFAULT_MAX_BYTES,
    ) -> None:
        self.process = process
        self.clock = clock or clocks.HybridClock()
        self.recent = Events(capacity, max_bytes)
        self.kept = Events(capacity // KEPT_PART, max_bytes // KEPT_PART)
        self.marks: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        self.dropped = 0
        self.lock = threading.Lock()
        self.local = threading.local()

    @property
    def size_bytes(self) -> int:
        """Bytes that all events take."""
        return self.recent.bytes + self.kept.bytes

    def __len__(self) -> int:
        """Return how many events are held."""
        return len(self.recent.packed) + len(self.kept.packed)

    def keep(self, request: str) -> None:
        """Mark a request whose events are to be kept longer.

        Parameters
        ----------
        request
            Its name.  With very many marks the oldest is forgotten.
        """
        with self.lock:
            self.marks[packing.pack_name(request[:MAX_WORD])] = None
            if len(self.marks) > MAX_MARKS:
                self.marks.popitem(last=False)

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
            fields = cleaning.clean(fields)
        if not request:
            request = getattr(self.local, "request", "")
        name = packing.pack_name(request[:MAX_WORD])
        texts = (
            kind[:MAX_WORD],
            path[:MAX_WORD],
            endpoint[:MAX_WORD],
            organisation[:MAX_WORD],
        )
        with self.lock:
            packed = packing.pack(self.clock.now(), name, texts, fields)
            self.recent.add(packed)
            while gone := self.recent.make_room():
                self.retire(gone)

    def retire(self, packed: bytes) -> None:
        """Keep an event longer or drop it; the lock is held."""
        name = packing.name_of(packed)
        if name and name not in self.marks:
            self.dropped += 1
            return
        self.kept.add(packed)
        while self.kept.make_room():
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
            recent = list(self.recent.packed)
            packed = [*self.kept.packed, *recent]
            dropped = self.dropped
        oldest = 0
        if recent:
            oldest = packing.unpack(recent[0], self.process).clock
        needles = packing.needles_of(wanted)
        packed = [one for one in packed if needles.are_in(one)]
        found = (packing.unpack(one, self.process) for one in packed)
        return Selection(
            events=tuple(event for event in found if wanted.matches(event)),
            dropped=dropped,
            oldest=oldest,
        )
