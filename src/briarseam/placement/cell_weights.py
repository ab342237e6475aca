"""Exchange of weight changes between cells.

Heartbeats carry them only within the cell of the instance that issues
orders.  Without this exchange other cells would keep sending prompts to an
engine that accepts none until it has loaded its weights.
"""

from __future__ import annotations

import typing

import msgspec
import structlog

from briarseam import clocks
from briarseam import repeating
from briarseam.peers import cell_publishing
from briarseam.wire import codec

if typing.TYPE_CHECKING:
    import collections.abc

# An order is issued 0.6 s after the engine is announced as accepting no work.
# Heartbeats, which relay what other cells publish, are 0.5 s apart, so 0.1 s
# remain.
REVIEW_INTERVAL_S = 0.1
# A published change expires after 3 s, and loading weights takes longer.
REPEAT_INTERVAL_S = 1.0
# Heartbeats relay a change only until its next repetition is overdue.  Its
# sender may be gone, and the engine would get no work.
RELAY_S = 1.5
log = structlog.get_logger("briarseam.placement")

SectionRows = list[tuple[str, bytes]]


@codec.message("cell-weights")
class WeightsTold(msgspec.Struct, frozen=True):
    """Changes that an instance makes to engines' weights.

    Attributes
    ----------
    teller
        Name of the instance.
    content
        The weights section of its heartbeats.
    """

    teller: str
    content: bytes


@codec.message("cell-weights-noted")
class WeightsNoted(msgspec.Struct, frozen=True):
    """Acknowledges weight changes."""


class KnownWeights(typing.Protocol):
    """An instance's view of engines' weights.

    Attributes
    ----------
    changing
        Engines whose weights this instance is replacing.
    own
        Weight versions by engine and model, as observed by this instance.
    """

    changing: set[str]
    own: dict[tuple[str, str], int]

    def provide(self) -> bytes:
        """Return the local state to publish."""

    def consume(self, member: str, data: bytes) -> None:
        """Apply the published state of another instance."""


class OtherCells(typing.Protocol):
    """One instance of each other cell."""

    def addresses(self) -> collections.abc.Sequence[str]:
        """Return the address of one instance of each other cell."""

    def publish_weights(self, address: str, message: WeightsTold) -> None:
        """Send weight changes to an instance.

        Raises
        ------
        NoReplyError
            If the instance may not have applied them.
        """


class CellWeights:
    """Publishes weight changes to other cells and applies theirs.

    Parameters
    ----------
    known_weights
        This instance's view of engines' weights.
    cells
        Calls to other cells.
    local_name
        Name of this instance.
    clock
        Seconds.
    """

    def __init__(
        self,
        known_weights: KnownWeights,
        cells: OtherCells,
        local_name: str,
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.known_weights = known_weights
        self.cells = cells
        self.local_name = local_name
        self.clock = clock
        self.changing: frozenset[str] = frozenset()
        self.own: dict[tuple[str, str], int] = {}
        self.published_s = 0.0
        self.publisher = cell_publishing.CellPublisher("cell_not_told_weights")
        self.received: dict[str, tuple[bytes, float]] = {}
        self.reviews = repeating.Repeater(
            "cell-weights", self.review, REVIEW_INTERVAL_S
        )

    def start(self) -> None:
        """Start publishing."""
        self.reviews.start()

    def stop(self) -> None:
        """Stop publishing."""
        self.reviews.stop()

    def review(self) -> None:
        """Publish changes, and repeat them while an engine is changing."""
        # Copying a set or a dict is atomic; other threads modify both.
        changing = frozenset(self.known_weights.changing)
        own = dict(self.known_weights.own)
        changed = changing != self.changing or own != self.own
        pending = bool(changing or self.publisher.unreached)
        repeat_s = self.published_s + REPEAT_INTERVAL_S
        if changed or (pending and self.clock() >= repeat_s):
            self.changing = changing
            self.own = own
            self.published_s = self.clock()
            self.publish(changed)

    def publish(self, changed: bool) -> None:
        """Send the local state to one instance of each other cell.

        Parameters
        ----------
        changed
            Whether the state is new; repetitions are not logged.
        """
        addresses = self.cells.addresses()
        message = WeightsTold(self.local_name, self.known_weights.provide())
        self.publisher.publish(
            addresses,
            lambda address: self.cells.publish_weights(address, message),
        )
        if changed and addresses:
            log.info(
                "cells_told_weights",
                changing=sorted(self.changing),
                cells=len(addresses),
                untold=len(self.publisher.unreached),
            )

    def answer(self, message: WeightsTold) -> WeightsNoted:
        """Apply a message from an instance of another cell."""
        self.received[message.teller] = (message.content, self.clock())
        self.known_weights.consume(message.teller, message.content)
        return WeightsNoted()

    def provide(self) -> bytes:
        """Return the changes received from other cells, for this cell."""
        oldest_s = self.clock() - RELAY_S
        self.received = {
            teller: (content, at_s)
            for teller, (content, at_s) in list(self.received.items())
            if at_s > oldest_s
        }
        rows = [
            (teller, content)
            for teller, (content, _at_s) in list(self.received.items())
        ]
        return msgspec.msgpack.encode(rows)

    def consume(self, member: str, data: bytes) -> None:
        """Apply the changes that a peer received from other cells."""
        del member
        for teller, content in msgspec.msgpack.decode(data, type=SectionRows):
            if teller != self.local_name:
                self.known_weights.consume(teller, content)
