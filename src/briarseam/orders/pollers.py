"""Reading the engines' states: one thread for each engine."""

from __future__ import annotations

import dataclasses
import threading
import typing

from briarseam.endpoints import engine_orders
from briarseam.orders import state

# Engines of which nobody reports are polled by everybody; were it all of a
# large deployment at a start, it would be thousands of threads.
MAX_UNREPORTED_POLLED = 64
IDLE_INTERVAL_S = 1.0
BUSY_INTERVAL_S = 0.2


class Poller:
    """The thread that reads one engine's state.

    Parameters
    ----------
    name, address
        Of the engine.
    engines
        The adapter.
    engine_reports
        Takes the reports.
    clock
        Seconds.
    interval_s
        Returns the present time between two reads.
    """

    def __init__(
        self,
        name: str,
        address: str,
        engines: engine_orders.EngineOrders,
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
        """Read once; forget the engine when it is silent for too long."""
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
    """What the choice of pollers follows from."""

    addresses: typing.Mapping[str, str]
    ordered: frozenset[str]
    members: frozenset[str]
    reported: frozenset[str]


class Pollers:
    """Keeps the pollers that this process needs.

    Each engine is polled by the member that owns it, which tells the
    others on its heartbeats; by whoever gives it orders; and by everybody
    while no member reports it.

    Parameters
    ----------
    engines, engine_reports, clock
        As in :class:`Poller`.
    owns
        Whether this process polls an engine for all members.
    """

    def __init__(
        self,
        engines: engine_orders.EngineOrders,
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
        """Poll what is owned, ordered or not reported.

        Ownership is worked out anew only when something that it follows
        from has changed.

        Parameters
        ----------
        addresses
            Of all engines, by name; replaced as a whole on a change.
        ordered
            Engines that this process gives orders to.
        members
            Those that share the polling.
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
        """Poll these engines and no others."""
        for name, poller in list(self.pollers.items()):
            if addresses.get(name) != poller.address:
                poller.stopping.set()
                del self.pollers[name]
                self.engine_reports.remove(name)
        for name, address in addresses.items():
            if name not in self.pollers:
                self.pollers[name] = self.start(name, address)

    def start(self, name: str, address: str) -> Poller:
        """Return a new poller, running."""
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
        """Stop all."""
        self.poll_only({})
