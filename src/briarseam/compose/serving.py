"""Wiring of an agent's routing and admission."""

from __future__ import annotations

import dataclasses
import time
import typing

from briarseam.admission import dispatch
from briarseam.admission import limits
from briarseam.admission import placing
from briarseam.admission import retry_budgets
from briarseam.admission import retry_schedule
from briarseam.cache import residents
from briarseam.cache import service as kept_cache
from briarseam.routing import active_runs
from briarseam.routing import loads
from briarseam.routing import service as routing

if typing.TYPE_CHECKING:
    from briarseam import settings as settings_module
    from briarseam.compose import orders as compose_orders
    from briarseam.configuration import schema
    from briarseam.membership import service as membership

LOADS_SECTION = "loads"
DEMAND_SECTION = "demand"


@dataclasses.dataclass(frozen=True)
class ServingParts:
    """The parts that place requests on endpoints.

    Attributes
    ----------
    placer
        Grants endpoints.
    chooser
        Chooses endpoints.
    dispatcher, loads, kept, cache_events
        The parts that run threads.
    """

    placer: placing.Placer
    chooser: routing.Chooser
    dispatcher: dispatch.Dispatcher
    loads: loads.Loads
    kept: kept_cache.KeptCache
    cache_events: residents.EngineCacheFollowers

    def start(self) -> None:
        """Start the parts that run threads."""
        self.kept.start()
        self.loads.start()
        self.cache_events.start()
        self.dispatcher.start()

    def stop(self) -> None:
        """Stop the parts that run threads; queued requests are refused."""
        self.dispatcher.stop()
        self.cache_events.stop()
        self.loads.stop()
        self.kept.stop()


@dataclasses.dataclass(frozen=True)
class ServingDependencies:
    """Dependencies of routing and admission on other packages.

    Attributes
    ----------
    view
        Returns the current configuration.
    members
        Membership of this agent.
    kept
        The kept cache.
    imports
        The kept cache for routing, which records imports in the time line.
    leaving
        Returns the endpoints that are leaving.
    offers
        The versions and adapters that engines report.
    key
        Shared key.
    """

    view: typing.Callable[[], schema.View]
    members: membership.Membership
    kept: kept_cache.KeptCache
    imports: routing.KeptCache
    leaving: typing.Callable[[], frozenset[str]]
    offers: compose_orders.EngineOffers
    key: bytes


def build_serving(
    settings: settings_module.Settings, sources: ServingDependencies
) -> ServingParts:
    """Return routing and admission, connected to the heartbeats."""
    members = sources.members
    view = sources.view
    own_runs = active_runs.ActiveRuns()
    engine_loads = loads.Loads(
        view,
        settings.instance.name,
        lambda: [member.name for member in members.live()],
        own_runs.counts,
    )
    chooser = routing.Chooser(
        routing.ChooserParts(
            view=view,
            leaving=sources.leaving,
            offers=sources.offers.offers,
            serves=sources.offers.serves,
            kept=sources.imports,
            loads=engine_loads,
            own_runs=own_runs,
        )
    )
    cache_events = residents.EngineCacheFollowers(
        view, chooser.prefixes, sources.kept.metrics, members.local_member.zone
    )
    schedule = retry_schedule.RetrySchedule(
        time.monotonic, lambda: view().routing.returning == "fixed"
    )
    dispatcher = dispatch.Dispatcher(
        chooser,
        view,
        schedule,
        dispatch.Bounds(
            settings.limits.max_queued,
            settings.limits.max_queued_per_organisation,
        ),
    )
    # Suspects count, too: an agent may be alive on the other side of a
    # network partition and still use its part of the limits.
    demand = limits.Limits(
        view, lambda: len(members.members()), time.monotonic
    )
    members.add_section(
        LOADS_SECTION, engine_loads.provide, engine_loads.consume
    )
    members.add_section(DEMAND_SECTION, demand.provide, demand.consume)
    placer = placing.Placer(
        placing.PlacerParts(
            view=view,
            chooser=chooser,
            dispatcher=dispatcher,
            kept=sources.kept,
            limits=demand,
            budgets=retry_budgets.RetryBudgets(
                lambda: view().routing.retry_budget
            ),
            schedule=schedule,
            max_in_flight=settings.limits.max_in_flight,
            key=sources.key,
            home=str(settings.instance.agent_address),
        )
    )
    return ServingParts(
        placer, chooser, dispatcher, engine_loads, sources.kept, cache_events
    )
