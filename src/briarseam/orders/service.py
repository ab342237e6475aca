"""Orders of one process: one thread that brings the engines in line."""

from __future__ import annotations

import threading
import typing

import structlog

from briarseam.configuration import schema
from briarseam.leases import clock as clocks
from briarseam.orders import goals
from briarseam.orders import messages
from briarseam.orders import offers
from briarseam.orders import pollers
from briarseam.orders import rollout
from briarseam.orders import state
from briarseam.orders import status

if typing.TYPE_CHECKING:
    from briarseam.endpoints import engine_orders
    from briarseam.leases import service as leases_service
    from briarseam.metrics import registry
    from briarseam.wire import connection
    from briarseam.wire import server

TICK_S = 0.2
NO_OFFERS: state.Offers = {}
log = structlog.get_logger("briarseam.orders")


def first_in_line(lease: str) -> int:
    """Return the first place, for a process that has no others."""
    del lease
    return 0


class Orders:
    """Gives the engines orders while it holds their lease.

    Parameters
    ----------
    me
        Name of this process.
    view
        Returns the present configuration.
    leases
        Fencing numbers.
    engines
        The adapter.
    metrics
        Where orders are counted.
    note
        Notes an event on the time line.
    precedence
        Place of this process among those that may take a lease, by name
        of the lease; 0 first.
    clock
        Seconds; the leases' clock.
    """

    def __init__(
        self,
        me: str,
        view: typing.Callable[[], schema.View],
        leases: leases_service.Leases,
        engines: engine_orders.EngineOrders,
        metrics: registry.Registry,
        note: rollout.Note,
        precedence: typing.Callable[[str], int] = first_in_line,
        clock: rollout.Clock = clocks.boot_clock,
    ) -> None:
        self.me = me
        self.view = view
        self.leases = leases
        self.clock = clock
        self.board = state.Board()
        self.pollers = pollers.Pollers(engines, self.board, clock)
        self.tools = rollout.Tools(
            leases=leases,
            engines=engines,
            board=self.board,
            clock=clock,
            note=note,
            precedence=precedence,
            given=metrics.counters(
                "orders_given_total",
                "Orders given to engines, by kind and outcome.",
                ("kind", "outcome"),
            ),
        )
        metrics.reading(
            "rollouts_stuck",
            "Models whose rollout has not moved for long.",
            self.count_stuck,
        )
        metrics.reading(
            "leases_held",
            "Leases held by this process.",
            lambda: len(leases.held()),
        )
        self.seen = schema.View(offset=-1)
        self.scopes: tuple[goals.Scope, ...] = ()
        self.rollouts: dict[str, rollout.Rollout] = {}
        self.former_adapters: dict[str, str] = {}
        self.versions: dict[str, dict[str, str]] = {}
        self.offered: dict[str, state.Offers] = {}
        self.watch = status.Watch()
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name="orders", daemon=True
        )

    def register(self, router: server.Router) -> None:
        """Answer operators' questions."""
        router.on(messages.AskRollouts, self.answer)

    def start(self) -> None:
        """Begin reading states and giving orders."""
        self.thread.start()

    def stop(self) -> None:
        """Stop giving orders and reading states."""
        self.stopping.set()
        self.board.changed.set()
        if self.thread.is_alive():
            self.thread.join()
        self.pollers.stop()

    def serving_versions(
        self,
    ) -> typing.Mapping[str, typing.Mapping[str, str]]:
        """Return the versions that engines report, by engine and model."""
        return self.versions

    def offers(self, model: str) -> state.Offers:
        """Return the engines that new requests of a model may go to.

        Each with the version and adapter that the request has to name, so
        that an engine which has changed meanwhile refuses it.
        """
        return self.offered.get(model, NO_OFFERS)

    def run(self) -> None:
        """Compare and order until stopped."""
        while not self.stopping.is_set():
            try:
                self.tick()
            except Exception:
                log.exception("orders_failed")
            self.board.changed.wait(TICK_S)
            self.board.changed.clear()

    def tick(self) -> None:
        """Take in what changed and give the orders that are due."""
        view = self.view()
        if view is not self.seen:
            self.take_view(view)
        self.update_offers()
        busy = False
        for scope in self.scopes:
            work = self.rollouts[scope.lease]
            busy = work.step(scope, view.offset) or busy
        self.pollers.busy = busy
        self.update_watch()

    def take_view(self, view: schema.View) -> None:
        """Take in a change of the configuration."""
        for name, model in self.seen.models.items():
            wanted = view.models.get(name)
            if wanted is not None and wanted.adapter != model.adapter:
                self.former_adapters[name] = model.adapter
        self.seen = view
        self.scopes = goals.scopes_of(view)
        self.rollouts = {
            scope.lease: self.rollouts.get(scope.lease)
            or rollout.Rollout(self.tools)
            for scope in self.scopes
        }
        self.pollers.follow(
            {
                target.name: target.address
                for scope in self.scopes
                for target in scope.targets
            }
        )

    def update_offers(self) -> None:
        """Work out anew what engines offer."""
        readings = self.board.all()
        targets = goals.targets_of(self.seen)
        self.versions = offers.serving_versions(readings)
        self.offered = {
            name: offers.offers_of(
                name,
                model,
                [target for target in targets if name in target.models],
                readings,
                self.former_adapters.get(name),
            )
            for name, model in self.seen.models.items()
        }

    def update_watch(self) -> None:
        """Note which models have moved."""
        readings = self.board.all()
        now_s = self.clock()
        for scope in self.scopes:
            work = self.rollouts[scope.lease]
            for goal in scope.goals.values():
                standings = status.picture_of(
                    goal, scope.of_model(goal.model), readings, work.errands
                )
                progress = status.progress_of(goal.model, readings)
                done = status.is_done(standings)
                picture = None if done else (standings, progress)
                self.watch.look(watched(scope, goal), picture, now_s)

    def status(self) -> tuple[messages.ModelRollout, ...]:
        """Return how far each model is, as this process sees it."""
        readings = self.board.all()
        now_s = self.clock()
        found = []
        for scope in self.scopes:
            work = self.rollouts[scope.lease]
            for goal in scope.goals.values():
                standings = status.picture_of(
                    goal,
                    scope.of_model(goal.model),
                    readings,
                    dict(work.errands),
                )
                found.append(
                    status.model_rollout(
                        goal,
                        standings,
                        self.leases.holder_of(scope.lease),
                        self.watch.unchanged_s(watched(scope, goal), now_s),
                        status.reason_of(goal.model, work, standings),
                    )
                )
        return tuple(found)

    def count_stuck(self) -> float:
        """Return how many models have not moved for long."""
        return sum(model.stuck for model in self.status())

    def answer(
        self, peer: connection.Identity, request: messages.AskRollouts
    ) -> messages.Rollouts:
        """Tell an operator how far the rollouts are."""
        del peer, request
        return messages.Rollouts(self.me, self.seen.offset, self.status())


def watched(scope: goals.Scope, goal: goals.ModelGoal) -> str:
    """Return the name under which a scope's model is watched."""
    return f"{scope.lease} {goal.model}"
