"""Progress of each model and the reasons why it waits."""

from __future__ import annotations

import collections
import dataclasses
import typing

from briarseam.orders import goals
from briarseam.orders import messages
from briarseam.orders import planner
from briarseam.orders import rollout
from briarseam.orders import state

# A load takes seconds, so an operator should look into a rollout without
# any change for this long.
STUCK_S = 15.0
REASONS = {
    planner.WaitReason.FLOOR: "floor leaves none to spare",
    planner.WaitReason.LOADING_LIMIT: "loading limit is reached",
    planner.WaitReason.LOADING: "loading",
    planner.WaitReason.UNREACHABLE: "not reporting",
    planner.WaitReason.FENCE_AHEAD: "has a higher fencing number",
}


@dataclasses.dataclass(frozen=True)
class Observation:
    """The last observed progress of a model and when it was first seen."""

    observed: typing.Any
    started_s: float


class ProgressWatch:
    """Measures how long the progress of each model has not changed."""

    def __init__(self) -> None:
        self.observations: dict[str, Observation] = {}

    def update(self, model: str, observed: typing.Any, now_s: float) -> None:
        """Record the progress of a model; ``None`` when it is done."""
        observation = self.observations.get(model)
        if observed is None:
            self.observations.pop(model, None)
        elif observation is None or observation.observed != observed:
            self.observations[model] = Observation(observed, now_s)

    def unchanged_s(self, model: str, now_s: float) -> float:
        """Return how long a model has not changed; 0 when done."""
        observation = self.observations.get(model)
        return now_s - observation.started_s if observation else 0.0


def statuses_of(
    goal: goals.ModelGoal,
    targets: typing.Sequence[goals.Target],
    reports: planner.Reports,
    load_orders: planner.LoadOrders,
) -> dict[str, state.VersionStatus]:
    """Return the status of each engine for one model."""
    return {
        target.name: version_status_with_adapter(
            goal, target, reports, load_orders.get((target.name, goal.model))
        )
        for target in targets
    }


def version_status_with_adapter(
    goal: goals.ModelGoal,
    target: goals.Target,
    reports: planner.Reports,
    load_order: state.LoadOrder | None,
) -> state.VersionStatus:
    """Return the status of an engine; serving only with the adapter."""
    report = reports.get(target.name)
    version_status = state.version_status_of(
        goal.model, goal.version, report, load_order
    )
    if version_status is not state.VersionStatus.SERVING or not goal.adapter:
        return version_status
    loaded = report.state.models[goal.model] if report else None
    if loaded is not None and goal.adapter in loaded.adapters:
        return version_status
    return state.VersionStatus.OTHER_VERSION


def progress_of(
    model: str, reports: planner.Reports
) -> tuple[tuple[str, float], ...]:
    """Return the progress of the loads of a model, by engine."""
    return tuple(
        (name, report.state.models[model].progress)
        for name, report in sorted(reports.items())
        if model in report.state.models
    )


def reason_of(
    model: str,
    scope_rollout: rollout.Rollout,
    statuses: dict[str, state.VersionStatus],
) -> str:
    """Return what a model waits for.

    A reason that blocks the whole scope hides the reasons of single
    engines.
    """
    if scope_rollout.blocked:
        return scope_rollout.blocked
    reasons = [
        f"{name}: {detail}"
        for name, detail in sorted(dict(scope_rollout.issuer.refusals).items())
        if name in statuses
    ]
    waits: dict[str, list[str]] = collections.defaultdict(list)
    for waiting in scope_rollout.waiting:
        if waiting.model == model:
            waits[REASONS[waiting.reason]].append(waiting.target.name)
    reasons += [
        f"{', '.join(sorted(names))}: {reason}"
        for reason, names in sorted(waits.items())
    ]
    return "; ".join(reasons)


def model_rollout(
    goal: goals.ModelGoal,
    statuses: dict[str, state.VersionStatus],
    holder: str,
    unchanged_s: float,
    why: str,
) -> messages.ModelRollout:
    """Return the progress of one model."""

    def names_with(*included: state.VersionStatus) -> tuple[str, ...]:
        return tuple(
            sorted(
                name for name, status in statuses.items() if status in included
            )
        )

    done = is_done(statuses)
    unreachable = names_with(state.VersionStatus.UNREACHABLE)
    if done and unreachable:
        why = f"{', '.join(unreachable)}: not reporting"
    return messages.ModelRollout(
        model=goal.model,
        version=goal.version,
        adapter=goal.adapter,
        endpoints=len(statuses),
        serving=names_with(state.VersionStatus.SERVING),
        other_versions=names_with(state.VersionStatus.OTHER_VERSION),
        loading=names_with(*state.COUNT_AS_LOADING),
        unreachable=unreachable,
        floor=goal.floor,
        holder=holder,
        done=done,
        unchanged_s=round(unchanged_s, 1),
        stuck=not done and unchanged_s >= STUCK_S,
        why=why if unreachable or not done else "",
    )


def is_done(statuses: dict[str, state.VersionStatus]) -> bool:
    """Return whether every engine that reports is in the desired state."""
    return all(
        status
        in (state.VersionStatus.SERVING, state.VersionStatus.UNREACHABLE)
        for status in statuses.values()
    )
