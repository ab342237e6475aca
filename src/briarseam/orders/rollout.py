"""Bringing one scope's engines to what is wanted, order by order."""

from __future__ import annotations

from briarseam.endpoints import engine_orders
from briarseam.leases import outcomes
from briarseam.orders import giver as givers
from briarseam.orders import goals
from briarseam.orders import planner
from briarseam.orders import state

STAGGER_S = 0.3
LOST_RACE_S = 0.1


class Rollout:
    """The orders of one scope; used by one thread only.

    Attributes
    ----------
    blocked
        Why no order can be given at all; empty when orders can be.
    waiting
        Engines that had to wait in the last plan.
    giver
        Gives the orders and remembers them.
    """

    def __init__(self, tools: givers.Tools) -> None:
        self.tools = tools
        self.scope: goals.Scope | None = None
        self.basis = 0
        self.fence = 0
        self.renumber = False
        self.differs_since_s: float | None = None
        self.not_before_s = 0.0
        self.blocked = ""
        self.waiting: tuple[planner.Waiting, ...] = ()
        self.giver = givers.Giver(tools)

    def step(self, scope: goals.Scope, basis: int) -> bool:
        """Give the orders that are due.

        Parameters
        ----------
        scope
            What is wanted.
        basis
            Offset of the configuration it comes from.

        Returns
        -------
        bool
            Whether anything is left to do.
        """
        self.take_scope(scope, basis)
        plan = planner.Planner(
            scope, self.tools.engine_reports.all(), self.giver.errands
        ).plan()
        if not is_due(plan):
            self.waiting = plan.waiting
            self.finish(scope)
            return False
        now_s = self.tools.clock()
        if self.differs_since_s is None:
            self.differs_since_s = now_s
        if now_s < self.not_before_s or not self.my_turn(scope, now_s):
            return True
        fence = self.take_lease(scope)
        if fence is None:
            self.waiting = plan.waiting
        else:
            self.give_due(scope, fence)
        return True

    def take_scope(self, scope: goals.Scope, basis: int) -> None:
        """Note a change of what is wanted.

        A change gets a new fencing number, so that an order of the former
        configuration that is still on its way is refused, and instances
        that lag behind the new one do not undo it.
        """
        if scope != self.scope:
            self.renumber = True
            self.giver.forget_pauses()
            self.not_before_s = 0.0
        self.scope = scope
        self.basis = basis

    def finish(self, scope: goals.Scope) -> None:
        """Give the lease back when all is as wanted."""
        self.blocked = ""
        self.differs_since_s = None
        self.giver.forget()
        if self.tools.leases.holds(scope.lease) is not None:
            self.tools.leases.release(scope.lease)
            self.tools.note("rollout-done", path=scope.lease)

    def my_turn(self, scope: goals.Scope, now_s: float) -> bool:
        """Tell whether to ask for the lease yet.

        All instances see a change at once; a place in line for each keeps
        them from appending all at once.
        """
        if self.tools.leases.holds(scope.lease) is not None:
            return True
        place = self.tools.precedence(scope.lease)
        started_s = self.differs_since_s or now_s
        if now_s < started_s + place * STAGGER_S:
            self.blocked = "another instance goes first"
            return False
        return True

    def take_lease(self, scope: goals.Scope) -> int | None:
        """Return our fencing number, or ``None`` and why in ``blocked``."""
        leases = self.tools.leases
        if self.renumber:
            outcome = leases.reacquire(scope.lease, self.basis)
        else:
            outcome = leases.acquire(scope.lease, self.basis)
        now_s = self.tools.clock()
        match outcome:
            case outcomes.Held(fence):
                self.renumber = False
                self.blocked = ""
                self.take_number(scope, fence)
                return fence
            case outcomes.NotHeld(holder, retry_after_s):
                self.blocked = f"{holder or 'another instance'} has the lease"
                self.not_before_s = now_s + min(retry_after_s, LOST_RACE_S)
            case outcomes.LogUnavailable(detail, retry_after_s):
                self.blocked = f"no lease, log unavailable: {detail}"
                self.not_before_s = now_s + retry_after_s
            case outcomes.Outdated(basis):
                self.blocked = f"configuration {basis} is not read yet"
        return None

    def take_number(self, scope: goals.Scope, fence: int) -> None:
        """Begin a tenure: note it and read all states anew."""
        if fence == self.fence:
            return
        self.fence = fence
        self.tools.note("lease-acquired", path=scope.lease, fence=fence)
        self.refresh(scope)

    def refresh(self, scope: goals.Scope) -> planner.Reports:
        """Read the states again and return those that came.

        A predecessor's last orders, and an engine that has just died,
        show only in reports asked for now.
        """
        fresh: dict[str, state.Report] = {}
        known = self.tools.engine_reports.all()
        for target in scope.targets:
            if target.name not in known:
                continue
            requested_s = self.tools.clock()
            try:
                found = self.tools.engines.state(target.address)
            except engine_orders.StateUnavailableError:
                continue
            fresh[target.name] = state.Report(found, requested_s)
            self.tools.engine_reports.put(target.name, fresh[target.name])
        return fresh

    def give_due(self, scope: goals.Scope, fence: int) -> None:
        """Give all orders that may be given now."""
        if not self.seal(scope, fence):
            return
        reports: planner.Reports = self.tools.engine_reports.all()
        plan = planner.Planner(
            scope, reports, self.giver.errands, fence
        ).plan()
        if any(step.lowers for step in plan.steps):
            # The floor must count engines that serve now, not those that
            # did at the last poll.
            reports = self.refresh(scope)
            plan = planner.Planner(
                scope, reports, self.giver.errands, fence
            ).plan()
        self.waiting = plan.waiting
        for step in plan.steps:
            if not self.give(scope, step.target, step.order):
                return

    def give(
        self,
        scope: goals.Scope,
        target: goals.Target,
        order: engine_orders.Order,
    ) -> bool:
        """Give one order; tell whether further ones may follow."""
        after = self.giver.give(scope.lease, self.fence, target, order)
        if after is givers.After.GO_ON:
            return True
        self.blocked = after.value
        if after is givers.After.LOST:
            # The lost order may arrive after a later one of ours; a new
            # number has it refused where numbers are checked.
            self.renumber = True
        return False

    def seal(self, scope: goals.Scope, fence: int) -> bool:
        """Make engines that check numbers take ours before all else.

        Otherwise an order of the former holder that is still on its way
        would be taken by an engine that waits for its turn, which takes
        it out beside those that we take out.  The order repeats what the
        engine has, so it changes nothing.
        """
        known = self.tools.engine_reports.all()
        for target in scope.targets:
            report = known.get(target.name)
            if report is None or not report.state.fencing:
                continue
            order = present_load(scope, target, report.state)
            if order is None or report.state.fence >= fence:
                continue
            if not self.give(scope, target, order):
                return False
            self.reread(target)
        return True

    def reread(self, target: goals.Target) -> None:
        """Read one engine's state again."""
        requested_s = self.tools.clock()
        try:
            found = self.tools.engines.state(target.address)
        except engine_orders.StateUnavailableError:
            return
        self.tools.engine_reports.put(
            target.name, state.Report(found, requested_s)
        )


def is_due(plan: planner.Plan) -> bool:
    """Tell whether there is anything to order or to wait for."""
    return bool(plan.steps) or any(
        waiting.why is not planner.Wait.UNREACHABLE for waiting in plan.waiting
    )


def present_load(
    scope: goals.Scope,
    target: goals.Target,
    reported: engine_orders.EngineState,
) -> engine_orders.Load | None:
    """Return the load that an engine has done or is doing already."""
    for model in target.models:
        loaded = reported.models.get(model)
        if loaded is None:
            continue
        version = loaded.loading or loaded.version
        if version is not None:
            return engine_orders.Load(model, version, scope.weights)
    return None
