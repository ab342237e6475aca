"""Polling the states of the engines, with one thread for each engine."""

from __future__ import annotations

import dataclasses
import threading
import typing

from briarseam.endpoints import engine_orders
from briarseam.orders import state

# Engines that no member reports are polled by every member.  Without a
# limit the start of a large deployment would create thousands of threads.
MAX_UNREPORTED_POLLED = 64
IDLE_INTERVAL_S = 1.0
BUSY_INTERVAL_S = 0.2


class Poller:
    """A thread that polls the state of one engine.

    Parameters
    ----------
    name, address
        Of the engine.
    engines
        Client of the engines.
    engine_reports
        Receives the reports.
    clock
        Returns seconds.
    interval_s
        Returns the current time between two reads, in seconds.
    """

    def __init__(
        self,
        name: str,
        address: str,
        engines: engine_orders.OrderClient,
        engine_reports: state.EngineReports,
        clock: typing.Callable[[], float],
        interval_s: typing.Callable[[], float],
    ) -> None:
        self.name = name
        self.address = address
        self.engines = engines
        self.engine_reports = engine_reports
        self.clock = clock
        self.interval_s = interval_s
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.poll, name=f"state-{name}", daemon=True
        )

    def poll(self) -> None:
        """Read until stopped."""
        while not self.stopping.is_set():
            self.read()
            self.stopping.wait(self.interval_s())
        self.engine_reports.remove(self.name)

    def read(self) -> None:
        """Read once; remove the report when it is too old to use."""
        requested_s = self.clock()
        try:
            engine_state = self.engines.state(self.address)
        except engine_orders.StateUnavailableError:
            self.engine_reports.remove_older(
                self.name, requested_s - state.MAX_AGE_S
            )
            return
        if not self.stopping.is_set():
            self.engine_reports.put(
                self.name, state.Report(engine_state, requested_s)
            )


@dataclasses.dataclass(frozen=True)
class PollerInputs:
    """What determines which engines this process polls.

    Attributes
    ----------
    addresses, ordered, members
        As in :meth:`Pollers.update`.
    reported
        Engines that other members report.
    """

    addresses: typing.Mapping[str, str]
    ordered: frozenset[str]
    members: frozenset[str]
    reported: frozenset[str]


class Pollers:
    """Runs the pollers that this process needs.

    An engine is polled by the member that owns it, which publishes the
    report on its heartbeats, by the process that sends it orders, and by
    every member while no member reports it.

    Parameters
    ----------
    engines, engine_reports, clock
        As in :class:`Poller`.
    owns
        Whether this process polls an engine on behalf of all members.

    Attributes
    ----------
    busy
        Whether orders are pending, which shortens the interval.
    inputs
        What the running pollers were chosen from.
    pollers
        Running pollers, by engine.
    """

    def __init__(
        self,
        engines: engine_orders.OrderClient,
        engine_reports: state.EngineReports,
        clock: typing.Callable[[], float],
        owns: typing.Callable[[str], bool],
    ) -> None:
        self.engines = engines
        self.engine_reports = engine_reports
        self.clock = clock
        self.owns = owns
        self.busy = False
        self.inputs: PollerInputs | None = None
        self.pollers: dict[str, Poller] = {}

    def interval_s(self) -> float:
        """Return the time between two reads, in seconds."""
        return BUSY_INTERVAL_S if self.busy else IDLE_INTERVAL_S

    def update(
        self,
        addresses: typing.Mapping[str, str],
        ordered: frozenset[str],
        members: frozenset[str],
    ) -> None:
        """Poll the engines that are owned, ordered or not reported.

        Ownership is recomputed only when one of its inputs has changed.

        Parameters
        ----------
        addresses
            Of all engines, by name; a change replaces the whole mapping.
        ordered
            Engines that this process sends orders to.
        members
            Members that share the polling.
        """
        reported = frozenset(self.engine_reports.shared_names())
        inputs = PollerInputs(addresses, ordered, members, reported)
        if inputs == self.inputs:
            return
        self.inputs = inputs
        unreported = [name for name in addresses if name not in reported]
        desired = ordered.union(unreported[:MAX_UNREPORTED_POLLED])
        self.poll_only(
            {
                name: address
                for name, address in addresses.items()
                if name in desired or self.owns(name)
            }
        )

    def poll_only(self, addresses: typing.Mapping[str, str]) -> None:
        """Start and stop pollers so that only these engines are polled."""
        for name, poller in list(self.pollers.items()):
            if addresses.get(name) != poller.address:
                poller.stopping.set()
                del self.pollers[name]
                self.engine_reports.remove(name)
        for name, address in addresses.items():
            if name not in self.pollers:
                self.pollers[name] = self.start(name, address)

    def start(self, name: str, address: str) -> Poller:
        """Start a poller and return it."""
        poller = Poller(
            name,
            address,
            self.engines,
            self.engine_reports,
            self.clock,
            self.interval_s,
        )
        poller.thread.start()
        return poller

    def stop(self) -> None:
        """Stop all pollers."""
        self.poll_only({})
