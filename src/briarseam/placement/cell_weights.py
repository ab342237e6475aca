"""Telling other cells which engines are being given new weights.

Heartbeats tell it within the cell of the instance that gives orders.  The
other cells would go on sending prompts to an engine that takes none until it
has loaded.
"""

from __future__ import annotations

import typing

import msgspec
import structlog

from briarseam import clocks
from briarseam import repeating
from briarseam.wire import codec
from briarseam.wire import replies

if typing.TYPE_CHECKING:
    import collections.abc

# An order is given 0.6 s after the word that an engine takes no work, and
# heartbeats, which tell what another cell told, are half a second apart.
REVIEW_S = 0.1
# A word counts for three seconds, and a load of weights takes longer.
REPEAT_S = 1.0
# What was told rides on heartbeats until it should have been repeated: its
# teller may be gone, and engines without work are missed.
RELAY_S = 1.5
log = structlog.get_logger("briarseam.placement")

Told = list[tuple[str, bytes]]


@codec.message("cell-weights")
class WeightsTold(msgspec.Struct, frozen=True):
    """Tell another cell what an instance does to engines' weights.

    Attributes
    ----------
    teller
        Name of the instance.
    content
        What its heartbeats tell of weights.
    """

    teller: str
    content: bytes


@codec.message("cell-weights-noted")
class WeightsNoted(msgspec.Struct, frozen=True):
    """Reply that carries nothing but that it was taken in."""


class KnownWeights(typing.Protocol):
    """What an instance knows of engines' weights.

    Attributes
    ----------
    changing
        Engines that this instance is giving new weights.
    own
        Weights by engine and model, as this instance found them.
    """

    changing: set[str]
    own: dict[tuple[str, str], int]

    def provide(self) -> bytes:
        """Return what others should know."""

    def consume(self, member: str, data: bytes) -> None:
        """Take in what another instance knows."""


class OtherCells(typing.Protocol):
    """One instance of each other cell."""

    def addresses(self) -> collections.abc.Sequence[str]:
        """Return where to reach one instance of each other cell."""

    def publish_weights(self, address: str, message: WeightsTold) -> None:
        """Tell an instance.

        Raises
        ------
        NoReplyError
            When it may not have been taken in.
        """


class CellWeights:
    """Tells other cells what changes here, and takes in what they tell.

    Parameters
    ----------
    known_weights
        What is known of engines' weights.
    cells
        Calls to other cells.
    me
        Name of this instance.
    clock
        Seconds.
    """

    def __init__(
        self,
        known_weights: KnownWeights,
        cells: OtherCells,
        me: str,
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.known_weights = known_weights
        self.cells = cells
        self.me = me
        self.clock = clock
        self.changing: frozenset[str] = frozenset()
        self.own: dict[tuple[str, str], int] = {}
        self.told_s = 0.0
        self.untold: frozenset[str] = frozenset()
        self.heard: dict[str, tuple[bytes, float]] = {}
        self.reviews = repeating.Repeater(
            "cell-weights", self.review, REVIEW_S
        )

    def start(self) -> None:
        """Begin telling."""
        self.reviews.start()

    def stop(self) -> None:
        """Tell nothing further."""
        self.reviews.stop()

    def review(self) -> None:
        """Tell what has changed, and again while an engine is changed."""
        # Copies of a set and a dict are atomic, other threads change both.
        changing = frozenset(self.known_weights.changing)
        own = dict(self.known_weights.own)
        changed = changing != self.changing or own != self.own
        pending = bool(changing or self.untold)
        repeat_s = self.told_s + REPEAT_S
        if changed or (pending and self.clock() >= repeat_s):
            self.changing = changing
            self.own = own
            self.told_s = self.clock()
            self.tell_all(changed)

    def tell_all(self, changed: bool) -> None:
        """Tell one instance of each other cell.

        Parameters
        ----------
        changed
            Whether it is news; the log is to hold it once.
        """
        addresses = self.cells.addresses()
        if not addresses:
            self.untold = frozenset()
            return
        message = WeightsTold(self.me, self.known_weights.provide())
        untold = set()
        for address in addresses:
            try:
                self.cells.publish_weights(address, message)
            except replies.NoReplyError as error:
                untold.add(address)
                if address not in self.untold:
                    log.warning(
                        "cell_not_told_weights",
                        address=address,
                        detail=str(error),
                    )
        self.untold = frozenset(untold)
        if changed:
            log.info(
                "cells_told_weights",
                changing=sorted(self.changing),
                cells=len(addresses),
                untold=len(untold),
            )

    def answer(self, message: WeightsTold) -> WeightsNoted:
        """Take in what an instance of another cell told this one."""
        self.heard[message.teller] = (message.content, self.clock())
        self.known_weights.consume(message.teller, message.content)
        return WeightsNoted()

    def provide(self) -> bytes:
        """Return what other cells told this instance, for its cell."""
        oldest_s = self.clock() - RELAY_S
        self.heard = {
            teller: (content, at_s)
            for teller, (content, at_s) in list(self.heard.items())
            if at_s > oldest_s
        }
        told = [
            (teller, content)
            for teller, (content, _at_s) in list(self.heard.items())
        ]
        return msgspec.msgpack.encode(told)

    def consume(self, member: str, data: bytes) -> None:
        """Take in what other cells told a peer."""
        del member
        for teller, content in msgspec.msgpack.decode(data, type=Told):
            if teller != self.me:
                self.known_weights.consume(teller, content)
