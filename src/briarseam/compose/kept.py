"""Composing an agent's kept cache."""

from __future__ import annotations

import typing

from briarseam.cache import counters
from briarseam.cache import owners
from briarseam.cache import service as kept_cache
from briarseam.lookup import rank
from briarseam.membership import cells
from briarseam.membership import state as members

if typing.TYPE_CHECKING:
    from briarseam.compose import claims as compose_claims
    from briarseam.configuration import schema
    from briarseam.membership import service as membership
    from briarseam.metrics import registry as metrics
    from briarseam.platform import instances
    from briarseam.wire import codec

AGENT_ROLE = "agent"


class KnownAgents:
    """The agents of all zones: the cell's by heartbeat, others as listed.

    Parameters
    ----------
    member_service
        Membership of this agent.
    parts_of
        Number of cells in a zone.
    """

    def __init__(
        self,
        member_service: membership.Membership,
        parts_of: cells.PartsOf,
    ) -> None:
        self.member_service = member_service
        self.parts_of = parts_of
        self.seen: tuple[typing.Any, typing.Any] = (None, None)
        self.agents: tuple[owners.Agent, ...] = ()

    def __call__(self) -> tuple[owners.Agent, ...]:
        """Return the agents that are probably alive."""
        snapshot = self.member_service.members()
        listing = self.member_service.list_reader.rows
        if self.seen != (id(snapshot), id(listing)):
            self.agents = self.merge(snapshot, listing)
            self.seen = (id(snapshot), id(listing))
        return self.agents

    def merge(
        self,
        snapshot: typing.Sequence[members.Member],
        listing: typing.Sequence[instances.Instance],
    ) -> tuple[owners.Agent, ...]:
        """Return this cell's live members and other cells' listed agents."""
        mine = self.member_service.me.cell
        found = {
            member.name: owners.Agent(
                member.name, member.zone, member.cell, member.agent_address
            )
            for member in snapshot
            if member.state is members.MemberState.ALIVE
        }
        for row in listing:
            if row.role != AGENT_ROLE:
                continue
            cell = cells.cell_of(row.name, row.zone, self.parts_of(row.zone))
            if cell != mine:
                found[row.name] = owners.Agent(
                    row.name, row.zone, cell, row.address
                )
        return tuple(found[name] for name in sorted(found))


def session_hash(organisation: str, session: str) -> bytes:
    """Return the hash by which lookups rank a session."""
    return bytes.fromhex(rank.session_key(organisation, session))


def build_kept_cache(
    view: typing.Callable[[], schema.View],
    key: bytes,
    member_service: membership.Membership,
    parts_of: cells.PartsOf,
    clients: compose_claims.PeerClients,
    registry: metrics.Registry,
    max_blocks: int,
) -> kept_cache.KeptCache:
    """Return the kept cache of an agent, not started."""
    agents = KnownAgents(member_service, parts_of)

    def call(
        address: str, request: codec.Message, timeout_s: float
    ) -> codec.Message:
        return clients(address).call(request, timeout_s)

    ports = kept_cache.Ports(
        holders=owners.Owners(member_service.me.name, agents, rank.score),
        call=call,
        # Every agent takes an equal part of each link, so that together
        # they never go over its budget without a word between them.
        link_share=lambda: 1.0 / max(len(agents()), 1),
        session_hash=session_hash,
    )
    kept = kept_cache.KeptCache(
        view, key, counters.RegistryCounters(registry), ports, max_blocks
    )
    registry.reading(
        "kept_cache_blocks",
        "Blocks in this agent's index.",
        lambda: float(len(kept.index)),
    )
    return kept
