"""Bringing engines to the wanted weights, some at a time."""

from __future__ import annotations

import math
import threading
import typing

import structlog

from briarseam import clocks
from briarseam import repeating
from briarseam.weights import engine_updates
from briarseam.weights import goals
from briarseam.weights import orders
from briarseam.weights import plan as plans

if typing.TYPE_CHECKING:
    from briarseam.discovery import model as discovery

REVIEW_S = 0.25
# An engine that does not report, or refuses an order, is left alone for so
# long, so that it does not keep the others from their turn.
UNAVAILABLE_S = 2.0
# Engines that may be out of use without haste for the others.
FEW_SHARE = 0.1
log = structlog.get_logger("briarseam.weights")


class Rollout:
    """Gives orders while this instance holds the duty.

    Parameters
    ----------
    sources
        What it goes by.
    """

    def __init__(self, sources: engine_updates.Sources) -> None:
        self.sources = sources
        self.busy: set[str] = set()
        self.silent_until: dict[str, float] = {}
        self.times = plans.ChangeTimes()
        # The last plan that was logged, by model.
        self.planned: dict[str, tuple[goals.WeightGoal, plans.Plan]] = {}
        self.lock = threading.Lock()
        self.reviews = repeating.Repeater("rollout", self.review, REVIEW_S)

    def start(self) -> None:
        """Begin."""
        self.reviews.start()

    def stop(self) -> None:
        """Give no further orders."""
        self.reviews.stop()

    def review(self) -> None:
        """Look after all models if this instance gives the orders."""
        if self.sources.leadership.fence() is None:
            return
        for goal in self.sources.goals().values():
            self.advance(goal)

    def advance(self, goal: goals.WeightGoal) -> None:
        """Take up as many engines of a model as may be changed at once."""
        targets = self.sources.targets(goal.model)
        behind = self.behind(goal, targets)
        if not behind:
            return
        plan = self.plan(goal, targets, behind)
        for target in behind:
            with self.lock:
                if len(self.busy) >= plan.at_once:
                    return
                if not self.may_begin(target.id):
                    continue
                self.busy.add(target.id)
            threading.Thread(
                target=self.bring,
                args=(self.errand(goal.model, target, plan.mode),),
                name=f"weights-{target.id}",
                daemon=True,
            ).start()

    def errand(
        self, model: str, target: discovery.Endpoint, mode: orders.Mode
    ) -> engine_updates.EngineUpdate:
        """Return what changes one engine."""
        return engine_updates.EngineUpdate(
            self.sources, self.times, model, target, mode
        )

    def note_silent(self, endpoint: str) -> None:
        """Leave an engine that does not report alone for a while."""
        now_s = clocks.boot_clock()
        with self.lock:
            # Each start has an id of its own: what is over must not stay.
            self.silent_until = {
                other: until_s
                for other, until_s in self.silent_until.items()
                if until_s > now_s
            }
            self.silent_until[endpoint] = now_s + UNAVAILABLE_S

    def may_begin(self, endpoint: str) -> bool:
        """Tell whether an engine is neither being changed nor silent."""
        if endpoint in self.busy:
            return False
        return clocks.boot_clock() >= self.silent_until.get(endpoint, 0.0)

    def plan(
        self,
        goal: goals.WeightGoal,
        targets: list[discovery.Endpoint],
        behind: list[discovery.Endpoint],
    ) -> plans.Plan:
        """Return how to go on; ``behind`` is not empty."""
        left_s = self.time_left_s(goal.model, len(targets), behind)
        with self.lock:
            under_way = sum(target.id in self.busy for target in behind)
        plan = plans.make(
            len(targets),
            len(behind) - under_way,
            left_s,
            self.times,
            under_way,
        )
        if (goal, plan) != self.planned.get(goal.model):
            self.planned[goal.model] = (goal, plan)
            log.info(
                "rollout_planned",
                model=goal.model,
                version=goal.version,
                engines=len(targets),
                behind=len(behind),
                time_left_s=None if left_s == math.inf else round(left_s, 1),
                at_once=plan.at_once,
                mode=plan.mode.value,
            )
        return plan

    def time_left_s(
        self, model: str, engines: int, behind: list[discovery.Endpoint]
    ) -> float:
        """Return the seconds until engines' weights are out of use.

        A few engines whose weights already are, since they did not answer
        or are just restarting, are no reason to hurry all others.
        """
        left = sorted(
            self.sources.remaining_s(model, self.version_of(target, model))
            for target in behind
        )
        in_use = [left_s for left_s in left if left_s > 0]
        out_of_use = len(left) - len(in_use)
        if in_use and out_of_use <= max(1, engines * FEW_SHARE):
            return in_use[0]
        return left[0]

    def behind(
        self, goal: goals.WeightGoal, targets: list[discovery.Endpoint]
    ) -> list[discovery.Endpoint]:
        """Return the engines that have older weights, oldest first."""
        versions = {
            target: self.version_of(target, goal.model) for target in targets
        }
        behind = [
            target
            for target, version in versions.items()
            if version < goal.version
        ]
        return sorted(behind, key=lambda target: versions[target])

    def version_of(self, target: discovery.Endpoint, model: str) -> int:
        """Return the weights that an engine is known to have."""
        announced = target.versions.get(model, 0)
        return self.sources.known_weights.version(target.id, model, announced)

    def bring(self, errand: engine_updates.EngineUpdate) -> None:
        """Change one engine; its place is free again afterwards."""
        try:
            if not errand.run(self.reviews.stopping):
                self.note_silent(errand.target.id)
        finally:
            with self.lock:
                self.busy.discard(errand.target.id)
