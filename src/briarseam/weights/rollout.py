"""Update of all engines to the desired weights, some at a time."""

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
# Backoff for an engine that does not report or refuses an order, so that it
# does not delay the updates of other engines.
BACKOFF_S = 2.0
# Share of the engines whose weights may be excluded from use without changing
# the plan for the others.
MAX_EXCLUDED_SHARE = 0.1
log = structlog.get_logger("briarseam.weights")


class Rollout:
    """Gives orders while this instance is the leader.

    Parameters
    ----------
    sources
        Dependencies of the rollout.
    """

    def __init__(self, sources: engine_updates.Sources) -> None:
        self.sources = sources
        self.busy: set[str] = set()
        self.backoff_until: dict[str, float] = {}
        self.durations = plans.ChangeDurations()
        # The last plan that was logged, by model.
        self.logged_plans: dict[str, tuple[goals.WeightGoal, plans.Plan]] = {}
        self.lock = threading.Lock()
        self.reviews = repeating.Repeater("rollout", self.review, REVIEW_S)

    def start(self) -> None:
        """Start the rollout."""
        self.reviews.start()

    def stop(self) -> None:
        """Stop giving orders."""
        self.reviews.stop()

    def review(self) -> None:
        """Advance the rollouts of all models if this instance is leader."""
        if self.sources.leadership.fence() is None:
            return
        for goal in self.sources.goals().values():
            self.advance(goal)

    def advance(self, goal: goals.WeightGoal) -> None:
        """Start updates of as many engines of a model as the plan allows."""
        targets = self.sources.targets(goal.model)
        outdated = self.outdated(goal, targets)
        if not outdated:
            return
        plan = self.plan(goal, targets, outdated)
        for target in outdated:
            with self.lock:
                if len(self.busy) >= plan.at_once:
                    return
                if not self.may_start(target.id):
                    continue
                self.busy.add(target.id)
            threading.Thread(
                target=self.run_update,
                args=(self.engine_update(goal.model, target, plan.mode),),
                name=f"weights-{target.id}",
                daemon=True,
            ).start()

    def engine_update(
        self, model: str, target: discovery.Endpoint, mode: orders.Mode
    ) -> engine_updates.EngineUpdate:
        """Return the update of one engine."""
        return engine_updates.EngineUpdate(
            self.sources, self.durations, model, target, mode
        )

    def start_backoff(self, endpoint: str) -> None:
        """Start the backoff of an engine whose update failed."""
        now_s = clocks.boot_clock()
        with self.lock:
            # Each start of an engine has its own id, so expired entries
            # would accumulate.
            self.backoff_until = {
                other: until_s
                for other, until_s in self.backoff_until.items()
                if until_s > now_s
            }
            self.backoff_until[endpoint] = now_s + BACKOFF_S

    def may_start(self, endpoint: str) -> bool:
        """Return whether an engine is neither being updated nor in backoff."""
        if endpoint in self.busy:
            return False
        return clocks.boot_clock() >= self.backoff_until.get(endpoint, 0.0)

    def plan(
        self,
        goal: goals.WeightGoal,
        targets: list[discovery.Endpoint],
        outdated: list[discovery.Endpoint],
    ) -> plans.Plan:
        """Return how to continue; ``outdated`` is not empty."""
        remaining_s = self.remaining_s(goal.model, len(targets), outdated)
        with self.lock:
            in_progress = sum(target.id in self.busy for target in outdated)
        plan = plans.make(
            len(targets),
            len(outdated) - in_progress,
            remaining_s,
            self.durations,
            in_progress,
        )
        if (goal, plan) != self.logged_plans.get(goal.model):
            self.logged_plans[goal.model] = (goal, plan)
            log.info(
                "rollout_planned",
                model=goal.model,
                version=goal.version,
                engines=len(targets),
                behind=len(outdated),
                time_left_s=(
                    None if remaining_s == math.inf else round(remaining_s, 1)
                ),
                at_once=plan.at_once,
                mode=plan.mode.value,
            )
        return plan

    def remaining_s(
        self, model: str, engines: int, outdated: list[discovery.Endpoint]
    ) -> float:
        """Return the seconds until engines' weights are excluded from use.

        A few engines whose weights are excluded already, since they did not
        answer or are restarting, do not speed up the updates of the others.
        """
        all_remaining_s = sorted(
            self.sources.remaining_s(model, self.version_of(target, model))
            for target in outdated
        )
        in_use_s = [each_s for each_s in all_remaining_s if each_s > 0]
        excluded = len(all_remaining_s) - len(in_use_s)
        if in_use_s and excluded <= max(1, engines * MAX_EXCLUDED_SHARE):
            return in_use_s[0]
        return all_remaining_s[0]

    def outdated(
        self, goal: goals.WeightGoal, targets: list[discovery.Endpoint]
    ) -> list[discovery.Endpoint]:
        """Return the engines that have older weights, oldest first."""
        versions = {
            target: self.version_of(target, goal.model) for target in targets
        }
        outdated = [
            target
            for target, version in versions.items()
            if version < goal.version
        ]
        return sorted(outdated, key=lambda target: versions[target])

    def version_of(self, target: discovery.Endpoint, model: str) -> int:
        """Return the known weight version of an engine."""
        announced = target.versions.get(model, 0)
        return self.sources.known_weights.version(target.id, model, announced)

    def run_update(self, update: engine_updates.EngineUpdate) -> None:
        """Run the update of one engine and free its slot afterwards."""
        try:
            if not update.run(self.reviews.stopping):
                self.start_backoff(update.target.id)
        finally:
            with self.lock:
                self.busy.discard(update.target.id)
