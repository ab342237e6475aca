"""Wiring of an agent's claims."""

from __future__ import annotations

import threading
import typing

from briarseam.claims import options
from briarseam.claims import service as claims
from briarseam.lookup import rank
from briarseam.wire import client as wire

if typing.TYPE_CHECKING:
    from briarseam import settings as settings_module
    from briarseam.backing import log as platform_log
    from briarseam.membership import service as membership
    from briarseam.metrics import registry as metrics
    from briarseam.wire import connection

MS = 1000.0
RANK_KEY = "claims-shard-{}"


class PeerClients:
    """Cache of the clients of other agents, by address.

    Parameters
    ----------
    identity
        Identity of this agent.
    key
        Shared key.
    clock
        Clock that stamps the frames.
    """

    def __init__(
        self,
        identity: connection.Identity,
        key: bytes,
        clock: connection.Clock | None = None,
    ) -> None:
        self.identity = identity
        self.key = key
        self.clock = clock
        self.lock = threading.Lock()
        self.clients: dict[str, wire.Client] = {}

    def __call__(self, address: str) -> wire.Client:
        """Return the client of the agent at an address, created on demand."""
        with self.lock:
            client = self.clients.get(address)
            if client is None:
                client = wire.Client(
                    address, self.identity, self.key, clock=self.clock
                )
                self.clients[address] = client
            return client


def build_claims(
    settings: settings_module.Settings,
    log: platform_log.LogClient,
    member_service: membership.Membership,
    clients: PeerClients,
    registry: metrics.Registry,
) -> claims.Claims:
    """Return the claims service of an agent."""

    def owner_of(shard: int) -> str | None:
        ranked = rank.ranked(
            RANK_KEY.format(shard),
            member_service.live(),
            lambda member: member.name,
        )
        return ranked[0].agent_address if ranked else None

    return claims.Claims(
        log,
        options.Holder(
            settings.instance.name,
            str(member_service.incarnation),
            str(settings.instance.agent_address),
        ),
        options.Peers(owner_of, clients),
        options.Options(
            window_s=settings.claims.window_s,
            batch_ms=settings.claims.batch_ms,
            wait_s=settings.platform.log_timeout_ms / MS,
        ),
        registry,
    )
