"""Exchange of endpoint loads between cells.

Heartbeats carry each instance's load within its own cell only.  At a large
site a cell sees a third or less of the load of each engine.  Taken for the
whole load it lets engines fill up, and an estimate extrapolated from it is
too noisy to choose engines by.  One instance of each cell therefore sends
its cell's load per endpoint to one instance of every other cell, which
passes it on in its heartbeats.
"""

from __future__ import annotations

import dataclasses
import typing

import msgspec

from briarseam import clocks
from briarseam import repeating
from briarseam.peers import cell_publishing
from briarseam.placement import loads as load_module
from briarseam.placement import work_notices
from briarseam.wire import codec

if typing.TYPE_CHECKING:
    import collections.abc

# Equal to the heartbeat interval: loads of other cells are at most two
# heartbeats old.
PUBLISH_INTERVAL_S = 0.5
# Maximum age of another cell's load; tolerates a few lost messages.
MAX_AGE_S = 3.0

Number = load_module.Number
Row = tuple[str, Number, Number, Number, Number]
SectionRows = list[tuple[str, int, tuple[Row, ...]]]
IncludedRows = dict[str, tuple[work_notices.Included, ...]]


@codec.message("cell-load")
class CellLoad(msgspec.Struct, frozen=True, omit_defaults=True):
    """Load of one cell, sent to another cell.

    Attributes
    ----------
    cell
        Name of the cell.
    instances
        Number of instances in the cell.
    rows
        For each endpoint its id, requests, waiting tokens, running streams
        and memory tokens, as in :class:`briarseam.placement.loads.Load`.
    included
        Changes by instances of the cell that the load includes, so that
        notices of these are no longer counted; empty if the cell sends none.
    """

    cell: str
    instances: int
    rows: tuple[Row, ...]
    included: tuple[work_notices.Included, ...] = ()


@codec.message("cell-load-noted")
class CellLoadNoted(msgspec.Struct, frozen=True):
    """Acknowledges a cell's load."""


class Cells(typing.Protocol):
    """The local cell, and one instance of each other cell."""

    def name(self) -> str:
        """Return the local cell's name; empty before peers are known."""

    def size(self) -> int:
        """Return the number of instances in the local cell."""

    def is_speaker(self) -> bool:
        """Return whether this instance publishes for its cell."""

    def addresses(self) -> collections.abc.Sequence[str]:
        """Return the address of one instance of each other cell."""

    def publish_load(self, address: str, message: CellLoad) -> None:
        """Send the load of the local cell to an instance.

        Raises
        ------
        NoReplyError
            If the instance may not have received it.
        """


class CellLoads:
    """Publishes the local cell's load and applies those of other cells.

    Parameters
    ----------
    loads
        Known load of endpoints.
    cells
        The local cell, and calls to other cells.
    clock
        Seconds.
    local_name
        Name of this instance, if instances notify other cells of work; the
        loads then tell which changes they include.
    """

    def __init__(
        self,
        loads: load_module.Loads,
        cells: Cells,
        clock: typing.Callable[[], float] = clocks.boot_clock,
        local_name: str = "",
    ) -> None:
        self.local_name = local_name
        # Of the cells' loads that follow in the same heartbeat, by peer.
        self.included: dict[str, IncludedRows] = {}
        self.loads = loads
        self.cells = cells
        self.clock = clock
        self.received: dict[str, tuple[CellLoad, float]] = {}
        self.publisher = cell_publishing.CellPublisher("cell_not_told")
        self.publishing = repeating.Repeater(
            "cell-loads", self.review, PUBLISH_INTERVAL_S
        )

    def start(self) -> None:
        """Start publishing."""
        self.publishing.start()

    def stop(self) -> None:
        """Stop publishing."""
        self.publishing.stop()

    def review(self) -> None:
        """Drop expired loads; publish if this instance is the speaker."""
        self.forget_old()
        if self.cells.is_speaker():
            self.publish()

    def publish(self) -> None:
        """Send the local cell's load to one instance of each other cell."""
        addresses = self.cells.addresses()
        if not addresses:
            return
        included: tuple[work_notices.Included, ...] = ()
        if self.local_name:
            # Before the loads, so that these include all of it.
            included = tuple(self.loads.included(self.local_name))
        rows = tuple(
            (name, *dataclasses.astuple(load))
            for name, load in self.loads.cell_loads().items()
        )
        message = CellLoad(
            self.cells.name(), self.cells.size(), rows, included
        )
        self.publisher.publish(
            addresses,
            lambda address: self.cells.publish_load(address, message),
        )

    def answer(self, message: CellLoad) -> CellLoadNoted:
        """Apply a message from another cell."""
        self.received[message.cell] = (message, self.clock())
        self.apply(message)
        return CellLoadNoted()

    def apply(self, message: CellLoad) -> None:
        """Apply another cell's load, received directly or from a peer."""
        if message.cell == self.cells.name():
            return
        loads = {
            name: load_module.Load(*numbers) for name, *numbers in message.rows
        }
        self.loads.set_cell(message.cell, loads, message.instances)
        self.loads.noticed.include(message.included)

    def provide(self) -> bytes:
        """Return the loads received from other cells, for this cell."""
        rows = [
            (message.cell, message.instances, message.rows)
            for message, _at_s in list(self.received.values())
        ]
        return msgspec.msgpack.encode(rows)

    def consume(self, member: str, data: bytes) -> None:
        """Apply the loads that a peer received from other cells."""
        included = self.included.pop(member, {})
        for cell, instances, rows in msgspec.msgpack.decode(
            data, type=SectionRows
        ):
            self.apply(CellLoad(cell, instances, rows, included.get(cell, ())))

    def provide_included(self) -> bytes:
        """Return the changes that the loads of other cells include.

        A section of its own, since earlier releases reject further fields in
        the section of the loads.  It precedes the one of the loads, so that
        these may be newer than what is said of them, but not older.
        """
        rows = {
            message.cell: message.included
            for message, _at_s in list(self.received.values())
        }
        return msgspec.msgpack.encode(rows)

    def consume_included(self, member: str, data: bytes) -> None:
        """Store which changes the loads in the same heartbeat include."""
        self.included[member] = msgspec.msgpack.decode(data, type=IncludedRows)

    def forget_old(self) -> None:
        """Drop loads of other cells that have expired."""
        oldest_s = self.clock() - MAX_AGE_S
        self.received = {
            cell: (message, at_s)
            for cell, (message, at_s) in list(self.received.items())
            if at_s > oldest_s
        }
        self.loads.expire_cells(MAX_AGE_S)
