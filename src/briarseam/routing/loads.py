"""Load of the engines: one agent polls each engine and publishes its load.

If all agents polled all engines, a cell of 32 agents and 139 engines would
use more bytes than all control traffic may use.  So the agent that ranks
first for an engine polls it, and its reports travel on heartbeats.
"""

from __future__ import annotations

import dataclasses
import threading
import time
import typing

import msgspec
import xxhash

from briarseam.cache import pieces
from briarseam.configuration import schema
from briarseam.configuration import values
from briarseam.endpoints import engine_load

POLL_S = 0.5
MAX_LAG_S = 5.0
FORGET_AFTER_S = 5.0
# Polls, reports on heartbeats and the engines' own lag together normally
# take about two seconds.
SILENT_AFTER_S = 3.0
MS = 1000.0


@dataclasses.dataclass(frozen=True)
class Load:
    """Last known load of an engine.

    Attributes
    ----------
    busy
        Number of runs, in slots and queued.
    slots
        Maximum number of concurrent runs.
    cache_pieces
        Capacity of the prefix cache, in pieces.
    as_of
        This agent's monotonic time when the load was measured, in seconds;
        an estimate.
    boot_id
        Id of the engine's start.
    is_local
        Whether this agent polled the engine itself.
    """

    busy: int
    slots: int
    cache_pieces: int
    as_of: float
    boot_id: str
    is_local: bool


class SharedLoad(typing.NamedTuple):
    """One engine's load on a heartbeat.

    It is sent to every member each second, so it is encoded as an array:
    field names would take half of its bytes.
    """

    busy: int
    slots: int
    cache_pieces: int
    age_ms: int
    boot_id: str


@dataclasses.dataclass(frozen=True)
class SharedSection:
    """Heartbeat section with the loads that an agent publishes.

    Attributes
    ----------
    loads
        Loads of the engines that the agent polls.
    runs
        The agent's own active runs by engine, for engines that do not
        report.
    """

    loads: dict[str, SharedLoad]
    runs: dict[str, int]


Names = typing.Callable[[], typing.Sequence[str]]


class Loads:
    """Known loads; thread-safe.

    Parameters
    ----------
    view
        Returns the current configuration.
    own_name
        This agent's name.
    members
        Returns the names of the agents that share the polling, including
        this one.
    own_run_counts
        Returns this agent's own active runs by endpoint.
    clock
        Monotonic seconds.
    """

    def __init__(
        self,
        view: typing.Callable[[], schema.View],
        own_name: str,
        members: Names,
        own_run_counts: typing.Callable[[], dict[str, int]],
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self.view = view
        self.own_name = own_name
        self.members = members
        self.own_run_counts = own_run_counts
        self.clock = clock
        self.known: dict[str, Load] = {}
        self.peer_runs: dict[str, PeerRuns] = {}
        self.pollers: dict[str, Poller] = {}
        self.assignment = Assignment({}, (), {})
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.update_pollers, name="loads", daemon=True
        )

    def start(self) -> None:
        """Start polling."""
        self.thread.start()

    def stop(self) -> None:
        """Stop polling."""
        self.stopping.set()
        for poller in list(self.pollers.values()):
            poller.stopping.set()

    def get(self, endpoint: str) -> Load | None:
        """Return an engine's load, ``None`` if it is unknown or too old."""
        load = self.known.get(endpoint)
        if load is None or self.clock() - load.as_of > FORGET_AFTER_S:
            return None
        return load

    def reporting(self, names: list[str]) -> list[str]:
        """Return the engines without those that have stopped reporting.

        Guard: a frozen engine accepts connections and answers nothing.  Its
        load would be unknown and thus look idle, and each request sent there
        would wait for a timeout.  If more than half of the engines are
        silent at once, the reports are at fault and not the engines, so all
        are returned.
        """
        oldest = self.clock() - SILENT_AFTER_S
        reporting = [
            name
            for name in names
            if (load := self.known.get(name)) is None or load.as_of >= oldest
        ]
        return reporting if 2 * len(reporting) >= len(names) else names

    def peer_run_count(self, endpoint: str) -> int:
        """Return the published active runs of other agents at an endpoint."""
        oldest = self.clock() - FORGET_AFTER_S
        return sum(
            one.runs.get(endpoint, 0)
            for one in list(self.peer_runs.values())
            if one.received_at >= oldest
        )

    def assigned(self) -> dict[str, str]:
        """Return the addresses of the engines that this agent polls.

        Computed again only when endpoints or members have changed, since it
        ranks every engine over every member and is called twice a second.
        """
        endpoints = self.view().endpoints
        members = tuple(self.members())
        assignment = self.assignment
        if assignment.endpoints is endpoints and assignment.members == members:
            return assignment.addresses
        addresses = {
            name: endpoint.address
            for name, endpoint in endpoints.items()
            if endpoint.kind is values.EndpointKind.ENGINE
            and poller_of(name, members or (self.own_name,)) == self.own_name
        }
        self.assignment = Assignment(endpoints, members, addresses)
        return addresses

    def update_pollers(self) -> None:
        """Run one poller for each assigned engine until stopped."""
        while not self.stopping.is_set():
            assigned = self.assigned()
            for name, poller in list(self.pollers.items()):
                if assigned.get(name) != poller.address:
                    self.pollers.pop(name).stopping.set()
            self.forget_removed()
            for name, address in assigned.items():
                if name not in self.pollers:
                    self.pollers[name] = Poller(name, address, self)
                    self.pollers[name].start()
            self.stopping.wait(POLL_S)

    def forget_removed(self) -> None:
        """Drop the loads of engines that are no longer configured."""
        endpoints = self.view().endpoints
        for name in [one for one in list(self.known) if one not in endpoints]:
            self.known.pop(name, None)

    def provide(self) -> bytes:
        """Return this agent's heartbeat section."""
        now = self.clock()
        loads = {
            name: SharedLoad(
                busy=load.busy,
                slots=load.slots,
                cache_pieces=load.cache_pieces,
                age_ms=int((now - load.as_of) * MS),
                boot_id=load.boot_id,
            )
            for name, load in list(self.known.items())
            if load.is_local and now - load.as_of < FORGET_AFTER_S
        }
        runs = {
            name: count
            for name, count in self.own_run_counts().items()
            if not self.is_reporting(name, now)
        }
        return msgspec.msgpack.encode(SharedSection(loads, runs))

    def is_reporting(self, endpoint: str, now: float) -> bool:
        """Return whether an engine's own report is recent enough.

        An engine's report includes the runs of all agents.  If each agent
        published its own counts as well, each second to all others, they
        would take most of the bytes of a large cell.  They are published
        only for an engine that is silent, before its last report expires.
        """
        load = self.known.get(endpoint)
        return load is not None and now - load.as_of <= SILENT_AFTER_S

    def consume(self, member: str, data: bytes) -> None:
        """Apply another agent's heartbeat section."""
        section = msgspec.msgpack.decode(data, type=SharedSection)
        now = self.clock()
        for peer, runs in list(self.peer_runs.items()):
            if now - runs.received_at > FORGET_AFTER_S:
                self.peer_runs.pop(peer, None)
        self.peer_runs[member] = PeerRuns(section.runs, now)
        for name, shared in section.loads.items():
            as_of = now - shared.age_ms / MS
            known = self.known.get(name)
            if known is not None and known.as_of >= as_of:
                continue
            self.known[name] = Load(
                busy=shared.busy,
                slots=shared.slots,
                cache_pieces=shared.cache_pieces,
                as_of=as_of,
                boot_id=shared.boot_id,
                is_local=False,
            )


