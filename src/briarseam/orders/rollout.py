"""Bringing one scope's engines to what is wanted, order by order."""

from __future__ import annotations

import dataclasses
import typing

import structlog

from briarseam.endpoints import engine_orders
from briarseam.leases import outcomes
from briarseam.orders import goals
from briarseam.orders import planner
from briarseam.orders import state

if typing.TYPE_CHECKING:
    from briarseam.leases import service as leases_service
    from briarseam.metrics import instruments
    from briarseam.metrics import labels

STAGGER_S = 0.3
FIRST_BACKOFF_S = 0.25
MAX_BACKOFF_S = 10.0
LOST_RACE_S = 0.1
log = structlog.get_logger("briarseam.orders")

Clock = typing.Callable[[], float]
Note = typing.Callable[..., None]


@dataclasses.dataclass(frozen=True)
class Tools:
    """What every rollout of a process uses.

    Attributes
    ----------
    leases, engines, board
        Fencing numbers, the engines and their reports.
    clock
        Seconds; the leases' clock.
    note
        Notes an event on the time line.
    precedence
        This process's place among those that may take a lease; 0 first.
    given
        Counts orders by kind and outcome.
    """

    leases: leases_service.Leases
    engines: engine_orders.EngineOrders
    board: state.Board
    clock: Clock
    note: Note
    precedence: typing.Callable[[str], int]
    given: labels.Family[instruments.Counter]


@dataclasses.dataclass(frozen=True)
class Backoff:
    """When an order may be given again."""

    not_before_s: float
    attempts: int


