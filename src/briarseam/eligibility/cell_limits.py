"""Exchange of endpoints' limits between cells.

Heartbeats carry what an instance hears from endpoints within its own cell
only.  The instances that share an endpoint's limit may all be in another
cell, so that this one would never learn that a limit has changed or ended.
One instance of each cell therefore sends what its cell has heard to one
instance of every other cell, which relays it in its heartbeats.
"""

from __future__ import annotations

import typing

import msgspec

from briarseam import clocks
from briarseam import repeating
from briarseam.eligibility import heard_limits
from briarseam.peers import cell_publishing
from briarseam.wire import codec

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.eligibility import announced_limits

# Equal to the heartbeat interval.
PUBLISH_INTERVAL_S = 0.5
# What another cell has heard is relayed until its next message is overdue.
RELAY_S = 1.5

# A cell, the age of its message in milliseconds, and its rows.
SectionRow = tuple[
    str, heard_limits.Milliseconds, tuple[heard_limits.Row, ...]
]


@codec.message("cell-rate-limits")
class CellRateLimits(msgspec.Struct, frozen=True):
    """Limits that the endpoints named to one cell, for another cell.

    Attributes
    ----------
    cell
        Name of the cell.
    rows
        For each endpoint its id, its limit or ``None``, and the age of the
        answer in milliseconds.
    """

    cell: str
    rows: tuple[heard_limits.Row, ...]


@codec.message("cell-rejection-limits")
class CellRejectionLimits(msgspec.Struct, frozen=True):
    """Limits of rejections that the endpoints named to one cell.

    Attributes
    ----------
    cell, rows
        As in :class:`CellRateLimits`.
    """

    cell: str
    rows: tuple[heard_limits.Row, ...]


Message = CellRateLimits | CellRejectionLimits


@codec.message("cell-rate-limits-noted")
class CellRateLimitsNoted(msgspec.Struct, frozen=True):
    """Acknowledges a cell's limits of any kind."""


class Cells(typing.Protocol):
    """The local cell, and one instance of each other cell."""

    def name(self) -> str:
        """Return the local cell's name; empty before peers are known."""

    def is_speaker(self) -> bool:
        """Return whether this instance publishes for its cell."""

    def addresses(self) -> collections.abc.Sequence[str]:
        """Return the address of one instance of each other cell."""

    def publish_rate_limits(self, address: str, message: Message) -> None:
        """Send the limits that the local cell has heard to an instance.

        Raises
        ------
        NoReplyError
            If the instance may not have received them.
        """


class CellLimits:
    """Publishes what the local cell has heard, and relays other cells' news.

    Parameters
    ----------
    limits
        The limits of endpoints.
    cells
        The local cell, and calls to other cells.
    clock
        Seconds.
    message_type
        Type of the messages, which tells the kind of the limits.
    """

    def __init__(
        self,
        limits: announced_limits.AnnouncedLimits,
        cells: Cells,
        clock: typing.Callable[[], float] = clocks.boot_clock,
        message_type: type[Message] = CellRateLimits,
    ) -> None:
        self.message_type = message_type
        self.limits = limits
        self.cells = cells
        self.clock = clock
        self.received: dict[str, tuple[Message, float]] = {}
        self.publisher = cell_publishing.CellPublisher(
            "cell_not_told_rate_limits"
        )
        self.publishing = repeating.Repeater(
            "cell-rate-limits", self.review, PUBLISH_INTERVAL_S
        )

    def start(self) -> None:
        """Start publishing."""
        self.publishing.start()

    def stop(self) -> None:
        """Stop publishing."""
        self.publishing.stop()

    def review(self) -> None:
        """Publish if this instance is the speaker and there is news."""
        if self.cells.is_speaker():
            rows = tuple(self.limits.cell_rows())
            if rows:
                message = self.message_type(self.cells.name(), rows)
                self.publisher.publish(
                    self.cells.addresses(),
                    lambda address: self.cells.publish_rate_limits(
                        address, message
                    ),
                )

    def answer(self, message: Message) -> CellRateLimitsNoted:
        """Apply a message from another cell."""
        self.received[message.cell] = (message, self.clock())
        self.limits.apply_remote(message.rows)
        return CellRateLimitsNoted()

    def provide(self) -> bytes:
        """Return the news received from other cells, for this cell."""
        now_s = self.clock()
        self.received = {
            cell: (message, at_s)
            for cell, (message, at_s) in list(self.received.items())
            if now_s < at_s + RELAY_S
        }
        rows = [
            (cell, max(0.0, now_s - at_s) * heard_limits.MS, message.rows)
            for cell, (message, at_s) in list(self.received.items())
        ]
        return msgspec.msgpack.encode(rows)

    def consume(self, member: str, data: bytes) -> None:
        """Apply the news that a peer received from other cells."""
        del member
        relayed = msgspec.msgpack.decode(data, type=list[SectionRow])
        for cell, relayed_ms, rows in relayed:
            if cell != self.cells.name():
                self.limits.apply_remote(
                    (endpoint_id, per_s, age_ms + relayed_ms)
                    for endpoint_id, per_s, age_ms in rows
                )
