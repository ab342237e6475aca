"""How far rollouts are, for operators."""

from __future__ import annotations

import dataclasses

from briarseam.wire import codec


@codec.message("ask-rollouts")
@dataclasses.dataclass(frozen=True)
class AskRollouts:
    """Ask an agent how it sees the rollouts."""


@codec.message("model-rollout")
@dataclasses.dataclass(frozen=True)
class ModelRollout:
    """How far one model is, as one agent sees it.

    Attributes
    ----------
    model, version, adapter
        What is wanted.
    endpoints
        Engines that are to serve it.
    serving
        Engines that report what is wanted.
    other_versions
        Engines that serve another version.
    loading
        Engines that load.
    unreachable
        Engines that do not report.
    floor
        Least number that keeps serving.
    holder
        Who gives the orders; empty when nobody does.
    done
        Whether every engine that reports is as wanted.
    unchanged_s
        Seconds since anything changed; 0 when done.
    stuck
        Whether that is longer than a load should take.
    why
        What it waits for; empty when done.
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
    """All models of an agent's configuration."""

    agent: str
    offset: int
    models: tuple[ModelRollout, ...]
