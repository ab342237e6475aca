"""Messages of status queries."""

from __future__ import annotations

import dataclasses

from briarseam.wire import codec


@codec.message("status-asked")
@dataclasses.dataclass(frozen=True)
class StatusAsked:
    """Query the status of an agent.

    Attributes
    ----------
    all_members
        Whether to include the status of all other known agents, not only of
        the agent that answers.
    """

    all_members: bool


@dataclasses.dataclass(frozen=True)
class Rollout:
    """Progress of the rollout of a model's weight version.

    Attributes
    ----------
    model, version
        Target of the rollout, from the configuration.
    serving, wanted
        Number of endpoints that report the version, and the number that
        should.
    loading
        Number of endpoints that are loading it.
    detail
        Why the rollout makes no progress; empty while it does.
    """

    model: str
    version: str
    serving: int
    wanted: int
    loading: int
    detail: str


@dataclasses.dataclass(frozen=True)
class AgentStatus:
    """Status of one agent.

    Attributes
    ----------
    name, zone, cell, state
        Identity and member state, as the agent itself knows them; from the
        answering agent's membership or instance list if it is not reached.
    configuration_offset
        Offset of the last configuration record that it applied.
    stale_s
        Time since its configuration was last confirmed to be current, in
        seconds; -1 if it never was.
    age_s
        Time since the answering agent's last direct contact with it, in
        seconds.
    running
        Number of granted requests that have not ended.
    reached
        Whether it answered.
    rollouts
        Progress of the rollouts that it leads.
    region
        Its region; empty if it did not answer.
    """

    name: str
    zone: str
    cell: str
    state: str
    configuration_offset: int = 0
    stale_s: float = -1.0
    age_s: float = 0.0
    running: int = 0
    reached: bool = True
    rollouts: tuple[Rollout, ...] = ()
    region: str = ""


@codec.message("status")
@dataclasses.dataclass(frozen=True)
class Status:
    """Status of the queried agents, sorted by name."""

    agents: tuple[AgentStatus, ...]
