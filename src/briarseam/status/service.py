"""Answers operators' question how the agents are."""

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

ASK_TIMEOUT_S = 1.0
MAX_ASKERS = 16


@dataclasses.dataclass(frozen=True)
class Sources:
    """Where an agent's own row comes from.

    Attributes
    ----------
    offset
        Configuration offset in force.
    staleness_s
        Time without proof of being current; infinite for never.
    running
        Granted requests that have not ended.
    rollouts
        Rollouts this agent leads.
    region
        Region of this agent.
    """

    offset: typing.Callable[[], int]
    staleness_s: typing.Callable[[], float]
    running: typing.Callable[[], int]
    rollouts: typing.Callable[[], tuple[messages.Rollout, ...]] = tuple
    region: str = ""


@dataclasses.dataclass(frozen=True)
class Known:
    """Another agent, before it is asked.

    Attributes
    ----------
    address
        ``ip:port``.
    unreached
        Its row if it does not answer.
    """

    address: str
    unreached: messages.AgentStatus


class StatusService:
    """Describes this agent and asks the others.

    Parameters
    ----------
    membership
        The members of the cell, and whom the instance list has elsewhere.
    sources
        Where this agent's own row comes from.
    """

    def __init__(
        self, membership: membership.Membership, sources: Sources
    ) -> None:
        self.membership = membership
        self.sources = sources

    def register(self, router: server.Router) -> None:
        """Answer entries and other agents."""
        router.on(messages.StatusAsked, self.on_asked)

    def on_asked(
        self, peer: connections.Identity, asked: messages.StatusAsked
    ) -> messages.Status:
        """Answer with this agent's row, on request with all members'."""
        del peer
        rows = [self.own()]
        if asked.all_members:
            rows += self.others()
        return messages.Status(tuple(sorted(rows, key=lambda row: row.name)))

    def own(self) -> messages.AgentStatus:
        """Return this agent's row."""
        me = self.membership.local_member
        stale_s = self.sources.staleness_s()
        return messages.AgentStatus(
            name=me.name,
            zone=me.zone,
            cell=me.cell,
            state=me.state.value,
            configuration_offset=self.sources.offset(),
            stale_s=-1.0 if math.isinf(stale_s) else round(stale_s, 3),
            running=self.sources.running(),
            rollouts=self.sources.rollouts(),
            region=self.sources.region,
        )

    def others(self) -> list[messages.AgentStatus]:
        """Ask all other agents, many at a time."""
        asked = self.known()
        if not asked:
            return []
        workers = min(MAX_ASKERS, len(asked))
        with concurrent.futures.ThreadPoolExecutor(workers) as pool:
            return list(pool.map(self.ask, asked))

    def known(self) -> list[Known]:
        """Return the other agents: members, and listed ones elsewhere."""
        known = {
            row.name: Known(
                row.address,
                messages.AgentStatus(
                    row.name, row.zone, "", row.state.value, reached=False
                ),
            )
            for row in self.membership.list_reader.rows
            if row.role == listing.AGENT_ROLE
        }
        for member in self.membership.members():
            known[member.name] = Known(
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
        known.pop(self.membership.local_member.name, None)
        return list(known.values())

    def ask(self, known: Known) -> messages.AgentStatus:
        """Return an agent's row, its own word where it answers."""
        client = clients.Client(
            known.address, self.membership.identity, self.membership.key, 0
        )
        try:
            reply = client.call(
                messages.StatusAsked(all_members=False), ASK_TIMEOUT_S
            )
        except connections.WireError:
            return known.unreached
        if not isinstance(reply, messages.Status) or not reply.agents:
            return known.unreached
        return dataclasses.replace(
            reply.agents[0], age_s=known.unreached.age_s
        )
