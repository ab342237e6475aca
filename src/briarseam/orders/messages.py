"""Messages that report the progress of rollouts to operators."""

from __future__ import annotations

import dataclasses

from briarseam.wire import codec


@codec.message("ask-rollouts")
@dataclasses.dataclass(frozen=True)
class AskRollouts:
    """Query the progress of the rollouts as one agent sees it."""


@codec.message("model-rollout")
@dataclasses.dataclass(frozen=True)
class ModelRollout:
    """Progress of one model as one agent sees it.

    Attributes
    ----------
    model, version, adapter
        The desired state.
    endpoints
        Number of engines that should serve it.
    serving
        Engines that report the desired state.
    other_versions
        Engines that serve another version.
    loading
        Engines that are loading.
    unreachable
        Engines that do not report.
    floor
        Least number of engines that serve at any time.
    holder
        Holder of the lease; empty when there is none.
    done
        Whether every engine that reports is in the desired state.
    unchanged_s
        Seconds without a change; 0 when done.
    stuck
        Whether ``unchanged_s`` is longer than a load should take.
    why
        What it waits for; when done, the engines that do not report, or
        empty.
    """

    model: str
    version: str
    adapter: str
    endpoints: int
    serving: tuple[str, ...]
    other_versions: tuple[str, ...]
    loading: tuple[str, ...]
    unreachable: tuple[str, ...]
    floor: int
    holder: str
    done: bool
    unchanged_s: float
    stuck: bool
    why: str


@codec.message("rollouts")
@dataclasses.dataclass(frozen=True)
class Rollouts:
    """Progress of all models in the configuration of an agent.

    Attributes
    ----------
    agent
        Name of the agent.
    offset
        Offset of its configuration.
    models
        Progress by model and scope.
    """

    agent: str
    offset: int
    models: tuple[ModelRollout, ...]
