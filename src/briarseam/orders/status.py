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
    planner.Wait.FLOOR: "floor leaves none to spare",
    planner.Wait.LIMIT: "as many load as may",
    planner.Wait.LOADING: "loading",
    planner.Wait.UNREACHABLE: "not reporting",
    planner.Wait.FENCE_AHEAD: "has a higher fencing number",
}


@dataclasses.dataclass(frozen=True)
class Since:
    """The last picture of a model and since when it has been so."""

    picture: typing.Any
    since_s: float


class Watch:
    """Tells since when each model has not moved."""

    def __init__(self) -> None:
        self.pictures: dict[str, Since] = {}

    def look(self, model: str, picture: typing.Any, now_s: float) -> None:
        """Take in how a model stands now; ``None`` when it is done."""
        known = self.pictures.get(model)
        if picture is None:
            self.pictures.pop(model, None)
        elif known is None or known.picture != picture:
            self.pictures[model] = Since(picture, now_s)

    def unchanged_s(self, model: str, now_s: float) -> float:
        """Return for how long a model has not moved; 0 when done."""
        known = self.pictures.get(model)
        return now_s - known.since_s if known else 0.0


def picture_of(
    goal: goals.ModelGoal,
    targets: typing.Sequence[goals.Target],
    reports: planner.Reports,
    errands: planner.Errands,
) -> dict[str, state.Standing]:
    """Return how each engine stands to one model."""
    return {
        target.name: standing_with_adapter(
            goal, target, reports, errands.get((target.name, goal.model))
        )
        for target in targets
    }


def standing_with_adapter(
    goal: goals.ModelGoal,
    target: goals.Target,
    reports: planner.Reports,
    errand: state.Errand | None,
) -> state.Standing:
    """Return how an engine stands; serving only with the adapter."""
    report = reports.get(target.name)
    found = state.standing_of(goal.model, goal.version, report, errand)
    if found is not state.Standing.SERVING or not goal.adapter:
        return found
    loaded = report.state.models[goal.model] if report else None
    if loaded is not None and goal.adapter in loaded.adapters:
        return found
    return state.Standing.OTHER


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
    model: str, work: rollout.Rollout, standings: dict[str, state.Standing]
) -> str:
    """Return what a model waits for, the widest reason first."""
    if work.blocked:
        return work.blocked
    reasons = [
        f"{name}: {detail}"
        for name, detail in sorted(dict(work.giver.refusals).items())
        if name in standings
    ]
    waits: dict[str, list[str]] = collections.defaultdict(list)
    for waiting in work.waiting:
        if waiting.model == model:
            waits[REASONS[waiting.why]].append(waiting.target.name)
    reasons += [
        f"{', '.join(sorted(names))}: {reason}"
        for reason, names in sorted(waits.items())
    ]
    return "; ".join(reasons)


def model_rollout(
    goal: goals.ModelGoal,
    standings: dict[str, state.Standing],
    holder: str,
    unchanged_s: float,
    why: str,
) -> messages.ModelRollout:
    """Return how far one model is."""

    def named(*kinds: state.Standing) -> tuple[str, ...]:
        return tuple(
            sorted(name for name, kind in standings.items() if kind in kinds)
        )

    done = is_done(standings)
    unreachable = named(state.Standing.UNREACHABLE)
    if done and unreachable:
        why = f"{', '.join(unreachable)}: not reporting"
    return messages.ModelRollout(
        model=goal.model,
        version=goal.version,
        adapter=goal.adapter,
        endpoints=len(standings),
        serving=named(state.Standing.SERVING),
        other_versions=named(state.Standing.OTHER),
        loading=named(*state.COUNTED_LOADING),
        unreachable=unreachable,
        floor=goal.floor,
        holder=holder,
        done=done,
        unchanged_s=round(unchanged_s, 1),
        stuck=not done and unchanged_s >= STUCK_S,
        why=why if unreachable or not done else "",
    )


def is_done(standings: dict[str, state.Standing]) -> bool:
    """Tell whether every engine that reports is as wanted."""
    return all(
        kind in (state.Standing.SERVING, state.Standing.UNREACHABLE)
        for kind in standings.values()
    )
