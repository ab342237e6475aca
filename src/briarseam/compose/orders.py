"""Composing an agent's leases and orders."""

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
    """Return the orders part of an agent, wired to the heartbeats."""
    me = settings.instance.name

    def cell() -> set[str]:
        return {member.name for member in member_service.live()} | {me}

    def reporting() -> set[str]:
        staying = member_service.live(include_leaving=True)
        return {member.name for member in staying}

    def everyone() -> set[str]:
        return {
            member.name
            for member in member_service.all_members()
            if member.state is members.MemberState.ALIVE
        } | {me}

    def place(key: str, names: set[str]) -> int:
        return rank.ranked(key, names, str).index(me)

    found = orders.Orders(
        me,
        reader.view,
        lease_service,
        # An order must not outlive the lease under which it is given.
        engine_orders.OrderClient(
            min(engine_orders.DEFAULT_TIMEOUT_S, lease_service.margin_s)
        ),
        registry,
        ring.note,
        peers.Peers(
            precedence=lambda lease: place(lease, everyone()),
            owns=lambda engine: place(engine, cell()) == 0,
            live=cell,
            reporting=reporting,
            known=everyone,
        ),
    )
    member_service.add_section(
        SECTION, found.sharing.provide, found.sharing.consume
    )
    return found


@dataclasses.dataclass(frozen=True)
class EngineOffers:
    """What requests may name, as routing asks for it.

    Attributes
    ----------
    orders
        Knows what engines report.
    """

    orders: orders.Orders

    def offers(self, model: str, session: str) -> typing.Sequence[state.Offer]:
        """Return what a new request may name, best first.

        While a rollout is under way sessions move to the new version in
        proportion to the engines that have it, and stay there.
        """
        counts = self.orders.offer_counts(model)
        return rank.ranked(session, counts, named, lambda one: counts[one])

    def serves(self, endpoint: str, model: str, offer: state.Offer) -> bool:
        """Tell whether an engine reports what a request has to name."""
        return self.orders.serves(endpoint, model, offer)


def named(offer: state.Offer) -> str:
    """Return the name by which an offer is ranked."""
    return f"{offer.version}\0{offer.adapter}"


def rollouts(order_service: orders.Orders) -> tuple[status.Rollout, ...]:
    """Return the rows of the models whose rollout this agent leads."""
    return tuple(
        status.Rollout(
            model=model.model,
            version=model.version,
            serving=len(model.serving),
            wanted=model.endpoints,
            loading=len(model.loading),
            detail=detail_of(model),
        )
        for model in order_service.reporting.led_rollouts()
    )


def detail_of(model: messages.ModelRollout) -> str:
    """Return what a rollout waits for and since when."""
    if not model.stuck:
        return str(model.why)
    return f"stuck for {model.unchanged_s:.0f} s: {model.why}"
