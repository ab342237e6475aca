"""The thread of a process that brings engines to the desired state."""

from __future__ import annotations

import threading
import typing

import structlog

from briarseam import clocks
from briarseam.configuration import schema
from briarseam.orders import goals
from briarseam.orders import issuer as issuer_module
from briarseam.orders import messages
from briarseam.orders import offers
from briarseam.orders import peers as peers_module
from briarseam.orders import pollers
from briarseam.orders import reporting
from briarseam.orders import rollout
from briarseam.orders import sharing
from briarseam.orders import state

if typing.TYPE_CHECKING:
    from briarseam.endpoints import engine_orders
    from briarseam.leases import service as leases_service
    from briarseam.metrics import registry
    from briarseam.wire import server

TICK_S = 0.2
# Large enough that not all candidates fail or lose the log at once.
CANDIDATES_PER_SCOPE = 8
NO_OFFERS: state.Offers = {}
NO_COUNTS: typing.Mapping[state.Offer, int] = {}
log = structlog.get_logger("briarseam.orders")


class Orders:
    """Sends orders to engines while this process holds their lease.

    Parameters
    ----------
    own_name
        Name of this process.
    view
        Returns the current configuration.
    leases
        Leases with their fencing numbers.
    engines
        Client of the engines.
    metrics
        Registry of the metrics.
    record_event
        Records an event on the time line.
    peers
        The other processes that may issue orders.
    clock
        Returns seconds; the clock of the leases.
    """

    def __init__(
        self,
        own_name: str,
        view: typing.Callable[[], schema.View],
        leases: leases_service.Leases,
        engines: engine_orders.OrderClient,
        metrics: registry.Registry,
        record_event: issuer_module.EventRecorder,
        peers: peers_module.Peers = peers_module.NO_PEERS,
        clock: issuer_module.Clock = clocks.boot_clock,
    ) -> None:
        self.own_name = own_name
        self.view = view
        self.leases = leases
        self.clock = clock
        self.engine_reports = state.EngineReports()
        self.peers = peers
        self.reporting = reporting.Reporting(
            own_name, leases, self.engine_reports, peers, clock
        )
        self.pollers = pollers.Pollers(
            engines, self.engine_reports, clock, peers.owns
        )
        self.sharing = sharing.Sharing(self.engine_reports, clock)
        self.context = issuer_module.Context(
            leases=leases,
            engines=engines,
            engine_reports=self.engine_reports,
            clock=clock,
            record_event=record_event,
            precedence=peers.precedence,
            orders_given=metrics.counters(
                "orders_given_total",
                "Orders given to engines, by kind and outcome.",
                ("kind", "outcome"),
            ),
        )
        metrics.callback_gauge(
            "rollouts_stuck",
            "Models whose rollout has not moved for long.",
            self.reporting.count_stuck,
        )
        metrics.callback_gauge(
            "leases_held",
            "Leases held by this process.",
            lambda: len(leases.held()),
        )
        self.current_view = schema.View(offset=-1)
        self.scopes: tuple[goals.Scope, ...] = ()
        self.addresses: dict[str, str] = {}
        self.rollouts: dict[str, rollout.Rollout] = {}
        self.former_adapters: dict[str, str] = {}
        self.reports: dict[str, state.Report] = {}
        self.versions: dict[str, dict[str, str]] = {}
        self.offers_by_model: dict[str, state.Offers] = {}
        self.counts: dict[str, dict[state.Offer, int]] = {}
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name="orders", daemon=True
        )

    def register(self, router: server.Router) -> None:
        """Register the handler of operators' queries."""
        self.reporting.register(router)

    def start(self) -> None:
        """Start the thread that polls engines and issues orders."""
        self.thread.start()

    def stop(self) -> None:
        """Stop issuing orders and polling engines."""
        self.stopping.set()
        self.engine_reports.changed.set()
        if self.thread.is_alive():
            self.thread.join()
        self.pollers.stop()

    def serving_versions(
        self,
    ) -> typing.Mapping[str, typing.Mapping[str, str]]:
        """Return the reported versions, by engine and model."""
        return self.versions

    def offers(self, model: str) -> state.Offers:
        """Return the engines that may serve new requests of a model.

        Each engine comes with the version and adapter that the request
        has to name, so that an engine that has changed in the meantime
        refuses the request.
        """
        return self.offers_by_model.get(model, NO_OFFERS)

    def offer_counts(self, model: str) -> typing.Mapping[state.Offer, int]:
        """Return how many engines make each offer for a model."""
        return self.counts.get(model, NO_COUNTS)

    def serves(self, endpoint: str, model: str, offer: state.Offer) -> bool:
        """Return whether an engine reports the version and adapter."""
        report = self.reports.get(endpoint)
        loaded = report.state.models.get(model) if report else None
        if loaded is None or loaded.version != offer.version:
            return False
        return not offer.adapter or offer.adapter in loaded.adapters

    def status(self) -> tuple[messages.ModelRollout, ...]:
        """Return the progress of each model as this process sees it."""
        return self.reporting.status()

    def run(self) -> None:
        """Compare states and issue orders until stopped."""
        while not self.stopping.is_set():
            try:
                self.tick()
            except Exception:
                log.exception("orders_failed")
            self.engine_reports.changed.wait(TICK_S)

    def tick(self) -> None:
        """Apply changes and send the orders that are due.

        The comparison takes time proportional to the number of engines.
        It runs only when the configuration or a report has changed, or
        while work remains.
        """
        view = self.view()
        self.engine_reports.retain_members(self.peers.reporting())
        if view is not self.current_view:
            self.apply_view(view)
        elif (
            not self.engine_reports.changed.is_set() and not self.pollers.busy
        ):
            self.update_pollers()
            return
        self.engine_reports.changed.clear()
        self.update_offers()
        busy = False
        for scope in self.scopes:
            if self.is_candidate(scope):
                work = self.rollouts[scope.lease]
                busy = work.step(scope, view.offset) or busy
        self.pollers.busy = busy
        self.update_pollers()
        self.reporting.update()

    def apply_view(self, view: schema.View) -> None:
        """Apply a change of the configuration."""
        for name, model in self.current_view.models.items():
            desired = view.models.get(name)
            if desired is not None and desired.adapter != model.adapter:
                self.former_adapters[name] = model.adapter
        self.current_view = view
        self.scopes = goals.scopes_of(view)
        self.rollouts = {
            scope.lease: self.rollouts.get(scope.lease)
            or rollout.Rollout(self.context)
            for scope in self.scopes
        }
        self.reporting.offset = view.offset
        self.reporting.scope_rollouts = tuple(
            reporting.ScopeRollout(scope, self.rollouts[scope.lease])
            for scope in self.scopes
        )
        self.addresses = {
            target.name: target.address
            for scope in self.scopes
            for target in scope.targets
        }

    def is_candidate(self, scope: goals.Scope) -> bool:
        """Return whether this process may have to issue a scope's orders.

        With several scopes each scope is compared by a few processes only.
        """
        if len(self.scopes) == 1 or self.leases.holds(scope.lease):
            return True
        return self.peers.precedence(scope.lease) < CANDIDATES_PER_SCOPE

    def update_pollers(self) -> None:
        """Poll the engines that this process has to poll itself."""
        ordered = frozenset(
            target.name
            for scope in self.scopes
            if self.leases.holds(scope.lease) is not None
            for target in scope.targets
        )
        self.pollers.update(
            self.addresses, ordered, frozenset(self.peers.live())
        )

    def update_offers(self) -> None:
        """Recompute what engines offer."""
        reports = self.reports = self.engine_reports.all()
        targets = goals.targets_of(self.current_view)
        self.versions = offers.serving_versions(reports)
        self.offers_by_model = {
            name: offers.offers_of(
                name,
                model,
                [target for target in targets if name in target.models],
                reports,
                self.former_adapters.get(name),
            )
            for name, model in self.current_view.models.items()
        }
        self.counts = {
            name: offers.count_offers(offered)
            for name, offered in self.offers_by_model.items()
        }
