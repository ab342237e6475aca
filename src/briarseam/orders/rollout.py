"""Bringing the engines of one scope to the desired state by orders."""

from __future__ import annotations

from briarseam.endpoints import engine_orders
from briarseam.leases import outcomes
from briarseam.orders import goals
from briarseam.orders import issuer as issuer_module
from briarseam.orders import planner
from briarseam.orders import state

STAGGER_S = 0.3
LOST_RACE_RETRY_S = 0.1


class Rollout:
    """Issues the orders of one scope; not thread-safe.

    Attributes
    ----------
    scope
        The engines and their goals.
    configuration_offset
        Offset of the configuration that the scope comes from.
    fence
        Fencing number of the last tenure.
    needs_new_fence
        Whether the lease must be acquired again for a higher fencing
        number.
    difference_started_s
        When an engine was first seen to differ from its goal; ``None``
        when all are in the desired state.
    not_before_s
        Earliest time at which to try to acquire the lease.
    blocked
        Why no order can be sent at all; empty when orders can be sent.
    waiting
        Engines that had to wait in the last plan.
    issuer
        Sends the orders and records them.
    """

    def __init__(self, context: issuer_module.Context) -> None:
        self.context = context
        self.scope: goals.Scope | None = None
        self.configuration_offset = 0
        self.fence = 0
        self.needs_new_fence = False
        self.difference_started_s: float | None = None
        self.not_before_s = 0.0
        self.blocked = ""
        self.waiting: tuple[planner.Waiting, ...] = ()
        self.issuer = issuer_module.Issuer(context)

    def step(self, scope: goals.Scope, configuration_offset: int) -> bool:
        """Send the orders that are due.

        Parameters
        ----------
        scope
            The engines and their goals.
        configuration_offset
            Offset of the configuration that the scope comes from.

        Returns
        -------
        bool
            Whether any work remains.
        """
        self.apply_scope(scope, configuration_offset)
        plan = planner.Planner(
            scope, self.context.engine_reports.all(), self.issuer.load_orders
        ).plan()
        if not has_work(plan):
            self.waiting = plan.waiting
            self.finish(scope)
            return False
        now_s = self.context.clock()
        if self.difference_started_s is None:
            self.difference_started_s = now_s
        if now_s < self.not_before_s or not self.may_acquire_lease(
            scope, now_s
        ):
            return True
        fence = self.acquire_lease(scope)
        if fence is None:
            self.waiting = plan.waiting
        else:
            self.issue_due_orders(scope, fence)
        return True

    def apply_scope(
        self, scope: goals.Scope, configuration_offset: int
    ) -> None:
        """Apply the scope of the current configuration.

        A change requires a new fencing number.  An order of the former
        configuration that is still in transit is then refused, and
        instances that have not read the new configuration do not undo it.
        """
        if scope != self.scope:
            self.needs_new_fence = True
            self.issuer.reset_backoffs()
            self.not_before_s = 0.0
        self.scope = scope
        self.configuration_offset = configuration_offset

    def finish(self, scope: goals.Scope) -> None:
        """Release the lease when all engines are in the desired state."""
        self.blocked = ""
        self.difference_started_s = None
        self.issuer.reset()
        if self.context.leases.holds(scope.lease) is not None:
            self.context.leases.release(scope.lease)
            self.context.record_event("rollout-done", path=scope.lease)

    def may_acquire_lease(self, scope: goals.Scope, now_s: float) -> bool:
        """Return whether this process may try to acquire the lease yet.

        All instances see a change at the same time.  The delay by
        precedence prevents them from all appending to the log at once.
        """
        if self.context.leases.holds(scope.lease) is not None:
            return True
        position = self.context.precedence(scope.lease)
        started_s = self.difference_started_s or now_s
        if now_s < started_s + position * STAGGER_S:
            self.blocked = "another instance is first in line for the lease"
            return False
        return True

    def acquire_lease(self, scope: goals.Scope) -> int | None:
        """Acquire the lease.

        Returns
        -------
        int or None
            The fencing number; ``None`` when the lease is not acquired,
            with the reason in ``blocked``.
        """
        leases = self.context.leases
        if self.needs_new_fence:
            outcome = leases.reacquire(scope.lease, self.configuration_offset)
        else:
            outcome = leases.acquire(scope.lease, self.configuration_offset)
        now_s = self.context.clock()
        match outcome:
            case outcomes.Held(fence):
                self.needs_new_fence = False
                self.blocked = ""
                self.begin_tenure(scope, fence)
                return fence
            case outcomes.NotHeld(holder, retry_after_s):
                self.blocked = (
                    f"{holder or 'another instance'} holds the lease"
                )
                self.not_before_s = now_s + min(
                    retry_after_s, LOST_RACE_RETRY_S
                )
            case outcomes.LogUnavailable(detail, retry_after_s):
                self.blocked = f"no lease, log unavailable: {detail}"
                self.not_before_s = now_s + retry_after_s
            case outcomes.Outdated(offset):
                self.blocked = f"configuration {offset} is not read yet"
        return None

    def begin_tenure(self, scope: goals.Scope, fence: int) -> None:
        """Record the start of a tenure and read all states again."""
        if fence == self.fence:
            return
        self.fence = fence
        self.context.record_event(
            "lease-acquired", path=scope.lease, fence=fence
        )
        self.refresh_reports(scope)

    def refresh_reports(self, scope: goals.Scope) -> planner.Reports:
        """Read the states again and return the reports received.

        The last orders of a predecessor, and an engine that has just
        failed, are visible only in reports requested from now on.
        """
        fresh: dict[str, state.Report] = {}
        known = self.context.engine_reports.all()
        for target in scope.targets:
            if target.name not in known:
                continue
            requested_s = self.context.clock()
            try:
                engine_state = self.context.engines.state(target.address)
            except engine_orders.StateUnavailableError:
                continue
            fresh[target.name] = state.Report(engine_state, requested_s)
            self.context.engine_reports.put(target.name, fresh[target.name])
        return fresh

    def issue_due_orders(self, scope: goals.Scope, fence: int) -> None:
        """Send all orders that may be sent now."""
        if not self.raise_fences(scope, fence):
            return
        reports: planner.Reports = self.context.engine_reports.all()
        plan = planner.Planner(
            scope, reports, self.issuer.load_orders, fence
        ).plan()
        if any(step.interrupts_serving for step in plan.steps):
            # The floor counts engines that serve now, not those that
            # served at the last poll.
            reports = self.refresh_reports(scope)
            plan = planner.Planner(
                scope, reports, self.issuer.load_orders, fence
            ).plan()
        self.waiting = plan.waiting
        for step in plan.steps:
            if not self.issue(scope, step.target, step.order):
                return

    def issue(
        self,
        scope: goals.Scope,
        target: goals.Target,
        order: engine_orders.Order,
    ) -> bool:
        """Send one order; return whether further orders may follow."""
        after = self.issuer.issue(scope.lease, self.fence, target, order)
        if after is issuer_module.IssueResult.CONTINUE:
            return True
        self.blocked = after.value
        if after is issuer_module.IssueResult.ORDER_LOST:
            # The lost order may arrive after a later order of this
            # process; engines that check fencing numbers refuse it once
            # they have accepted a higher one.
            self.needs_new_fence = True
        return False

    def raise_fences(self, scope: goals.Scope, fence: int) -> bool:
        """Raise the fencing number of engines that check it.

        Otherwise a waiting engine would accept an order of the former
        holder that is still in transit, and would load in addition to the
        engines that this process orders to load.  The order that raises
        the number repeats the load that the engine has, so it changes
        nothing else.

        Returns
        -------
        bool
            Whether further orders may follow.
        """
        known = self.context.engine_reports.all()
        for target in scope.targets:
            report = known.get(target.name)
            if report is None or not report.state.fencing:
                continue
            order = current_load(scope, target, report.state)
            if order is None or report.state.fence >= fence:
                continue
            if not self.issue(scope, target, order):
                return False
            self.refresh_report(target)
        return True

    def refresh_report(self, target: goals.Target) -> None:
        """Read the state of one engine again."""
        requested_s = self.context.clock()
        try:
            engine_state = self.context.engines.state(target.address)
        except engine_orders.StateUnavailableError:
            return
        self.context.engine_reports.put(
            target.name, state.Report(engine_state, requested_s)
        )


def has_work(plan: planner.Plan) -> bool:
    """Return whether there is anything to order or to wait for."""
    return bool(plan.steps) or any(
        waiting.reason is not planner.WaitReason.UNREACHABLE
        for waiting in plan.waiting
    )


def current_load(
    scope: goals.Scope,
    target: goals.Target,
    reported: engine_orders.EngineState,
) -> engine_orders.Load | None:
    """Return a load that an engine has completed or is performing."""
    for model in target.models:
        loaded = reported.models.get(model)
        if loaded is None:
            continue
        version = loaded.loading or loaded.version
        if version is not None:
            return engine_orders.Load(model, version, scope.weights)
    return None
