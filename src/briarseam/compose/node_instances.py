"""View of all instances for the parts of the serving process."""

from __future__ import annotations

import typing

from briarseam.lookup import rank
from briarseam.membership import state as members

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.discovery import model as discovery
    from briarseam.membership import service as membership
    from briarseam.peers import registrations

# Number of instances that compete for issuing orders: more than may be lost
# at once undetected, and few enough for the cost of their calls to be
# negligible.
LEADER_CANDIDATES = 9
LEADER_KEY = "orders"
# Above this ratio of registered to alive instances, most of the instances
# that are not alive haven't been lost, but haven't been connected to yet.
MAX_REGISTERED_RATIO = 2


class Instances:
    """All instances, from membership and registrations.

    Parameters
    ----------
    own_name
        Name of this instance.

    Attributes
    ----------
    registrations
        Registrations of the instances; ``None`` until they are followed.
    membership
        The membership; ``None`` before joining the peers.
    """

    def __init__(self, own_name: str) -> None:
        self.own_name = own_name
        self.registrations: registrations.Registrations | None = None
        self.membership: membership.Membership | None = None

    def all(self) -> collections.abc.Sequence[members.Member]:
        """Return all known instances, this one included."""
        return () if self.membership is None else self.membership.all_members()

    def key(self) -> bytes | None:
        """Return the key that all instances share; ``None`` before joining."""
        return None if self.membership is None else self.membership.key

    def all_names(self) -> list[str]:
        """Return the names of all known instances."""
        return [member.name for member in self.all()]

    def names_in_cell(self) -> list[str]:
        """Return the names of the alive instances of this cell."""
        if self.membership is None:
            return []
        return [member.name for member in self.membership.live()]

    def remote_addresses(self) -> list[str]:
        """Return the addresses of the alive instances of other cells."""
        if self.membership is None:
            return []
        own_cell = self.membership.local_member.cell
        return [
            member.agent_address
            for member in self.all()
            if member.state is members.MemberState.ALIVE
            and member.cell != own_cell
        ]

    def may_have_peers(self) -> bool:
        """Return whether other instances are registered, as far as known."""
        if (
            self.registrations is None
            or not self.registrations.loaded.is_set()
        ):
            return True
        return any(
            name != self.own_name for name in list(self.registrations.by_name)
        )

    def weight_of(self, name: str) -> float:
        """Return the capacity of an instance relative to others."""
        return (
            1.0
            if self.registrations is None
            else self.registrations.weight_of(name)
        )

    def known_count(self) -> int:
        """Return the number of instances that are registered or members.

        They share the slack of the retry budget.  Registrations are known
        before the peers are joined; an instance that has just started and
        counted members only would use the whole slack.
        """
        registered = (
            0
            if self.registrations is None
            else len(self.registrations.by_name)
        )
        return max(registered, len(self.all()))

    def fresh_names(self) -> list[str]:
        """Return the names of all known instances; empty if not up to date."""
        if self.membership is None or not self.membership.is_fresh():
            return []
        return self.all_names()

    def is_published(self) -> bool:
        """Return whether all peers have the state that this one published."""
        return self.membership is None or self.membership.is_published()

    def publish_now(self) -> None:
        """Send the next heartbeats immediately."""
        if self.membership is not None:
            self.membership.publish_now()

    def is_leader_candidate(self) -> bool:
        """Return whether this instance should compete for issuing orders."""
        if self.membership is None:
            return False
        names = self.eligible_names()
        if len(names) <= LEADER_CANDIDATES:
            return True
        ranked = rank.ranked(LEADER_KEY, names, str, self.weight_of)
        return self.own_name in ranked[:LEADER_CANDIDATES]

    def is_sender(self, endpoint: discovery.Endpoint, count: int) -> bool:
        """Return whether this is a sender to an endpoint with a limit.

        Chosen from the registered instances of the endpoint's zone first.
        Registrations are the same for all instances, while each has its own
        view of which instances are alive; a sender that has failed costs
        only the use of an endpoint that takes few requests.
        """
        if self.registrations is None:
            return False
        rows = list(self.registrations.by_name.values())
        if count >= len(rows):
            return any(row.name == self.own_name for row in rows)
        ranked = rank.ranked(
            endpoint.id,
            rows,
            lambda row: row.name,
            lambda row: row.weight,
        )
        # Sorting keeps the ranks within the zone, and among the others.
        ranked.sort(key=lambda row: row.zone != endpoint.zone)
        return any(row.name == self.own_name for row in ranked[:count])

    def eligible_names(self) -> list[str]:
        """Return the names from which the leader candidates are chosen.

        When all instances start at once, each knows only itself as alive at
        first.  Registrations show the others, so that the instance doesn't
        join the candidates only to leave them a moment later.
        """
        alive = [
            member.name
            for member in self.all()
            if member.state is members.MemberState.ALIVE
        ]
        registered = (
            []
            if self.registrations is None
            else list(self.registrations.by_name)
        )
        if len(registered) <= MAX_REGISTERED_RATIO * len(alive):
            return alive
        return list({*alive, *registered})

    def other_leader_candidates(self) -> list[str] | None:
        """Return the names of the other instances that may issue orders.

        ``None`` if registrations aren't loaded, or name several cells:
        heartbeats of other cells aren't received directly.
        """
        if (
            self.registrations is None
            or not self.registrations.loaded.is_set()
        ):
            return None
        cells = {
            self.registrations.cell_of(row.name, row.group)
            for row in self.registrations.by_name.values()
        }
        if len(cells) > 1:
            return None
        return [
            name
            for name in self.registrations.by_name
            if name != self.own_name
        ]