class Rollout:
    """The orders of one scope; used by one thread only.

    Attributes
    ----------
    blocked
        Why no order can be given at all; empty when orders can be.
    waiting
        Engines that had to wait in the last plan.
    refusals
        What engines last said against an order, by name.
    """

    def __init__(self, tools: Tools) -> None:
        self.tools = tools
        self.scope: goals.Scope | None = None
        self.basis = 0
        self.fence = 0
        self.renumber = False
        self.differs_since_s: float | None = None
        self.not_before_s = 0.0
        self.errands: dict[tuple[str, str], state.Errand] = {}
        self.backoffs: dict[tuple[str, engine_orders.Order], Backoff] = {}
        self.blocked = ""
        self.waiting: tuple[planner.Waiting, ...] = ()
        self.refusals: dict[str, str] = {}
        self.serial = 0

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
            scope, self.tools.board.all(), self.errands
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
            self.backoffs.clear()
            self.refusals.clear()
            self.not_before_s = 0.0
        self.scope = scope
        self.basis = basis

    def finish(self, scope: goals.Scope) -> None:
        """Give the lease back when all is as wanted."""
        self.blocked = ""
        self.differs_since_s = None
        self.errands.clear()
        self.backoffs.clear()
        self.refusals.clear()
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
            outcome = leases.renumber(scope.lease, self.basis)
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
            case outcomes.LogDown(detail, retry_after_s):
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

    def refresh(self, scope: goals.Scope) -> planner.Readings:
        """Read the states again and return those that came.

        A predecessor's last orders, and an engine that has just died,
        show only in reports asked for now.
        """
        fresh: dict[str, state.Reading] = {}
        known = self.tools.board.all()
        for target in scope.targets:
            if target.name not in known:
                continue
            asked_s = self.tools.clock()
            try:
                found = self.tools.engines.state(target.address)
            except engine_orders.StateUnavailableError:
                continue
            fresh[target.name] = state.Reading(found, asked_s)
            self.tools.board.put(target.name, fresh[target.name])
        return fresh

    def give_due(self, scope: goals.Scope, fence: int) -> None:
        """Give all orders that may be given now."""
        if not self.seal(scope, fence):
            return
        readings: planner.Readings = self.tools.board.all()
        plan = planner.Planner(scope, readings, self.errands, fence).plan()
        if any(step.lowers for step in plan.steps):
            # The floor must count engines that serve now, not those that
            # did at the last poll.
            readings = self.refresh(scope)
            plan = planner.Planner(scope, readings, self.errands, fence).plan()
        self.waiting = plan.waiting
        for step in plan.steps:
            if not self.give(scope, step.target, step.order):
                return

    def seal(self, scope: goals.Scope, fence: int) -> bool:
        """Make engines that check numbers take ours before all else.

        Otherwise an order of the former holder that is still on its way
        would be taken by an engine that waits for its turn, which takes
        it out beside those that we take out.  The order repeats what the
        engine has, so it changes nothing.
        """
        known = self.tools.board.all()
        for target in scope.targets:
            reading = known.get(target.name)
            if reading is None or not reading.state.fencing:
                continue
            order = present_load(scope, target, reading.state)
            if order is None or reading.state.fence >= fence:
                continue
            if not self.give(scope, target, order):
                return False
            self.reread(target)
        return True

    def reread(self, target: goals.Target) -> None:
        """Read one engine's state again."""
        asked_s = self.tools.clock()
        try:
            found = self.tools.engines.state(target.address)
        except engine_orders.StateUnavailableError:
            return
        self.tools.board.put(target.name, state.Reading(found, asked_s))

    def give(
        self,
        scope: goals.Scope,
        target: goals.Target,
        order: engine_orders.Order,
    ) -> bool:
        """Give one order unless it is too early to repeat it.

        Returns
        -------
        bool
            Whether further orders may follow.
        """
        now_s = self.tools.clock()
        backoff = self.backoffs.get((target.name, order))
        if backoff is not None and now_s < backoff.not_before_s:
            return True
        # The lease may have run out since the last order, for instance
        # while this process was frozen: then a successor gives the orders.
        fence = self.tools.leases.holds(scope.lease)
        if fence is None or fence != self.fence:
            self.blocked = "the lease ran out"
            return False
        self.serial += 1
        outcome = self.tools.engines.give(
            target.address, order, f"{fence}-{self.serial}", fence
        )
        self.backoffs[target.name, order] = longer(backoff, now_s)
        self.note_given(target, order, fence, outcome)
        return self.take_outcome(scope, target, order, outcome)

    def take_outcome(
        self,
        scope: goals.Scope,
        target: goals.Target,
        order: engine_orders.Order,
        outcome: engine_orders.Outcome,
    ) -> bool:
        """Draw what follows from an engine's answer."""
        match outcome:
            case engine_orders.Taken():
                self.refusals.pop(target.name, None)
                self.note_errand(target, order, settled=True)
                return True
            case engine_orders.Refused(detail):
                self.refusals[target.name] = detail
                return True
            case engine_orders.Superseded(fence):
                self.refusals[target.name] = f"has taken number {fence}"
                self.tools.leases.step_down(scope.lease)
                self.blocked = "superseded"
                return False
            case engine_orders.Lost(detail):
                self.refusals[target.name] = detail
                self.note_errand(target, order, settled=False)
                # The lost order may arrive after a later one of ours; a
                # new number has it refused where numbers are checked.
                self.renumber = True
                return False

    def note_errand(
        self,
        target: goals.Target,
        order: engine_orders.Order,
        settled: bool,
    ) -> None:
        """Remember a load that was or may have been taken."""
        if not isinstance(order, engine_orders.Load):
            return
        self.errands[target.name, order.model] = state.Errand(
            order.version, self.tools.clock(), settled
        )

    def note_given(
        self,
        target: goals.Target,
        order: engine_orders.Order,
        fence: int,
        outcome: engine_orders.Outcome,
    ) -> None:
        """Count an order and put it on the time line."""
        kind = type(order).__name__.lower()
        result = type(outcome).__name__.lower()
        self.tools.given.labelled(kind, result).add()
        path = "" if isinstance(order, engine_orders.TakeRole) else order.model
        self.tools.note(
            "order-given",
            path=f"models/{path}" if path else "",
            endpoint=target.name,
            order=kind,
            outcome=result,
            fence=fence,
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


def longer(backoff: Backoff | None, now_s: float) -> Backoff:
    """Return when an order may be given once more."""
    attempts = backoff.attempts if backoff else 0
    wait_s = min(FIRST_BACKOFF_S * 2**attempts, MAX_BACKOFF_S)
    return Backoff(now_s + wait_s, attempts + 1)
