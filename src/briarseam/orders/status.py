"""How far each model is and what it waits for."""

from __future__ import annotations

import collections
import dataclasses
import typing

from briarseam.orders import goals
from briarseam.orders import messages
from briarseam.orders import planner
from briarseam.orders import rollout
from briarseam.orders import state

# A load takes seconds; without any change for so long an operator should
# look.
STUCK_S = 15.0
REASONS = {
    planner.WaitReason.FLOOR: "floor leaves none to spare",
    planner.WaitReason.LOADING_LIMIT: "as many load as may",
    planner.WaitReason.LOADING: "loading",
    planner.WaitReason.UNREACHABLE: "not reporting",
    planner.WaitReason.FENCE_AHEAD: "has a higher fencing number",
}


@dataclasses.dataclass(frozen=True)
class Observation:
    """The last picture of a model and since when it has been so."""

    observed: typing.Any
    started_s: float


class ProgressWatch:
    """Tells since when each model has not moved."""

    def __init__(self) -> None:
        self.observations: dict[str, Observation] = {}

    def update(self, model: str, observed: typing.Any, now_s: float) -> None:
        """Take in how a model stands now; ``None`` when it is done."""
        observation = self.observations.get(model)
        if observed is None:
            self.observations.pop(model, None)
        elif observation is None or observation.observed != observed:
            self.observations[model] = Observation(observed, now_s)

    def unchanged_s(self, model: str, now_s: float) -> float:
        """Return for how long a model has not moved; 0 when done."""
        observation = self.observations.get(model)
        return now_s - observation.started_s if observation else 0.0


def statuses_of(
    goal: goals.ModelGoal,
    targets: typing.Sequence[goals.Target],
    reports: planner.Reports,
    load_orders: planner.LoadOrders,
) -> dict[str, state.VersionStatus]:
    """Return how each engine stands to one model."""
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
    """Return how an engine stands; serving only with the adapter."""
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
    """Return how far the loads of a model are."""
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
    """Return what a model waits for, the widest reason first."""
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
    """Return how far one model is."""

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
    """Tell whether every engine that reports is as wanted."""
    return all(
        status
        in (state.VersionStatus.SERVING, state.VersionStatus.UNREACHABLE)
        for status in statuses.values()
    )
