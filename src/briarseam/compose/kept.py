"""Wiring of an agent's kept cache."""

from __future__ import annotations

import typing

from briarseam.cache import counters
from briarseam.cache import owners
from briarseam.cache import service as kept_cache
from briarseam.lookup import rank

if typing.TYPE_CHECKING:
    from briarseam.compose import claims as compose_claims
    from briarseam.configuration import schema
    from briarseam.lookup import service as lookup
    from briarseam.membership import service as membership
    from briarseam.metrics import registry as metrics
    from briarseam.wire import codec


def session_hash(organisation: str, session: str) -> bytes:
    """Return the hash by which lookups rank agents for a session."""
    return bytes.fromhex(rank.session_key(organisation, session))


def build_kept_cache(
    view: typing.Callable[[], schema.View],
    key: bytes,
    member_service: membership.Membership,
    lookups: lookup.Lookup,
    clients: compose_claims.PeerClients,
    registry: metrics.Registry,
    max_blocks: int,
) -> kept_cache.KeptCache:
    """Return the kept cache of an agent, not started.

    Parameters
    ----------
    view
        Returns the current configuration.
    key
        Shared key.
    member_service
        Membership of this agent.
    lookups
        Ranks the agents that hold an index group.
    clients
        Clients of other agents by address.
    registry
        Registers the metrics.
    max_blocks
        Maximum number of blocks in the index.
    """

    def call(
        address: str, request: codec.Message, timeout_s: float
    ) -> codec.Message:
        return clients(address).call(request, timeout_s)

    ports = kept_cache.Ports(
        holders=owners.Owners(
            member_service.local_member.name, lookups.layout
        ),
        call=call,
        # Each agent uses an equal part of each link, so that together they
        # stay within its budget without coordination.  Suspects count: an
        # agent may be alive on the other side of a network partition and
        # still use its part.
        link_share=lambda: 1.0 / max(len(member_service.all_members()), 1),
        session_hash=session_hash,
    )
    kept = kept_cache.KeptCache(
        view, key, counters.RegistryCounters(registry), ports, max_blocks
    )
    registry.callback_gauge(
        "kept_cache_blocks",
        "Blocks in this agent's index.",
        lambda: float(len(kept.index)),
    )
    return kept