@dataclasses.dataclass(frozen=True)
class Assignment:
    """The engines that this agent polls, and what they are derived from.

    Attributes
    ----------
    endpoints
        Endpoints of the configuration.
    members
        Names of the agents that share the polling.
    addresses
        Addresses of this agent's engines, by name.
    """

    endpoints: typing.Mapping[str, values.Endpoint]
    members: tuple[str, ...]
    addresses: dict[str, str]


def poller_of(endpoint: str, members: typing.Sequence[str]) -> str:
    """Return the agent that polls an engine."""
    return max(
        members,
        key=lambda name: xxhash.xxh64_intdigest(
            f"{endpoint}\0{name}".encode()
        ),
    )


@dataclasses.dataclass(frozen=True)
class PeerRuns:
    """Another agent's active runs by engine, and when they were received."""

    runs: dict[str, int]
    received_at: float


class Poller:
    """A thread that polls one engine.

    Parameters
    ----------
    name, address
        Name and address of the engine.
    loads
        Receives the reports.
    """

    def __init__(self, name: str, address: str, loads: Loads) -> None:
        self.name = name
        self.address = address
        self.loads = loads
        self.client = engine_load.LoadClient()
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.poll, name=f"load-{name}", daemon=True
        )

    def start(self) -> None:
        """Start polling."""
        self.thread.start()

    def poll(self) -> None:
        """Poll until stopped."""
        while not self.stopping.wait(POLL_S):
            try:
                report = self.client.read(self.address)
            except engine_load.LoadUnavailableError:
                # The last report expires by itself.
                continue
            self.record(report)

    def record(self, report: engine_load.LoadReport) -> None:
        """Store a report as the engine's load."""
        # The age of a report follows from comparing two clocks; a wrong
        # clock would make it look current or very old, so the age is
        # bounded.  A wrong prediction costs time only.
        lag_s = time.time() - report.time_ms / MS
        lag_s = min(max(lag_s, 0.0), MAX_LAG_S)
        self.loads.known[self.name] = Load(
            busy=report.running + report.queued,
            slots=report.slots,
            cache_pieces=report.cache_capacity_tokens // pieces.PIECE_TOKENS,
            as_of=self.loads.clock() - lag_s,
            boot_id=report.boot_id,
            is_local=True,
        )
