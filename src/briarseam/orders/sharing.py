"""Sharing the reports of engines on heartbeats.

If all agents of a large cell polled all engines, the polling would use more
resources than control may use.  Therefore the owner of an engine polls it
and publishes the report.  Unchanged content is not sent again, so a
deployment without changes causes no cost.
"""

from __future__ import annotations

import typing

import msgspec

from briarseam.endpoints import engine_orders
from briarseam.orders import state

# Longest time that a report is assumed to be in transit.  A report must not
# appear newer than an order that it does not reflect.
MAX_TRANSIT_S = 2.0
States = dict[str, engine_orders.EngineState]


class Sharing:
    """Publishes the reports of this process and receives those of others.

    Parameters
    ----------
    engine_reports
        The reports of this process and of other members.
    clock
        Returns seconds.
    """

    def __init__(
        self,
        engine_reports: state.EngineReports,
        clock: typing.Callable[[], float],
    ) -> None:
        self.engine_reports = engine_reports
        self.clock = clock

    def provide(self) -> bytes:
        """Return this process's section of a heartbeat, encoded."""
        states = {
            name: report.state
            for name, report in sorted(self.engine_reports.own().items())
        }
        return msgspec.msgpack.encode(states)

    def consume(self, member: str, data: bytes) -> None:
        """Apply the section of another member."""
        states = msgspec.msgpack.decode(data, type=States)
        requested_s = self.clock() - MAX_TRANSIT_S
        self.engine_reports.put_shared(
            member,
            {
                name: state.Report(engine_state, requested_s)
                for name, engine_state in states.items()
            },
        )
