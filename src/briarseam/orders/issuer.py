"""Sending single orders to engines and handling their answers."""

from __future__ import annotations

import dataclasses
import enum
import typing

from briarseam.endpoints import engine_orders
from briarseam.orders import goals
from briarseam.orders import state

if typing.TYPE_CHECKING:
    from briarseam.leases import service as leases_service
    from briarseam.metrics import instruments
    from briarseam.metrics import labels

FIRST_BACKOFF_S = 0.25
MAX_BACKOFF_S = 10.0

Clock = typing.Callable[[], float]
EventRecorder = typing.Callable[..., None]


@dataclasses.dataclass(frozen=True)
class Context:
    """What all rollouts of a process share.

    Attributes
    ----------
    leases, engines, engine_reports
        Fencing numbers, the client of the engines and their reports.
    clock
        Returns seconds; the clock of the leases.
    record_event
        Records an event on the time line.
    precedence
        Position of this process among those that may acquire a lease, by
        name of the lease; 0 is first.
    orders_given
        Counter of orders, by kind and outcome.
    """

    leases: leases_service.Leases
    engines: engine_orders.OrderClient
    engine_reports: state.EngineReports
    clock: Clock
    record_event: EventRecorder
    precedence: typing.Callable[[str], int]
    orders_given: labels.Family[instruments.Counter]


@dataclasses.dataclass(frozen=True)
class Backoff:
    """When an order may be sent again.

    Attributes
    ----------
    not_before_s
        Earliest time, in seconds of the clock.
    attempts
        How often the order was sent.
    """

    not_before_s: float
    attempts: int


class IssueResult(enum.Enum):
    """Whether further orders may follow an order, and if not, why."""

    CONTINUE = "go on"
    LEASE_EXPIRED = "the lease ran out"
    SUPERSEDED = "superseded"
    ORDER_LOST = "an order was lost"


class Issuer:
    """Sends the orders of one scope; not thread-safe.

    Attributes
    ----------
    load_orders
        Last load ordered, by engine and model.
    backoffs
        When an order may be sent again, by engine and order.
    refusals
        Why the last order was not accepted, by engine.
    order_number
        Number of the last order; part of its ID.
    """

    def __init__(self, context: Context) -> None:
        self.context = context
        self.load_orders: dict[tuple[str, str], state.LoadOrder] = {}
        self.backoffs: dict[tuple[str, engine_orders.Order], Backoff] = {}
        self.refusals: dict[str, str] = {}
        self.order_number = 0

    def reset_backoffs(self) -> None:
        """Clear the backoffs and the refusals."""
        self.backoffs.clear()
        self.refusals.clear()

    def reset(self) -> None:
        """Forget all orders, backoffs and refusals."""
        self.load_orders.clear()
        self.reset_backoffs()

    def issue(
        self,
        lease: str,
        fence: int,
        target: goals.Target,
        order: engine_orders.Order,
    ) -> IssueResult:
        """Send one order unless its backoff has not elapsed.

        Parameters
        ----------
        lease, fence
            Lease and fencing number under which it is sent.
        target
            The engine.
        order
            Desired state of the engine.
        """
        now_s = self.context.clock()
        backoff = self.backoffs.get((target.name, order))
        if backoff is not None and now_s < backoff.not_before_s:
            return IssueResult.CONTINUE
        # The lease may have expired after the last order, for instance
        # while this process was frozen; another holder then issues orders.
        if self.context.leases.holds(lease) != fence:
            return IssueResult.LEASE_EXPIRED
        self.order_number += 1
        outcome = self.context.engines.give(
            target.address, order, f"{fence}-{self.order_number}", fence
        )
        self.backoffs[target.name, order] = next_backoff(backoff, now_s)
        self.record_order(target, order, fence, outcome)
        return self.handle_outcome(lease, target, order, outcome)

    def handle_outcome(
        self,
        lease: str,
        target: goals.Target,
        order: engine_orders.Order,
        outcome: engine_orders.Outcome,
    ) -> IssueResult:
        """Handle an engine's answer; return whether orders may follow."""
        match outcome:
            case engine_orders.Taken():
                self.refusals.pop(target.name, None)
                self.record_load_order(target, order, confirmed=True)
                return IssueResult.CONTINUE
            case engine_orders.Refused(detail):
                self.refusals[target.name] = detail
                return IssueResult.CONTINUE
            case engine_orders.Superseded(fence):
                self.refusals[target.name] = (
                    f"has accepted fencing number {fence}"
                )
                self.context.leases.step_down(lease)
                return IssueResult.SUPERSEDED
            case engine_orders.Lost(detail):
                self.refusals[target.name] = detail
                self.record_load_order(target, order, confirmed=False)
                return IssueResult.ORDER_LOST

    def record_load_order(
        self,
        target: goals.Target,
        order: engine_orders.Order,
        confirmed: bool,
    ) -> None:
        """Record a load that the engine accepted or may have accepted."""
        if not isinstance(order, engine_orders.Load):
            return
        self.load_orders[target.name, order.model] = state.LoadOrder(
            order.version, self.context.clock(), confirmed
        )

    def record_order(
        self,
        target: goals.Target,
        order: engine_orders.Order,
        fence: int,
        outcome: engine_orders.Outcome,
    ) -> None:
        """Count an order and record it on the time line."""
        kind = type(order).__name__.lower()
        result = type(outcome).__name__.lower()
        self.context.orders_given.labelled(kind, result).add()
        path = "" if isinstance(order, engine_orders.TakeRole) else order.model
        self.context.record_event(
            "order-given",
            path=f"models/{path}" if path else "",
            endpoint=target.name,
            order=kind,
            outcome=result,
            fence=fence,
        )


def next_backoff(backoff: Backoff | None, now_s: float) -> Backoff:
    """Return the backoff after an order, doubled with each attempt."""
    attempts = backoff.attempts if backoff else 0
    wait_s = min(FIRST_BACKOFF_S * 2**attempts, MAX_BACKOFF_S)
    return Backoff(now_s + wait_s, attempts + 1)
