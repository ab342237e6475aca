"""Telling other cells the work of this one.

Heartbeats tell each instance's work within its cell.  At a large site that
is a third of the work at each engine or less; taken for all of it, engines
fill up, and estimated from it, the number varies too much to choose by.
So one instance of each cell tells the others what its cell has at each
endpoint, and what it is told rides on its heartbeats.
"""

from __future__ import annotations

import dataclasses
import typing

import msgspec
import structlog

from briarseam import clocks
from briarseam import repeating
from briarseam.placement import loads as load_module
from briarseam.wire import codec
from briarseam.wire import replies

if typing.TYPE_CHECKING:
    import collections.abc

# As often as heartbeats: what other cells know is as old as two of them.
TELL_S = 0.5
# What a cell told counts for so long: it may miss a few of these.
TRUST_S = 3.0
log = structlog.get_logger("briarseam.placement")

Number = load_module.Number
Row = tuple[str, Number, Number, Number, Number]
Told = list[tuple[str, int, tuple[Row, ...]]]


@codec.message("cell-load")
class CellLoad(msgspec.Struct, frozen=True):
    """Tell another cell the work of one.

    Attributes
    ----------
    cell
        Whose work.
    instances
        How many instances it has.
    rows
        For each endpoint its id, requests, waiting tokens, running streams
        and tokens in memory, as in :class:`briarseam.placement.loads.Load`.
    """

    cell: str
    instances: int
    rows: tuple[Row, ...]


@codec.message("cell-load-noted")
class CellLoadNoted(msgspec.Struct, frozen=True):
    """Reply that carries nothing but that the work was taken in."""


class Cells(typing.Protocol):
    """The cell of this instance, and one instance of each other."""

    def name(self) -> str:
        """Return the name of this cell; empty before peers are met."""

    def size(self) -> int:
        """Return how many instances this cell has."""

    def is_speaker(self) -> bool:
        """Tell whether this instance is the one that tells."""

    def addresses(self) -> collections.abc.Sequence[str]:
        """Return where to reach one instance of each other cell."""

    def publish_load(self, address: str, message: CellLoad) -> None:
        """Tell an instance.

        Raises
        ------
        NoReplyError
            When it may not have been reached.
        """


class CellLoads:
    """Tells other cells the work of this one, and takes in theirs.

    Parameters
    ----------
    loads
        What is known of endpoints' work.
    cells
        This cell and calls to others.
    clock
        Seconds.
    """

    def __init__(
        self,
        loads: load_module.Loads,
        cells: Cells,
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.loads = loads
        self.cells = cells
        self.clock = clock
        self.told: dict[str, tuple[CellLoad, float]] = {}
        self.untold: frozenset[str] = frozenset()
        self.telling = repeating.Repeater("cell-loads", self.review, TELL_S)

    def start(self) -> None:
        """Begin telling."""
        self.telling.start()

    def stop(self) -> None:
        """Tell nothing further."""
        self.telling.stop()

    def review(self) -> None:
        """Forget what is old; tell if that falls to this instance."""
        self.forget_old()
        if self.cells.is_speaker():
            self.tell_all()

    def tell_all(self) -> None:
        """Tell one instance of each other cell."""
        addresses = self.cells.addresses()
        if not addresses:
            return
        rows = tuple(
            (name, *dataclasses.astuple(load))
            for name, load in self.loads.here().items()
        )
        message = CellLoad(self.cells.name(), self.cells.size(), rows)
        untold = set()
        for address in addresses:
            try:
                self.cells.publish_load(address, message)
            except replies.NoReplyError as error:
                untold.add(address)
                if address not in self.untold:
                    log.warning(
                        "cell_not_told", address=address, detail=str(error)
                    )
        self.untold = frozenset(untold)

    def answer(self, message: CellLoad) -> CellLoadNoted:
        """Take in what another cell told this instance."""
        self.told[message.cell] = (message, self.clock())
        self.take(message)
        return CellLoadNoted()

    def take(self, message: CellLoad) -> None:
        """Take in the work of another cell, however it came here."""
        if message.cell == self.cells.name():
            return
        work = {
            name: load_module.Load(*numbers) for name, *numbers in message.rows
        }
        self.loads.take_cell(message.cell, work, message.instances)

    def provide(self) -> bytes:
        """Return what other cells told this instance, for its cell."""
        rows = [
            (message.cell, message.instances, message.rows)
            for message, _at_s in list(self.told.values())
        ]
        return msgspec.msgpack.encode(rows)

    def consume(self, member: str, data: bytes) -> None:
        """Take in what other cells told a peer."""
        del member
        for cell, instances, rows in msgspec.msgpack.decode(data, type=Told):
            self.take(CellLoad(cell, instances, rows))

    def forget_old(self) -> None:
        """Forget what was told too long ago."""
        oldest_s = self.clock() - TRUST_S
        self.told = {
            cell: (message, at_s)
            for cell, (message, at_s) in list(self.told.items())
            if at_s > oldest_s
        }
        self.loads.forget_cells(TRUST_S)
