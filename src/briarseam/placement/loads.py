"""Load of each endpoint, from this instance, its peers and other cells."""

from __future__ import annotations

import dataclasses
import secrets
import threading
import typing

import msgspec
import msgspec.structs

from briarseam import clocks
from briarseam.placement import work_notices

# Numbers of several peers are summed and published in messages that carry
# 64-bit integers.
MAX_NUMBER = 2**53
Number = typing.Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
# Endpoint id, followed by the fields of its Load.
Row = tuple[str, Number, Number, Number, Number]
# Service, number of requests that wait for it, and the most urgent priority
# among them.
WaitingRow = tuple[str, Number, Number]


class LoadReport(msgspec.Struct, array_like=True):
    """Complete load caused by one instance at one moment.

    Attributes
    ----------
    incarnation
        Random number of the instance's process.  A start time would fail
        after the clock is set back: a restarted process would be taken for
        an older one.
    sequence
        Number of changes in this incarnation.
    rows
        Load by endpoint.
    waiting
        Requests that wait for capacity, by service; not sent if there are
        none.  Older receivers ignore them.
    """

    incarnation: int
    sequence: int
    rows: list[Row]
    waiting: list[WaitingRow] = []

    def is_newer_than(self, other: LoadReport) -> bool:
        """Return whether this may be newer than an earlier report."""
        return (
            self.incarnation != other.incarnation
            or self.sequence > other.sequence
        )


INCARNATION_BITS = 53
NO_REPORT = LoadReport(-1, 0, [])


@dataclasses.dataclass(frozen=True)
class Load:
    """Load of one endpoint.

    Attributes
    ----------
    requests
        Requests sent and not yet answered.
    waiting_tokens
        Prompt tokens yet to be prefilled, of requests without a first event.
    running
        Streams that have started.
    memory_tokens
        Tokens of prompts and answers that the endpoint's memory must hold.
    """

    requests: int = 0
    waiting_tokens: int = 0
    running: int = 0
    memory_tokens: int = 0

    def plus(self, other: Load) -> Load:
        """Return the sum of two loads."""
        return Load(
            self.requests + other.requests,
            self.waiting_tokens + other.waiting_tokens,
            self.running + other.running,
            self.memory_tokens + other.memory_tokens,
        )

    def minus(self, other: Load) -> Load:
        """Return the difference of two loads."""
        return Load(
            self.requests - other.requests,
            self.waiting_tokens - other.waiting_tokens,
            self.running - other.running,
            self.memory_tokens - other.memory_tokens,
        )

    def times(self, factor: float) -> Load:
        """Return a multiple of this load, rounded."""
        return Load(
            round(self.requests * factor),
            round(self.waiting_tokens * factor),
            round(self.running * factor),
            round(self.memory_tokens * factor),
        )


NO_LOAD = Load()


@dataclasses.dataclass(frozen=True)
class CellTotals:
    """Load caused by all instances of another cell.

    Attributes
    ----------
    loads
        Load by endpoint.
    instances
        Number of instances in the cell.
    at_s
        Time at which it was received.
    """

    loads: dict[str, Load]
    instances: int
    at_s: float


def ignore_addition(endpoint: str, tokens: int, sequence: int) -> None:
    """Ignore an addition of waiting tokens."""


