"""The agents of all cells, as owners of prompts in the crash guard."""

from __future__ import annotations

import typing

from briarseam.admission import owners

if typing.TYPE_CHECKING:
    from briarseam.membership import service as membership

AGENT_ROLE = "agent"


class Agents:
    """The agents of all cells.

    A prompt may be retried in another availability zone, so its owner is
    chosen among all listed agents.  For agents of the local cell membership
    is used, which is more current than the instance list.

    Parameters
    ----------
    local_agent
        This agent.
    members
        Membership of the local cell.
    """

    def __init__(
        self, local_agent: owners.Agent, members: membership.Membership
    ) -> None:
        self.local_agent = local_agent
        self.members = members
        self.ring_inputs: tuple[object, object] = (None, None)
        self.ring = owners.HashRing({local_agent.name: local_agent})

    def owners_of(self, key: str, count: int) -> list[owners.Agent]:
        """Return the agents that own a key, at most ``count``."""
        rows = self.members.list_reader.rows
        members = self.members.members()
        if (
            rows is not self.ring_inputs[0]
            or members is not self.ring_inputs[1]
        ):
            agents = self.agents_by_name()
            if agents != self.ring.agents:
                self.ring = owners.HashRing(agents)
            self.ring_inputs = (rows, members)
        return self.ring.owners_of(key, count)

    def agents_by_name(self) -> dict[str, owners.Agent]:
        """Return the listed agents and the live members of this cell."""
        cell_members = {member.name for member in self.members.members()}
        agents = {
            row.name: owners.Agent(row.name, row.address)
            for row in self.members.list_reader.rows
            if row.role == AGENT_ROLE and row.name not in cell_members
        }
        for member in self.members.live():
            agents[member.name] = owners.Agent(
                member.name, member.agent_address
            )
        agents[self.local_agent.name] = self.local_agent
        return agents
