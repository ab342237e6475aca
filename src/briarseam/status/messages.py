"""Messages about the state of agents."""

from __future__ import annotations

import dataclasses

from briarseam.wire import codec


@codec.message("status-asked")
@dataclasses.dataclass(frozen=True)
class StatusAsked:
    """Ask an agent how it is.

    Attributes
    ----------
    all_members
        Whether to ask the other members of the cell too.
    """

    all_members: bool


@dataclasses.dataclass(frozen=True)
class Rollout:
    """How far a model's weight version has got.

    Attributes
    ----------
    model, version
        What the configuration wants.
    serving, wanted
        Endpoints that report the version, of how many.
    loading
        Endpoints that load it now.
    detail
        Why it does not go on; empty when it does.
    """

    model: str
    version: str
    serving: int
    wanted: int
    loading: int
    detail: str


@dataclasses.dataclass(frozen=True)
class AgentStatus:
    """One agent.

    Attributes
    ----------
    name, zone, cell, state
        As the answering agent's membership has it.
    configuration_offset
        Offset of the last configuration record in force there.
    stale_s
        Time since it last had proof that this is current; -1 for never.
    age_s
        Time since it was heard, in seconds.
    running
        Granted requests that have not ended.
    reached
        Whether it answered.
    rollouts
        Of the models whose rollout it leads.
    region
        Its region; empty of an agent that did not answer.
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
    """The agents asked, in order of name."""

    agents: tuple[AgentStatus, ...]
