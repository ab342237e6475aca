"""Load of the engines: each is polled by one agent, which tells the others.

All agents polling all engines would cost a cell of 32 agents and 139
engines more bytes than the whole of control may use; so the agent that
ranks first for an engine polls it, and its reports ride on heartbeats.
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
# Polls, reports on heartbeats and the engines' own lag together take about
# two seconds when all is well.
SILENT_AFTER_S = 3.0
MS = 1000.0


@dataclasses.dataclass(frozen=True)
class Load:
    """An engine's load as it is known here.

    Attributes
    ----------
    busy
        Runs it had, in slots and waiting.
    slots
        Runs at a time.
    cache_pieces
        Pieces its prefix cache holds.
    as_of
        This agent's monotonic time when that was true, in seconds, as
        well as can be told.
    boot_id
        Differs after each start of the engine.
    from_here
        Whether this agent polled it itself.
    """

    busy: int
    slots: int
    cache_pieces: int
    as_of: float
    boot_id: str
    from_here: bool


class SharedLoad(typing.NamedTuple):
    """One engine's load on a heartbeat.

    It rides to every member each second, so it goes as an array: the names
    of its fields would be half of its bytes.
    """

    busy: int
    slots: int
    cache: int
    age_ms: int
    boot: str


@dataclasses.dataclass(frozen=True)
class SharedSection:
    """What an agent tells of engines.

    Attributes
    ----------
    loads
        Reports of the engines it polls.
    runs
        Its own runs under way by engine, of engines that do not report.
    """

    loads: dict[str, SharedLoad]
    runs: dict[str, int]


Names = typing.Callable[[], typing.Sequence[str]]


class Loads:
    """Known loads; safe for several threads.

    Parameters
    ----------
    view
        Present configuration.
    me
        This agent's name.
    members
        Names of the agents that share the polling, this one included.
    counts
        This agent's own runs under way by endpoint.
    clock
        Monotonic seconds.
    """

    def __init__(
        self,
        view: typing.Callable[[], schema.View],
        me: str,
        members: Names,
        counts: typing.Callable[[], dict[str, int]],
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self.view = view
        self.me = me
        self.members = members
        self.counts = counts
        self.clock = clock
        self.known: dict[str, Load] = {}
        self.others_runs: dict[str, OthersRuns] = {}
        self.pollers: dict[str, Poller] = {}
        self.share = Share({}, (), {})
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.match_pollers, name="loads", daemon=True
        )

    def start(self) -> None:
        """Begin polling."""
        self.thread.start()

    def stop(self) -> None:
        """Stop polling."""
        self.stopping.set()
        for poller in list(self.pollers.values()):
            poller.stopping.set()

    def get(self, endpoint: str) -> Load | None:
        """Return an engine's load unless it is too old to be of use."""
        load = self.known.get(endpoint)
        if load is None or self.clock() - load.as_of > FORGET_AFTER_S:
            return None
        return load

    def reporting(self, names: list[str]) -> list[str]:
        """Return the engines that still report, of those that ever did.

        Guard: a frozen engine takes connections and answers nothing.  Its
        load would be unknown and thus look idle, and every request that
        went there would wait for a timeout.  When most are silent at once,
        the reports are at fault and not the engines; then all stay in.
        """
        oldest = self.clock() - SILENT_AFTER_S
        heard = [
            name
            for name in names
            if (load := self.known.get(name)) is None or load.as_of >= oldest
        ]
        return heard if 2 * len(heard) >= len(names) else names

    def others(self, endpoint: str) -> int:
        """Return the runs that other agents have under way there."""
        oldest = self.clock() - FORGET_AFTER_S
        return sum(
            one.runs.get(endpoint, 0)
            for one in list(self.others_runs.values())
            if one.heard_at >= oldest
        )

    def wanted(self) -> dict[str, str]:
        """Return the addresses of the engines that this agent polls.

        Worked out anew only when endpoints or members have changed: every
        engine is ranked over every member, twice a second.
        """
        endpoints = self.view().endpoints
        members = tuple(self.members())
        share = self.share
        if share.endpoints is endpoints and share.members == members:
            return share.addresses
        addresses = {
            name: endpoint.address
            for name, endpoint in endpoints.items()
            if endpoint.kind is values.EndpointKind.ENGINE
            and owner(name, members or (self.me,)) == self.me
        }
        self.share = Share(endpoints, members, addresses)
        return addresses

    def match_pollers(self) -> None:
        """Keep one poller for each engine that this agent owns."""
        while not self.stopping.is_set():
            wanted = self.wanted()
            for name, poller in list(self.pollers.items()):
                if wanted.get(name) != poller.address:
                    self.pollers.pop(name).stopping.set()
            self.forget_gone()
            for name, address in wanted.items():
                if name not in self.pollers:
                    self.pollers[name] = Poller(name, address, self)
                    self.pollers[name].start()
            self.stopping.wait(POLL_S)

    def forget_gone(self) -> None:
        """Drop the loads of engines that are not configured any more."""
        endpoints = self.view().endpoints
        for name in [one for one in list(self.known) if one not in endpoints]:
            self.known.pop(name, None)

    def provide(self) -> bytes:
        """Return this agent's section of a heartbeat."""
        now = self.clock()
        loads = {
            name: SharedLoad(
                busy=load.busy,
                slots=load.slots,
                cache=load.cache_pieces,
                age_ms=int((now - load.as_of) * MS),
                boot=load.boot_id,
            )
            for name, load in list(self.known.items())
            if load.from_here and now - load.as_of < FORGET_AFTER_S
        }
        runs = {
            name: count
            for name, count in self.counts().items()
            if not self.is_reported(name, now)
        }
        return msgspec.msgpack.encode(SharedSection(loads, runs))

    def is_reported(self, endpoint: str, now: float) -> bool:
        """Tell whether an engine's own report will do for everybody.

        What an engine reports holds the runs of all agents.  Each agent's
        counts besides, told to all others each second, would take most of
        the bytes of a large cell; so they are told only of an engine that
        is silent, before its last report is forgotten.
        """
        load = self.known.get(endpoint)
        return load is not None and now - load.as_of <= SILENT_AFTER_S

    def consume(self, member: str, data: bytes) -> None:
        """Take in another agent's section."""
        section = msgspec.msgpack.decode(data, type=SharedSection)
        now = self.clock()
        for other, runs in list(self.others_runs.items()):
            if now - runs.heard_at > FORGET_AFTER_S:
                self.others_runs.pop(other, None)
        self.others_runs[member] = OthersRuns(section.runs, now)
        for name, shared in section.loads.items():
            as_of = now - shared.age_ms / MS
            mine = self.known.get(name)
            if mine is not None and mine.as_of >= as_of:
                continue
            self.known[name] = Load(
                busy=shared.busy,
                slots=shared.slots,
                cache_pieces=shared.cache,
                as_of=as_of,
                boot_id=shared.boot,
                from_here=False,
            )


