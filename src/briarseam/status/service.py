"""Answers status queries about the local agent and all other agents."""

from __future__ import annotations

import concurrent.futures
import dataclasses
import math
import typing

from briarseam.membership import listing
from briarseam.status import messages
from briarseam.wire import client as clients
from briarseam.wire import connection as connections

if typing.TYPE_CHECKING:
    from briarseam.membership import service as membership
    from briarseam.wire import server

QUERY_TIMEOUT_S = 1.0
MAX_CONCURRENT_QUERIES = 16


@dataclasses.dataclass(frozen=True)
class Sources:
    """Where the status of the local agent is read.

    Attributes
    ----------
    offset
        Returns the offset of the last configuration record applied.
    staleness_s
        Returns the time since the configuration was last confirmed to be
        current, in seconds; infinite if it never was.
    running
        Returns the number of granted requests that have not ended.
    rollouts
        Returns the progress of the rollouts that this agent leads.
    region
        Region of the local agent.
    """

    offset: typing.Callable[[], int]
    staleness_s: typing.Callable[[], float]
    running: typing.Callable[[], int]
    rollouts: typing.Callable[[], tuple[messages.Rollout, ...]] = tuple
    region: str = ""


@dataclasses.dataclass(frozen=True)
class RemoteAgent:
    """Another agent, before its status is queried.

    Attributes
    ----------
    address
        ``ip:port``.
    unreached
        Its status if it does not answer.
    """

    address: str
    unreached: messages.AgentStatus


class StatusService:
    """Reports the status of this agent and of the others.

    Parameters
    ----------
    membership
        Members of the cell, and the instance list for agents of other
        cells.
    sources
        Where the status of the local agent is read.
    """

    def __init__(
        self, membership: membership.Membership, sources: Sources
    ) -> None:
        self.membership = membership
        self.sources = sources

    def register(self, router: server.Router) -> None:
        """Register the handler of status queries."""
        router.on(messages.StatusAsked, self.on_query)

    def on_query(
        self, peer: connections.Identity, query: messages.StatusAsked
    ) -> messages.Status:
        """Return the status of this agent, on request of all agents."""
        del peer
        statuses = [self.local_status()]
        if query.all_members:
            statuses += self.remote_statuses()
        return messages.Status(
            tuple(sorted(statuses, key=lambda status: status.name))
        )

    def local_status(self) -> messages.AgentStatus:
        """Return the status of this agent."""
        local = self.membership.local_member
        stale_s = self.sources.staleness_s()
        return messages.AgentStatus(
            name=local.name,
            zone=local.zone,
            cell=local.cell,
            state=local.state.value,
            configuration_offset=self.sources.offset(),
            stale_s=-1.0 if math.isinf(stale_s) else round(stale_s, 3),
            running=self.sources.running(),
            rollouts=self.sources.rollouts(),
            region=self.sources.region,
        )

    def remote_statuses(self) -> list[messages.AgentStatus]:
        """Query all other agents concurrently and return their status."""
        agents = self.remote_agents()
        if not agents:
            return []
        workers = min(MAX_CONCURRENT_QUERIES, len(agents))
        with concurrent.futures.ThreadPoolExecutor(workers) as pool:
            return list(pool.map(self.query, agents))

    def remote_agents(self) -> list[RemoteAgent]:
        """Return the other agents: members, and others in the list.

        Members take precedence, as membership knows more of them than the
        instance list.
        """
        agents = {
            row.name: RemoteAgent(
                row.address,
                messages.AgentStatus(
                    row.name, row.zone, "", row.state.value, reached=False
                ),
            )
            for row in self.membership.list_reader.rows
            if row.role == listing.AGENT_ROLE
        }
        for member in self.membership.members():
            agents[member.name] = RemoteAgent(
                member.agent_address,
                messages.AgentStatus(
                    name=member.name,
                    zone=member.zone,
                    cell=member.cell,
                    state=member.state.value,
                    age_s=round(member.silent_s, 3),
                    reached=False,
                ),
            )
        agents.pop(self.membership.local_member.name, None)
        return list(agents.values())

    def query(self, agent: RemoteAgent) -> messages.AgentStatus:
        """Return an agent's own status if it answers, else ``unreached``."""
        client = clients.Client(
            agent.address, self.membership.identity, self.membership.key, 0
        )
        try:
            reply = client.call(
                messages.StatusAsked(all_members=False), QUERY_TIMEOUT_S
            )
        except connections.WireError:
            return agent.unreached
        if not isinstance(reply, messages.Status) or not reply.agents:
            return agent.unreached
        return dataclasses.replace(
            reply.agents[0], age_s=agent.unreached.age_s
        )
