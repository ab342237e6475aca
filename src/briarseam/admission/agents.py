"""All agents that share the crash guard's work."""

from __future__ import annotations

import typing

from briarseam.admission import owners

if typing.TYPE_CHECKING:
    from briarseam.membership import service as membership

AGENT_ROLE = "agent"


class Agents:
    """All agents that share the guard's work, of whatever cell.

    A prompt may be sent again in another availability zone, so its owner
    is found over all listed agents; those of this cell are known better.

    Parameters
    ----------
    me
        This agent.
    members
        Membership.
    """

    def __init__(
        self, me: owners.Agent, members: membership.Membership
    ) -> None:
        self.me = me
        self.members = members
        self.seen: tuple[object, object] = (None, None)
        self.ring = owners.HashRing({me.name: me})

    def owners_of(self, key: str, count: int) -> list[owners.Agent]:
        """Return the first agents of a key."""
        rows = self.members.list_reader.rows
        members = self.members.members()
        if rows is not self.seen[0] or members is not self.seen[1]:
            found = self.find()
            if found != self.ring.agents:
                self.ring = owners.HashRing(found)
            self.seen = (rows, members)
        return self.ring.owners_of(key, count)

    def find(self) -> dict[str, owners.Agent]:
        """Return the agents by name."""
        cell = {member.name for member in self.members.members()}
        found = {
            row.name: owners.Agent(row.name, row.address)
            for row in self.members.list_reader.rows
            if row.role == AGENT_ROLE and row.name not in cell
        }
        for member in self.members.live():
            found[member.name] = owners.Agent(
                member.name, member.agent_address
            )
        found[self.me.name] = self.me
        return found