@dataclasses.dataclass(frozen=True)
class Share:
    """The engines that this agent polls, and what that follows from.

    Attributes
    ----------
    endpoints
        Of the configuration.
    members
        Names of the agents that share the polling.
    addresses
        Of this agent's engines, by name.
    """

    endpoints: typing.Mapping[str, values.Endpoint]
    members: tuple[str, ...]
    addresses: dict[str, str]


def owner(endpoint: str, members: typing.Sequence[str]) -> str:
    """Return which of some agents polls an engine."""
    return max(
        members,
        key=lambda name: xxhash.xxh64_intdigest(
            f"{endpoint}\0{name}".encode()
        ),
    )


@dataclasses.dataclass(frozen=True)
class OthersRuns:
    """Another agent's runs under way by engine, and when it said so."""

    runs: dict[str, int]
    heard_at: float


class Poller:
    """A thread that polls one engine.

    Parameters
    ----------
    name, address
        The engine.
    loads
        Where reports go.
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
        """Begin polling."""
        self.thread.start()

    def poll(self) -> None:
        """Poll until stopped."""
        while not self.stopping.wait(POLL_S):
            try:
                report = self.client.read(self.address)
            except engine_load.LoadUnavailableError:
                # Its last report ages out by itself.
                continue
            self.take(report)

    def take(self, report: engine_load.LoadReport) -> None:
        """Keep a report."""
        # The age of a report can only be told by comparing two clocks; a
        # wrong clock would make it look current or ancient, so the age is
        # bounded, and a prediction that is off costs time and nothing else.
        lag_s = time.time() - report.time_ms / MS
        lag_s = min(max(lag_s, 0.0), MAX_LAG_S)
        self.loads.known[self.name] = Load(
            busy=report.running + report.queued,
            slots=report.slots,
            cache_pieces=report.cache_capacity_tokens // pieces.PIECE_TOKENS,
            as_of=self.loads.clock() - lag_s,
            boot_id=report.boot_id,
            from_here=True,
        )
