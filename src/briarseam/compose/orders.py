"""Wiring of an agent's leases and orders."""

from __future__ import annotations

import dataclasses
import typing

from briarseam.endpoints import engine_orders
from briarseam.leases import service as leases
from briarseam.lookup import rank
from briarseam.membership import state as members
from briarseam.orders import messages
from briarseam.orders import peers
from briarseam.orders import service as orders
from briarseam.orders import state
from briarseam.status import messages as status

if typing.TYPE_CHECKING:
    from briarseam import settings as settings_module
    from briarseam.backing import log as platform_log
    from briarseam.configuration import reader as configuration
    from briarseam.membership import service as membership
    from briarseam.metrics import registry as metrics
    from briarseam.timeline import ring as rings

SECTION = "engines"
MS = 1000.0


def build_leases(
    settings: settings_module.Settings, log: platform_log.LogClient
) -> leases.Leases:
    """Return the leases of an agent."""
    return leases.Leases(
        log, settings.instance.name, settings.agent.lease_ttl_ms / MS
    )


def build_orders(
    settings: settings_module.Settings,
    reader: configuration.ConfigurationReader,
    member_service: membership.Membership,
    lease_service: leases.Leases,
    registry: metrics.Registry,
    ring: rings.Ring,
) -> orders.Orders:
    """Return the orders service of an agent, connected to the heartbeats."""
    own_name = settings.instance.name

    def cell_names() -> set[str]:
        return {member.name for member in member_service.live()} | {own_name}

    def reporting_names() -> set[str]:
        staying = member_service.live(include_leaving=True)
        return {member.name for member in staying}

    def all_names() -> set[str]:
        return {
            member.name
            for member in member_service.all_members()
            if member.state is members.MemberState.ALIVE
        } | {own_name}

    def own_rank(key: str, names: set[str]) -> int:
        return rank.ranked(key, names, str).index(own_name)

    order_service = orders.Orders(
        own_name,
        reader.view,
        lease_service,
        # An order must not outlive the lease under which it is issued.
        engine_orders.OrderClient(
            min(engine_orders.DEFAULT_TIMEOUT_S, lease_service.margin_s)
        ),
        registry,
        ring.note,
        peers.Peers(
            precedence=lambda lease: own_rank(lease, all_names()),
            owns=lambda engine: own_rank(engine, cell_names()) == 0,
            live=cell_names,
            reporting=reporting_names,
            known=all_names,
        ),
    )
    member_service.add_section(
        SECTION, order_service.sharing.provide, order_service.sharing.consume
    )
    return order_service


@dataclasses.dataclass(frozen=True)
class EngineOffers:
    """The versions and adapters that engines offer, for routing.

    Attributes
    ----------
    orders
        Orders service, which has the engines' reports.
    """

    orders: orders.Orders

    def offers(self, model: str, session: str) -> typing.Sequence[state.Offer]:
        """Return the versions that a new request may use, best first.

        During a rollout sessions move to the new version in proportion to
        the engines that have it, and stay there.
        """
        counts = self.orders.offer_counts(model)
        return rank.ranked(
            session, counts, ranking_name, lambda offer: counts[offer]
        )

    def serves(self, endpoint: str, model: str, offer: state.Offer) -> bool:
        """Return whether an engine reports a version and adapter."""
        return self.orders.serves(endpoint, model, offer)


def ranking_name(offer: state.Offer) -> str:
    """Return the key by which an offer is ranked."""
    return f"{offer.version}\0{offer.adapter}"


def rollouts(order_service: orders.Orders) -> tuple[status.Rollout, ...]:
    """Return the state of the rollouts that this agent leads."""
    return tuple(
        status.Rollout(
            model=model.model,
            version=model.version,
            serving=len(model.serving),
            wanted=model.endpoints,
            loading=len(model.loading),
            detail=rollout_detail(model),
        )
        for model in order_service.reporting.led_rollouts()
    )


def rollout_detail(model: messages.ModelRollout) -> str:
    """Return what a rollout waits for, and for how long it is stuck."""
    if not model.stuck:
        return str(model.why)
    return f"stuck for {model.unchanged_s:.0f} s: {model.why}"
