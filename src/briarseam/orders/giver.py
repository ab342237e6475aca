"""Giving engines single orders, and what became of each."""

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
Note = typing.Callable[..., None]


@dataclasses.dataclass(frozen=True)
class Tools:
    """What every rollout of a process uses.

    Attributes
    ----------
    leases, engines, engine_reports
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
    engine_reports: state.EngineReports
    clock: Clock
    note: Note
    precedence: typing.Callable[[str], int]
    given: labels.Family[instruments.Counter]


@dataclasses.dataclass(frozen=True)
class Backoff:
    """When an order may be given again."""

    not_before_s: float
    attempts: int


class After(enum.Enum):
    """What follows from the attempt to give an order."""

    GO_ON = "go on"
    RAN_OUT = "the lease ran out"
    SUPERSEDED = "superseded"
    LOST = "an order was lost"


class Giver:
    """Gives the orders of one scope; used by one thread only.

    Attributes
    ----------
    errands
        Last load given, by engine and model.
    refusals
        What engines last said against an order, by name.
    """

    def __init__(self, tools: Tools) -> None:
        self.tools = tools
        self.errands: dict[tuple[str, str], state.Errand] = {}
        self.backoffs: dict[tuple[str, engine_orders.Order], Backoff] = {}
        self.refusals: dict[str, str] = {}
        self.serial = 0

    def forget_pauses(self) -> None:
        """Begin anew with pauses and refusals."""
        self.backoffs.clear()
        self.refusals.clear()

    def forget(self) -> None:
        """Forget all that was given."""
        self.errands.clear()
        self.forget_pauses()

    def give(
        self,
        lease: str,
        fence: int,
        target: goals.Target,
        order: engine_orders.Order,
    ) -> After:
        """Give one order unless it is too early to repeat it.

        Parameters
        ----------
        lease, fence
            Under which it is given.
        target
            The engine.
        order
            What should be so.
        """
        now_s = self.tools.clock()
        backoff = self.backoffs.get((target.name, order))
        if backoff is not None and now_s < backoff.not_before_s:
            return After.GO_ON
        # The lease may have run out since the last order, for instance
        # while this process was frozen: then a successor gives the orders.
        if self.tools.leases.holds(lease) != fence:
            return After.RAN_OUT
        self.serial += 1
        outcome = self.tools.engines.give(
            target.address, order, f"{fence}-{self.serial}", fence
        )
        self.backoffs[target.name, order] = longer(backoff, now_s)
        self.note_given(target, order, fence, outcome)
        return self.take_outcome(lease, target, order, outcome)

    def take_outcome(
        self,
        lease: str,
        target: goals.Target,
        order: engine_orders.Order,
        outcome: engine_orders.Outcome,
    ) -> After:
        """Draw what follows from an engine's answer."""
        match outcome:
            case engine_orders.Taken():
                self.refusals.pop(target.name, None)
                self.note_errand(target, order, settled=True)
                return After.GO_ON
            case engine_orders.Refused(detail):
                self.refusals[target.name] = detail
                return After.GO_ON
            case engine_orders.Superseded(fence):
                self.refusals[target.name] = f"has taken number {fence}"
                self.tools.leases.step_down(lease)
                return After.SUPERSEDED
            case engine_orders.Lost(detail):
                self.refusals[target.name] = detail
                self.note_errand(target, order, settled=False)
                return After.LOST

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


def longer(backoff: Backoff | None, now_s: float) -> Backoff:
    """Return when an order may be given once more."""
    attempts = backoff.attempts if backoff else 0
    wait_s = min(FIRST_BACKOFF_S * 2**attempts, MAX_BACKOFF_S)
    return Backoff(now_s + wait_s, attempts + 1)