class Loads:
    """Load of endpoints; thread-safe.

    Parameters
    ----------
    reporting_instances, total_instances
        Return the number of instances that exchange their load with this
        one, itself included, and the number of all instances.  Each instance
        whose load is unknown is assumed to cause an average load.
    clock
        Seconds.

    Attributes
    ----------
    record_addition
        Called with the endpoint, the waiting tokens and the sequence number
        of each addition, before the report that contains it can be sent.
        Must not use the loads, whose lock is held.
    noticed
        Work that instances of other cells have just sent.
    """

    def __init__(
        self,
        reporting_instances: typing.Callable[[], int] = lambda: 1,
        total_instances: typing.Callable[[], int] = lambda: 1,
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.reporting_instances = reporting_instances
        self.total_instances = total_instances
        self.clock = clock
        self.own: dict[str, Load] = {}
        self.incarnation = secrets.randbits(INCARNATION_BITS)
        self.sequence = 0
        self.changed = threading.Event()
        self.record_addition: typing.Callable[[str, int, int], None] = (
            ignore_addition
        )
        self.last_reports: dict[str, LoadReport] = {}
        self.peers: dict[str, dict[str, Load]] = {}
        self.peer_totals: dict[str, Load] = {}
        self.cells: dict[str, CellTotals] = {}
        self.noticed = work_notices.NoticedWork(clock)
        self.waiting: list[WaitingRow] = []
        self.peer_waiting: dict[str, list[WaitingRow]] = {}
        self.lock = threading.Lock()
        self.decreased = threading.Condition(self.lock)
        self.decreases = 0

    def add(self, endpoint: str, load: Load) -> None:
        """Add to this instance's load of an endpoint."""
        with self.lock:
            self.own[endpoint] = self.own.get(endpoint, NO_LOAD).plus(load)
            self.record_addition(
                endpoint, load.waiting_tokens, self.sequence + 1
            )
            self.record_change()

    def subtract(self, endpoint: str, load: Load) -> None:
        """Subtract from this instance's load of an endpoint."""
        with self.lock:
            remaining = self.own.get(endpoint, NO_LOAD).minus(load)
            if remaining == NO_LOAD:
                self.own.pop(endpoint, None)
            else:
                self.own[endpoint] = remaining
            self.record_change()
            self.record_decrease()

    def record_change(self) -> None:
        """Count a change of this instance's load; requires the lock."""
        self.sequence += 1
        self.changed.set()

    def set_waiting(self, rows: list[WaitingRow]) -> None:
        """Replace the requests that wait at this instance."""
        with self.lock:
            if rows != self.waiting:
                self.waiting = rows
                self.record_change()

    def waiting_at_peers(self, service: str) -> int:
        """Return the number of requests that wait at peers for a service."""
        with self.lock:
            return sum(
                count
                for rows in self.peer_waiting.values()
                for name, count, _priority in rows
                if name == service
            )

    def record_decrease(self) -> None:
        """Count a possible decrease of a load; requires the lock."""
        self.decreases += 1
        self.decreased.notify_all()

    def wait_for_decrease(self, timeout_s: float) -> None:
        """Wait until the load may have decreased, locally or elsewhere."""
        with self.lock:
            self.decreased.wait(timeout_s)

    def wait_for_decrease_since(self, count: int, timeout_s: float) -> int:
        """Wait until there were more decreases than a number.

        A decrease since that number was read is not missed.

        Returns
        -------
        int
            The number of decreases.
        """
        with self.lock:
            self.decreased.wait_for(lambda: self.decreases != count, timeout_s)
            return self.decreases

    def of(self, endpoint: str) -> Load:
        """Return the total load of an endpoint, estimated where unknown."""
        return self.of_all([endpoint])[0]

    def of_all(self, endpoints: typing.Iterable[str]) -> list[Load]:
        """Return the total loads of several endpoints, read at one moment."""
        with self.lock:
            noticed = self.noticed.current()
            found = [
                self.known_of(endpoint, noticed.get(endpoint, 0))
                for endpoint in endpoints
            ]
            instances = self.reporting_instances() + sum(
                cell.instances for cell in self.cells.values()
            )
        share = instances / max(self.total_instances(), 1)
        if share >= 1.0:
            return found
        return [known.times(1.0 / share) for known in found]

    def known_of(self, endpoint: str, noticed_tokens: int) -> Load:
        """Return the known load of an endpoint; requires the lock.

        Parameters
        ----------
        endpoint
            The endpoint.
        noticed_tokens
            Waiting tokens there that notices of other cells add.
        """
        known = self.own.get(endpoint, NO_LOAD)
        peers = self.peer_totals.get(endpoint)
        if peers is not None:
            known = peers if known is NO_LOAD else known.plus(peers)
        for cell in self.cells.values():
            if endpoint in cell.loads:
                known = known.plus(cell.loads[endpoint])
        if noticed_tokens:
            known = known.plus(Load(waiting_tokens=noticed_tokens))
        return known

    def cell_loads(self) -> dict[str, Load]:
        """Return the local cell's load of each endpoint."""
        with self.lock:
            names = self.own.keys() | self.peer_totals.keys()
            return {
                name: self.own.get(name, NO_LOAD).plus(
                    self.peer_totals.get(name, NO_LOAD)
                )
                for name in names
            }

    def included(self, local_name: str) -> list[work_notices.Included]:
        """Return the changes that the local cell's load includes.

        Load that is read after this includes at least these changes.
        """
        with self.lock:
            return [
                (local_name, self.incarnation, self.sequence),
                *(
                    (name, report.incarnation, report.sequence)
                    for name, report in self.last_reports.items()
                ),
            ]

    def set_cell(
        self, cell: str, loads: dict[str, Load], instances: int
    ) -> None:
        """Replace the load of another cell."""
        with self.lock:
            self.cells[cell] = CellTotals(loads, instances, self.clock())
            self.record_decrease()

    def expire_cells(self, age_s: float) -> None:
        """Drop loads of other cells that were received too long ago."""
        oldest_s = self.clock() - age_s
        with self.lock:
            self.cells = {
                name: cell
                for name, cell in self.cells.items()
                if cell.at_s > oldest_s
            }

    def provide(self) -> bytes:
        """Return this instance's load report, for its peers."""
        with self.lock:
            rows: list[Row] = [
                (
                    name,
                    load.requests,
                    load.waiting_tokens,
                    load.running,
                    load.memory_tokens,
                )
                for name, load in self.own.items()
            ]
            report = LoadReport(
                self.incarnation, self.sequence, rows, self.waiting
            )
        fields = msgspec.structs.astuple(report)
        # Without waiting requests, as an older version sends it.
        return msgspec.msgpack.encode(fields if report.waiting else fields[:3])

    def consume(self, member: str, data: bytes) -> None:
        """Apply a peer's load report, unless a newer one is already applied.

        Guard: reports arrive by heartbeats and by datagrams, in any order.
        Applying an older one would restore load that has ended, until the
        peer's next change.
        """
        report = msgspec.msgpack.decode(data, type=LoadReport)
        loads = {name: Load(*numbers) for name, *numbers in report.rows}
        with self.lock:
            if not report.is_newer_than(
                self.last_reports.get(member, NO_REPORT)
            ):
                return
            self.last_reports[member] = LoadReport(
                report.incarnation, report.sequence, []
            )
            self.replace(member, loads)
            self.peer_waiting[member] = report.waiting
            self.record_decrease()

    def keep_only(self, members: frozenset[str]) -> None:
        """Drop the loads of all peers but these."""
        self.noticed.keep_only(members)
        with self.lock:
            for name in self.peers.keys() - members:
                self.replace(name, {})
                del self.peers[name]
                self.peer_waiting.pop(name, None)
                self.last_reports.pop(name, None)

    def replace(self, member: str, loads: dict[str, Load]) -> None:
        """Replace a peer's load; requires the lock.

        Totals over all peers are maintained because each request reads them
        for every endpoint.
        """
        for endpoint, load in self.peers.get(member, {}).items():
            self.peer_totals[endpoint] = self.peer_totals[endpoint].minus(load)
            if self.peer_totals[endpoint] == NO_LOAD:
                del self.peer_totals[endpoint]
        for endpoint, load in loads.items():
            self.peer_totals[endpoint] = self.peer_totals.get(
                endpoint, NO_LOAD
            ).plus(load)
        self.peers[member] = loads
