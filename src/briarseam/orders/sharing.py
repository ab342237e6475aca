"""Reports of engines that ride on heartbeats.

All agents polling all engines would cost a large cell more than control
may use.  So the owner of an engine polls it and tells the others; content
that has not changed is not sent again, so a quiet deployment costs
nothing.
"""

from __future__ import annotations

import typing

import msgspec

from briarseam.endpoints import engine_orders
from briarseam.orders import state

# How long a report may have been under way; it must not look younger than
# an order that it does not know of.
MAX_TRANSIT_S = 2.0
States = dict[str, engine_orders.EngineState]


class Sharing:
    """What this process tells of engines, and what others told.

    Parameters
    ----------
    engine_reports
        Has our reports and takes the others'.
    clock
        Seconds.
    """

    def __init__(
        self,
        engine_reports: state.EngineReports,
        clock: typing.Callable[[], float],
    ) -> None:
        self.engine_reports = engine_reports
        self.clock = clock

    def provide(self) -> bytes:
        """Return this process's section of a heartbeat."""
        states = {
            name: report.state
            for name, report in sorted(self.engine_reports.own().items())
        }
        return msgspec.msgpack.encode(states)

    def consume(self, member: str, data: bytes) -> None:
        """Take in another member's section."""
        states = msgspec.msgpack.decode(data, type=States)
        requested_s = self.clock() - MAX_TRANSIT_S
        self.engine_reports.put_shared(
            member,
            {
                name: state.Report(engine_state, requested_s)
                for name, engine_state in states.items()
            },
        )
