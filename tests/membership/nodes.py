from __future__ import annotations

import dataclasses
import secrets
import typing

from briarseam.backing import instances
from briarseam.membership import heartbeat_sender
from briarseam.membership import service
from briarseam.membership import state
from briarseam.testing import waiting
from briarseam.wire import connection as connections
from briarseam.wire import server

# A key for each test process: a port may be reused by another process.
KEY = secrets.token_bytes(16)
INTERVAL_S = 0.05
SUSPECT_AFTER_S = 0.6


class FakeInstanceList:
    """An instance list in memory; tests modify ``rows``."""

    def __init__(self) -> None:
        self.rows: dict[str, instances.Instance] = {}
        self.available = True

    def read(self) -> instances.Listing:
        if not self.available:
            raise instances.InstanceListUnavailableError("outage")
        return instances.Listing(tuple(self.rows.values()), 0)

    def put(
        self,
        name: str,
        address: str,
        zone: str = "rumoi",
        state: str = "live",
    ) -> None:
        listed = instances.ListedState(state)
        self.rows[name] = instances.Instance(
            name, "agent", address, zone, listed
        )


class SkippingClock:
    """A clock that a test sets forward to simulate a suspension."""

    def __init__(self, clock: typing.Callable[[], float]) -> None:
        self.clock = clock
        self.skipped_s = 0.0

    def __call__(self) -> float:
        return self.clock() + self.skipped_s


@dataclasses.dataclass
class Node:
    """One agent's membership with its server."""

    membership: service.Membership
    server: server.Server
    blocked: set[str] = dataclasses.field(default_factory=set)

    def names(self) -> set[str]:
        return {member.name for member in self.membership.live()}

    def state_of(self, name: str) -> state.MemberState | None:
        for member in self.membership.members():
            if member.name == name:
                return member.state
        return None

    def sender_to(self, name: str) -> heartbeat_sender.HeartbeatSender:
        """Return the sender of heartbeats to a peer, once it exists.

        A peer that sent its introduction first is a member before that.
        """
        return waiting.until(
            lambda: self.membership.heartbeat_senders.get(name)
        )

    def stop(self) -> None:
        self.membership.stop()
        self.server.stop()


class BlockingRouter(server.Router):
    """A router that closes the connections of peers that a test blocks."""

    def __init__(self) -> None:
        super().__init__()
        self.blocked: set[str] = set()

    def answer(self, peer: connections.Identity, request: object) -> object:
        if peer.name in self.blocked:
            raise connections.WireError("blocked by the test")
        return super().answer(peer, request)


def block_between(one: Node, other: Node) -> None:
    """Block the path between two nodes in both directions."""
    one.blocked.add(other.membership.local_agent.name)
    other.blocked.add(one.membership.local_agent.name)


def unblock(*nodes: Node) -> None:
    """Unblock all paths."""
    for node in nodes:
        node.blocked.clear()
