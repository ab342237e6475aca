"""What the parts of the one process ask about all instances."""

from __future__ import annotations

import typing

from briarseam.lookup import rank
from briarseam.membership import state as members

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.membership import service as membership
    from briarseam.peers import registrations

# Instances that stand for giving orders: more than may be lost at once
# without anybody noticing, and few enough that their calls hardly count.
LEADER_CANDIDATES = 9
LEADER_KEY = "orders"
# With so many times more instances registered than heard, most are not
# lost: they have not been met yet.
UNMET_FACTOR = 2


class Instances:
    """All instances, by membership and their registrations.

    Parameters
    ----------
    me
        Name of this instance.

    Attributes
    ----------
    rows
        Their registrations; ``None`` before these are followed.
    service
        Membership; ``None`` before peers are met.
    """

    def __init__(self, own_name: str) -> None:
        self.own_name = own_name
        self.registrations: registrations.Registrations | None = None
        self.membership: membership.Membership | None = None

    def all(self) -> collections.abc.Sequence[members.Member]:
        """Return all known instances, this one included."""
        return () if self.membership is None else self.membership.all_members()

    def all_names(self) -> list[str]:
        """Return the names of all known instances."""
        return [member.name for member in self.all()]

    def names_in_cell(self) -> list[str]:
        """Return the instances of this cell that stay, this one included."""
        if self.membership is None:
            return []
        return [member.name for member in self.membership.live()]

    def weight_of(self, name: str) -> float:
        """Return the work an instance can take, relative to others."""
        return (
            1.0
            if self.registrations is None
            else self.registrations.weight_of(name)
        )

    def known_count(self) -> int:
        """Return how many instances share the budget for retries.

        Registrations are known before peers are met; taken for alone, an
        instance that has just started would use the whole slack.
        """
        registered = (
            0
            if self.registrations is None
            else len(self.registrations.by_name)
        )
        return max(registered, len(self.all()))

    def fresh_names(self) -> list[str]:
        """Return who is heard, by any cell; empty with no fresh view."""
        if self.membership is None or not self.membership.is_fresh():
            return []
        return self.all_names()

    def is_published(self) -> bool:
        """Tell whether all peers know what this instance says of itself."""
        return self.membership is None or self.membership.is_published()

    def publish_now(self) -> None:
        """Send the next heartbeats now."""
        if self.membership is not None:
            self.membership.publish_now()

    def is_leader_candidate(self) -> bool:
        """Tell whether this instance should take part in giving orders."""
        if self.membership is None:
            return False
        names = self.eligible_names()
        if len(names) <= LEADER_CANDIDATES:
            return True
        ranked = rank.ranked(LEADER_KEY, names, str, self.weight_of)
        return self.own_name in ranked[:LEADER_CANDIDATES]

    def eligible_names(self) -> list[str]:
        """Return the instances that may stand for giving orders.

        When all instances start at once, each hears only itself at first;
        registrations tell it that there are others, and it doesn't join
        the group just to leave it.
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
        if len(registered) <= UNMET_FACTOR * len(alive):
            return alive
        return list({*alive, *registered})

    def other_leader_candidates(self) -> list[str] | None:
        """Return who else may give orders; ``None`` if not all are heard.

        Instances of other cells are not heard directly.
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
