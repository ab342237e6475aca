"""Planning the next orders from the desired and the reported state.

Planning has no side effects, so that tests can check the floor and the
loading limit for any states of the engines.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import typing

from briarseam.endpoints import engine_orders
from briarseam.orders import goals
from briarseam.orders import state


class WaitReason(enum.StrEnum):
    """Why an engine that differs from its goal receives no order now."""

    FLOOR = "floor"
    LOADING_LIMIT = "loading-limit"
    LOADING = "loading"
    UNREACHABLE = "unreachable"
    FENCE_AHEAD = "fence-ahead"


@dataclasses.dataclass(frozen=True)
class Step:
    """One order to send.

    Attributes
    ----------
    target
        The engine.
    order
        Desired state of the engine.
    interrupts_serving
        Whether the engine serves now and stops serving while it loads.
    """

    target: goals.Target
    order: engine_orders.Order
    interrupts_serving: bool = False


@dataclasses.dataclass(frozen=True)
class Waiting:
    """An engine that differs from its goal and has to wait."""

    target: goals.Target
    model: str
    reason: WaitReason


@dataclasses.dataclass(frozen=True)
class Plan:
    """Orders to send now and engines that wait.

    Both are empty when all engines are in the desired state.
    """

    steps: tuple[Step, ...]
    waiting: tuple[Waiting, ...]


Reports = typing.Mapping[str, state.Report]
LoadOrders = typing.Mapping[tuple[str, str], state.LoadOrder]


class Planner:
    """Makes one plan for one scope.

    Parameters
    ----------
    scope
        The engines and their goals.
    reports
        Last report, by engine; absent for an engine that does not report.
    load_orders
        Last load ordered, by engine and model.
    fence
        Fencing number of this process; ``None`` without a lease, for a
        plan that only shows the remaining work.
    """

    def __init__(
        self,
        scope: goals.Scope,
        reports: Reports,
        load_orders: LoadOrders,
        fence: int | None = None,
    ) -> None:
        self.scope = scope
        self.reports = reports
        self.load_orders = load_orders
        self.fence = fence
        self.steps: list[Step] = []
        self.waiting: list[Waiting] = []
        self.loading = {
            target.name for target in scope.targets if self.is_loading(target)
        }

    def plan(self) -> Plan:
        """Return the orders to send now and the engines that wait."""
        for goal in self.scope.goals.values():
            self.plan_loads(goal)
            self.plan_adapters(goal)
        self.plan_roles()
        return Plan(tuple(self.steps), tuple(self.waiting))

    def status_of(
        self, target: goals.Target, model: str
    ) -> state.VersionStatus:
        """Return the status of an engine compared with a model's goal."""
        return state.version_status_of(
            model,
            self.scope.goals[model].version,
            self.reports.get(target.name),
            self.load_orders.get((target.name, model)),
        )

    def is_loading(self, target: goals.Target) -> bool:
        """Return whether an engine loads, by its report and its orders."""
        report = self.reports.get(target.name)
        if report is not None and any(
            model.loading is not None for model in report.state.models.values()
        ):
            return True
        return any(
            self.status_of(target, model) in state.COUNT_AS_LOADING
            for model in target.models
        )

    def plan_loads(self, goal: goals.ModelGoal) -> None:
        """Plan the weight loads of one model."""
        targets = self.scope.targets_of_model(goal.model)
        statuses = {
            target.name: self.status_of(target, goal.model)
            for target in targets
        }
        serving = [
            target
            for target in targets
            if statuses[target.name] in state.COUNT_AS_SERVING
        ]
        for target in targets:
            match statuses[target.name]:
                case state.VersionStatus.UNREACHABLE:
                    self.add_waiting(target, goal, WaitReason.UNREACHABLE)
                case state.VersionStatus.LOADING:
                    self.add_waiting(target, goal, WaitReason.LOADING)
                case state.VersionStatus.ORDERED:
                    self.plan_repeat(target, goal)
                case state.VersionStatus.LOADING_OTHER:
                    self.add_load(target, goal, interrupts_serving=False)
                case state.VersionStatus.EMPTY:
                    self.add_load_within_limit(
                        target, goal, interrupts_serving=False
                    )
        behind = [
            target
            for target in serving
            if statuses[target.name] is state.VersionStatus.OTHER_VERSION
        ]
        self.plan_replacements(goal, serving, behind)

    def plan_replacements(
        self,
        goal: goals.ModelGoal,
        serving: list[goals.Target],
        behind: list[goals.Target],
    ) -> None:
        """Plan loads on engines that serve another version.

        Engines of the zone with the most serving engines come first, so
        that a rollout does not leave a zone without a serving engine.
        """
        spare = len(serving) - goal.floor
        serving_by_zone = collections.Counter(
            target.zone for target in serving
        )
        while behind:
            target = min(
                behind,
                key=lambda target: (
                    -serving_by_zone[target.zone],
                    target.name,
                ),
            )
            behind.remove(target)
            # Loading on one more engine leaves fewer serving engines than
            # the floor, and requests are refused for lack of an endpoint.
            if spare <= 0:
                self.add_waiting(target, goal, WaitReason.FLOOR)
            elif self.add_load_within_limit(
                target, goal, interrupts_serving=True
            ):
                spare -= 1
                serving_by_zone[target.zone] -= 1

    def add_load_within_limit(
        self,
        target: goals.Target,
        goal: goals.ModelGoal,
        interrupts_serving: bool,
    ) -> bool:
        """Plan a load unless the loading limit is reached.

        Returns
        -------
        bool
            Whether the load is planned.
        """
        # More simultaneous loads than the weight store sustains slow down
        # all of them.  A second model on a loading engine waits, too.
        if target.name in self.loading:
            self.add_waiting(target, goal, WaitReason.LOADING)
            return False
        if len(self.loading) >= self.scope.max_loading:
            self.add_waiting(target, goal, WaitReason.LOADING_LIMIT)
            return False
        if not self.add_load(target, goal, interrupts_serving):
            return False
        self.loading.add(target.name)
        return True

    def plan_repeat(self, target: goals.Target, goal: goals.ModelGoal) -> None:
        """Plan a load again if its answer was lost."""
        load_order = self.load_orders[target.name, goal.model]
        report = self.reports[target.name]
        if load_order.confirmed or report.requested_s < load_order.ended_s:
            self.add_waiting(target, goal, WaitReason.LOADING)
        else:
            self.add_load(target, goal, interrupts_serving=False)

    def add_load(
        self,
        target: goals.Target,
        goal: goals.ModelGoal,
        interrupts_serving: bool,
    ) -> bool:
        """Plan a load; return whether the engine would accept it."""
        if self.fence_ahead(target):
            self.add_waiting(target, goal, WaitReason.FENCE_AHEAD)
            return False
        order = engine_orders.Load(
            goal.model, goal.version, self.scope.weights
        )
        self.steps.append(Step(target, order, interrupts_serving))
        return True

    def plan_adapters(self, goal: goals.ModelGoal) -> None:
        """Plan the adapters of one model."""
        if not goal.adapter:
            return
        for target in self.scope.targets_of_model(goal.model):
            report = self.reports.get(target.name)
            if report is None:
                continue
            model_state = report.state.models.get(goal.model)
            if model_state is None or goal.adapter in model_state.adapters:
                continue
            if self.fence_ahead(target):
                self.add_waiting(target, goal, WaitReason.FENCE_AHEAD)
                continue
            order = engine_orders.LoadAdapter(goal.model, goal.adapter)
            self.steps.append(Step(target, order))

    def plan_roles(self) -> None:
        """Plan the roles of the engines."""
        for target in self.scope.targets:
            report = self.reports.get(target.name)
            if not target.role or report is None:
                continue
            if report.state.role != target.role and not self.fence_ahead(
                target
            ):
                order = engine_orders.TakeRole(target.role)
                self.steps.append(Step(target, order))

    def fence_ahead(self, target: goals.Target) -> bool:
        """Return whether the engine has accepted a higher fencing number.

        It refuses every order of this process.  Acquiring the lease again
        for each refusal would flood the log without reaching that number.
        """
        report = self.reports.get(target.name)
        if report is None or self.fence is None:
            return False
        return report.state.fencing and report.state.fence > self.fence

    def add_waiting(
        self, target: goals.Target, goal: goals.ModelGoal, reason: WaitReason
    ) -> None:
        """Add an engine that has to wait to the plan."""
        self.waiting.append(Waiting(target, goal.model, reason))
