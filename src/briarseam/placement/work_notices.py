"""Notices of large prompts, for the instances of other cells.

Instances of other cells learn a cell's load each half second to second; an
engine prefills a large prompt in less time.  The instance that sends the
prompt therefore notifies them by datagram.  A notice counts as waiting tokens
of the endpoint until a load of the sender's cell contains the prompt.

Whether it does is known without comparing clocks: a notice carries the
sequence number of the change in its sender's load, and a cell's load carries,
for each instance of the cell, the sequence number that it includes.  Where
that is unknown or lost, a notice lapses.
"""

from __future__ import annotations

import collections
import dataclasses
import threading
import typing

import msgspec

from briarseam import clocks
from briarseam.wire import connection as connections

if typing.TYPE_CHECKING:
    import collections.abc

# The first byte is never used in MessagePack, so earlier releases can't take
# a notice for a load report: they count it as malformed.
MARKER = b"\xc1W"
# A cell publishes its load twice a second, and the receiver's heartbeats,
# also twice a second, pass it on; the rest is a margin for a lost datagram
# within the sender's cell.
MAX_AGE_S = 1.5
# After this time without notices or loads, an incarnation's process has ended,
# and no delayed datagram of it can arrive any more.
FORGET_S = 60.0
MAX_TOKENS = 2**53
Tokens = typing.Annotated[int, msgspec.Meta(gt=0, le=MAX_TOKENS)]
Sequence = typing.Annotated[int, msgspec.Meta(ge=0, le=2**62)]
# Endpoint id, and waiting tokens added to it.
Row = tuple[str, Tokens]
# Name of an instance, its incarnation, and the sequence number of the last
# change of its load that is included.
Included = tuple[str, int, Sequence]


class WorkNotice(msgspec.Struct, array_like=True):
    """Work that one instance has just sent to endpoints.

    Attributes
    ----------
    sender, incarnation
        Name of the instance, and random number of its process.
    sequence
        Number of the last change of its load that is part of the notice.
    rows
        Waiting tokens added, by endpoint.
    """

    sender: str
    incarnation: int
    sequence: Sequence
    rows: tuple[Row, ...]


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(WorkNotice)


def encode(notice: WorkNotice) -> bytes:
    """Return the content of a datagram with a notice."""
    return MARKER + ENCODER.encode(notice)


def is_notice(content: bytes) -> bool:
    """Return whether a datagram's content is a notice."""
    return content.startswith(MARKER)


def decode(content: bytes) -> WorkNotice:
    """Return the notice of a datagram's content.

    Raises
    ------
    WireError
        If it is not a notice.
    MsgspecError
        If it is malformed.
    """
    if not is_notice(content):
        raise connections.WireError("the datagram is not a work notice")
    return DECODER.decode(memoryview(content)[len(MARKER) :])


@dataclasses.dataclass
class Incarnation:
    """What is known of one process of a sender.

    Attributes
    ----------
    included
        Sequence number up to which its changes need not be counted any more:
        its cell's load includes them, or their notices have lapsed.
    heard_s
        Time of the last notice or load that named the process.
    notices
        Rows of the notices that count, by sequence number.
    """

    included: int = 0
    heard_s: float = 0.0
    notices: dict[int, tuple[Row, ...]] = dataclasses.field(
        default_factory=dict
    )


class NoticedWork:
    """Waiting tokens by the notices of other cells; thread-safe.

    The processes of a sender that restarts are kept apart, since the order of
    their random numbers is unknown.  The notices of the ended one lapse.

    Parameters
    ----------
    clock
        Seconds; the clock of this machine only.

    Attributes
    ----------
    totals
        Tokens by endpoint.
    """

    def __init__(
        self, clock: typing.Callable[[], float] = clocks.boot_clock
    ) -> None:
        self.clock = clock
        self.totals: dict[str, int] = {}
        self.incarnations: dict[tuple[str, int], Incarnation] = {}
        # Time of arrival, sender and sequence number of each notice.
        self.arrivals: collections.deque[
            tuple[float, tuple[str, int], int]
        ] = collections.deque()
        self.lock = threading.Lock()

    def apply(self, notice: WorkNotice) -> bool:
        """Count a notice; return whether it was new."""
        key = (notice.sender, notice.incarnation)
        with self.lock:
            self.expire()
            known = self.heard(key)
            sequence = notice.sequence
            if sequence <= known.included or sequence in known.notices:
                return False
            known.notices[sequence] = notice.rows
            self.arrivals.append((self.clock(), key, sequence))
            for endpoint, tokens in notice.rows:
                self.totals[endpoint] = self.totals.get(endpoint, 0) + tokens
        return True

    def include(self, rows: collections.abc.Iterable[Included]) -> None:
        """Drop the notices that a cell's load includes."""
        with self.lock:
            for name, incarnation, sequence in rows:
                known = self.heard((name, incarnation))
                known.included = max(known.included, sequence)
                for number in list(known.notices):
                    if number <= sequence:
                        self.drop(known, number)

    def current(self) -> collections.abc.Mapping[str, int]:
        """Return the noticed waiting tokens by endpoint.

        The mapping is not copied, since each placement reads it: it may
        change, but reading single endpoints from it is safe.
        """
        if self.arrivals:
            with self.lock:
                self.expire()
        return self.totals

    def keep_only(self, names: frozenset[str]) -> None:
        """Drop instances but these, and processes that have ended."""
        with self.lock:
            self.expire()
            oldest_s = self.clock() - FORGET_S
            for key, known in list(self.incarnations.items()):
                if key[0] not in names or known.heard_s < oldest_s:
                    for number in list(known.notices):
                        self.drop(known, number)
                    del self.incarnations[key]

    # These methods require the lock.

    def heard(self, key: tuple[str, int]) -> Incarnation:
        """Return what is known of a process that was just heard of."""
        known = self.incarnations.get(key)
        if known is None:
            known = self.incarnations[key] = Incarnation()
        known.heard_s = self.clock()
        return known

    def expire(self) -> None:
        """Drop the notices that have lapsed."""
        oldest_s = self.clock() - MAX_AGE_S
        while self.arrivals and self.arrivals[0][0] <= oldest_s:
            _arrived_s, key, sequence = self.arrivals.popleft()
            known = self.incarnations.get(key)
            if known is not None:
                known.included = max(known.included, sequence)
                self.drop(known, sequence)

    def drop(self, known: Incarnation, sequence: int) -> None:
        """Stop counting a notice, unless it isn't counted any more."""
        for endpoint, tokens in known.notices.pop(sequence, ()):
            self.totals[endpoint] -= tokens
            if not self.totals[endpoint]:
                del self.totals[endpoint]
