"""Creation of clients that call other agents."""

from __future__ import annotations

import dataclasses
import typing

from briarseam.wire import client as clients

if typing.TYPE_CHECKING:
    from briarseam.wire import connection as connections


@dataclasses.dataclass(frozen=True)
class ClientFactory:
    """Creates clients of other agents.

    Attributes
    ----------
    identity
        The local agent.
    key
        The shared key of the wire.
    reply_timeout_s
        Timeout of a connection and of a reply, in seconds.
    stamps
        The process's hybrid clock, whose time is sent with every frame.
    """

    identity: connections.Identity
    key: bytes
    reply_timeout_s: float
    stamps: connections.Clock | None

    def client(
        self, address: str, max_idle: int = clients.DEFAULT_MAX_IDLE
    ) -> clients.Client:
        """Return a new client of the agent at an address."""
        return clients.Client(
            address, self.identity, self.key, max_idle, self.stamps
        )
