"""Tracks an accepted change until every live agent has it in force."""

from __future__ import annotations

import dataclasses
import time
import typing

import msgspec
import urllib3

from briarseam import bounded_http
from briarseam.backing import instances as instance_list

POLL_S = 0.2
REQUEST_TIMEOUT_S = 2.0
STATUS_PATH = "/v1/status"
HTTP_OK = 200
NOT_LIVE = frozenset({"leaving", "gone"})


@dataclasses.dataclass(frozen=True)
class AgentStatus:
    """An agent in an entry's status.

    Attributes
    ----------
    name
        Name of the agent.
    configuration_offset
        Last offset that the agent reported.
    state
        The agent's state in the view of its peers.
    age_s
        Time since the agent was last heard from, in seconds.
    reached
        Whether the agent answered the entry's query.
    """

    name: str
    configuration_offset: int
    state: str
    age_s: float
    reached: bool = True


@dataclasses.dataclass(frozen=True)
class Status:
    """The part of an entry's status that the tracker uses."""

    agents: tuple[AgentStatus, ...]


class StatusUnavailableError(Exception):
    """An entry did not report the agents' offsets."""


@dataclasses.dataclass(frozen=True)
class Propagation:
    """Which agents have a change in force.

    Attributes
    ----------
    offset
        Offset of the change.
    reached
        Live agents that have the change in force.
    stragglers
        Live agents that have not reported the change.
    unseen
        Agents that are live in the instance list but that no entry reported.
    listed
        Whether the instance list contained any agent; if not, only the cells
        of the queried entries are covered.
    waited_s
        How long the change was tracked, in seconds.
    """

    offset: int
    reached: tuple[str, ...]
    stragglers: tuple[AgentStatus, ...]
    unseen: tuple[str, ...]
    listed: bool
    waited_s: float

    def done(self) -> bool:
        """Return whether every live agent has the change in force."""
        return bool(self.reached) and not self.stragglers and not self.unseen


class PropagationTracker:
    """Queries entries for the offsets of the agents.

    An entry reports its own cell only, so entries are queried until every
    agent that is live in the instance list has been reported.

    Parameters
    ----------
    entries
        Addresses of the entries to query first.
    instances
        Source of the other entries and the live agents.
    token
        Operator token.
    """

    def __init__(
        self,
        entries: typing.Sequence[str],
        instances: instance_list.InstanceSource,
        token: str,
    ) -> None:
        self.entries = entries
        self.instances = instances
        self.token = token
        self.pool = bounded_http.pool_manager(retries=False)

    def follow(self, offset: int, timeout_s: float) -> Propagation:
        """Poll until every live agent has ``offset`` or the time is up."""
        started = time.monotonic()
        while True:
            expected, agents = self.collect_statuses()
            waited_s = time.monotonic() - started
            propagation = assess(expected, agents, offset, waited_s)
            if propagation.done() or waited_s >= timeout_s:
                return propagation
            time.sleep(POLL_S)

    def collect_statuses(self) -> tuple[set[str], dict[str, AgentStatus]]:
        """Return the names of listed agents, and reported agents by name."""
        listed = self.list_live_instances()
        expected = {one.name for one in listed if one.role == "agent"}
        entries = [one.address for one in listed if one.role == "entry"]
        agents: dict[str, AgentStatus] = {}
        for address in dict.fromkeys([*self.entries, *entries]):
            if agents and expected <= agents.keys():
                break
            try:
                status = self.fetch_status(address)
            except StatusUnavailableError:
                continue
            agents.update({agent.name: agent for agent in status.agents})
        return expected, agents

    def list_live_instances(self) -> list[instance_list.Instance]:
        """Return the live instances; none while the list is unavailable."""
        try:
            rows = self.instances.read().instances
        except instance_list.InstanceListUnavailableError:
            return []
        live = instance_list.ListedState.LIVE
        return [one for one in rows if one.state is live]

    def fetch_status(self, address: str) -> Status:
        """Return the status from an entry.

        Raises
        ------
        StatusUnavailableError
            When the entry does not return its status.
        """
        try:
            response = self.pool.request(
                "GET",
                f"http://{address}{STATUS_PATH}",
                headers={"Authorization": f"Bearer {self.token}"},
                timeout=REQUEST_TIMEOUT_S,
            )
            if response.status != HTTP_OK:
                raise StatusUnavailableError(
                    f"{address} answered {response.status}"
                )
            return msgspec.json.decode(response.data, type=Status)
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
            raise StatusUnavailableError(f"{address}: {error}") from error


def assess(
    expected: set[str],
    agents: typing.Mapping[str, AgentStatus],
    offset: int,
    waited_s: float,
) -> Propagation:
    """Return which agents have reached ``offset``."""
    live = [one for one in agents.values() if one.state not in NOT_LIVE]
    return Propagation(
        offset=offset,
        reached=tuple(
            sorted(one.name for one in live if has_reached(one, offset))
        ),
        stragglers=tuple(one for one in live if not has_reached(one, offset)),
        unseen=tuple(sorted(expected - agents.keys())),
        listed=bool(expected),
        waited_s=round(waited_s, 3),
    )


def has_reached(agent: AgentStatus, offset: int) -> bool:
    """Return whether an agent reported that it has ``offset`` in force."""
    return agent.reached and agent.configuration_offset >= offset
