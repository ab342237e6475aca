"""Update of one engine to the desired weights."""

from __future__ import annotations

import dataclasses
import math
import threading
import typing

import structlog

from briarseam import clocks
from briarseam.weights import engine_weights
from briarseam.weights import goals
from briarseam.weights import orders
from briarseam.weights import plan as plans

if typing.TYPE_CHECKING:
    from briarseam.discovery import model as discovery
    from briarseam.weights import leader

# Time between the notice to peers and the order in ``FINISH`` mode; after it
# no peer sends requests to the engine.
NOTICE_S = 0.6
# The same in the other modes, when time is short: the heartbeats with the
# notice are sent at once.
SHORT_NOTICE_S = 0.1
POLL_S = 0.15
# Longest time for one engine: its runs end within their deadlines, and
# loading takes two seconds.  Then the rollout considers the engine again.
MAX_UPDATE_S = 8.0
# Reports are some hundred milliseconds old, so they may not yet show an order
# that was accepted.
REPORT_LAG_S = 0.8
log = structlog.get_logger("briarseam.weights")


class EngineRefusedError(Exception):
    """An engine refuses an order."""


class Engines(typing.Protocol):
    """Calls to engines."""

    def report(self, address: str, endpoint: str) -> orders.Report:
        """Return an engine's report."""

    def order(
        self, address: str, endpoint: str, order: orders.VersionOrder
    ) -> orders.Outcome:
        """Order new weights."""


@dataclasses.dataclass(frozen=True)
class Sources:
    """Dependencies of a rollout.

    Attributes
    ----------
    goals
        Returns the desired weights by model.
    targets
        Returns the engines of a model, without those that are leaving.
    leadership
        Whether this instance may give orders.
    engines
        Calls to engines.
    known_weights
        Known weight versions of the engines.
    own_name
        Name of this instance in orders.
    remaining_s
        Returns the seconds until weights of a model are excluded from use.
    before_order
        Called right before each order.
    publish
        Sends the state of ``known_weights`` to peers at once.
    """

    goals: typing.Callable[[], dict[str, goals.WeightGoal]]
    targets: typing.Callable[[str], list[discovery.Endpoint]]
    leadership: leader.Leadership
    engines: Engines
    known_weights: engine_weights.EngineWeights
    own_name: str
    remaining_s: typing.Callable[[str, int], float] = lambda model, version: (
        math.inf
    )
    before_order: typing.Callable[[], None] = lambda: None
    publish: typing.Callable[[], None] = lambda: None


class EngineUpdate:
    """The update of one engine.

    Parameters
    ----------
    sources
        Dependencies of the rollout.
    durations
        Records how long the update took.
    model, target
        Name of the model, and the engine.
    mode
        What happens to the engine's runs.
    """

    def __init__(
        self,
        sources: Sources,
        durations: plans.ChangeDurations,
        model: str,
        target: discovery.Endpoint,
        mode: orders.Mode,
    ) -> None:
        self.sources = sources
        self.durations = durations
        self.model = model
        self.target = target
        self.mode = mode
        # Orders that the engine had accepted before it accepted this one.
        self.taken_before: int | None = None
        self.ordered_s = 0.0

    def run(self, stopping: threading.Event) -> bool:
        """Update the engine to the newest desired weights.

        Returns
        -------
        bool
            Whether the engine may be updated again at once; false if it does
            not report or refuses the order.
        """
        known_weights = self.sources.known_weights
        known_weights.begin_change(self.target.id)
        try:
            self.sources.publish()
            stopping.wait(self.notice_s())
            return self.step_until_done(stopping)
        except orders.EngineUnavailableError as error:
            log.warning(
                "engine_unavailable",
                endpoint=self.target.id,
                detail=str(error),
            )
            return False
        except EngineRefusedError:
            return False
        finally:
            known_weights.end_change(self.target.id)

    def notice_s(self) -> float:
        """Return the time between the notice to peers and the order."""
        if self.mode is orders.Mode.FINISH:
            return NOTICE_S
        return SHORT_NOTICE_S

    def step_until_done(self, stopping: threading.Event) -> bool:
        """Repeat steps until the update is done or takes too long.

        Raises
        ------
        EngineUnavailableError
            When the engine does not report.
        EngineRefusedError
            When the engine refuses the order.
        """
        until_s = clocks.boot_clock() + MAX_UPDATE_S
        while clocks.boot_clock() < until_s:
            if stopping.is_set() or self.step():
                return True
            stopping.wait(POLL_S)
        log.warning(
            "weights_overdue", endpoint=self.target.id, model=self.model
        )
        return True

    def step(self) -> bool:
        """Read the report and order what is due; return whether it is done."""
        sources = self.sources
        report = sources.engines.report(self.target.address, self.target.id)
        goal = sources.goals()[self.model]
        version = report.versions.get(self.model, 0)
        if report.changing or not self.is_shown(report.orders_taken):
            return False
        sources.known_weights.record_version(
            self.target.id, self.model, version
        )
        if version >= goal.version:
            self.record_done(version)
            return True
        return self.order(goal, report.orders_taken)

    def is_shown(self, orders_taken: int) -> bool:
        """Return whether a report can't be one from before the order."""
        if self.taken_before is None or orders_taken > self.taken_before:
            return True
        return clocks.boot_clock() - self.ordered_s >= REPORT_LAG_S

    def record_done(self, version: int) -> None:
        """Record that the engine has the desired weights."""
        took_s = clocks.boot_clock() - self.ordered_s
        if self.taken_before is not None:
            self.durations.record(self.mode, took_s)
        log.info(
            "weights_in_place",
            endpoint=self.target.id,
            model=self.model,
            version=version,
            took_s=None if self.taken_before is None else round(took_s, 2),
        )

    def order(self, goal: goals.WeightGoal, orders_taken: int) -> bool:
        """Give an order; return whether the update is done."""
        sources = self.sources
        if sources.leadership.fence() is None:
            return True
        # Called before the order, so that no heartbeat in between reports
        # that none was given.
        sources.before_order()
        fence = sources.leadership.fence()
        if fence is None:
            return True
        order = orders.VersionOrder(
            model=goal.model,
            version=goal.version,
            mode=self.mode,
            leader=sources.own_name,
            fence=fence,
            orders_taken=orders_taken,
        )
        outcome = sources.engines.order(
            self.target.address, self.target.id, order
        )
        log.info(
            "order_given",
            endpoint=self.target.id,
            model=goal.model,
            version=goal.version,
            mode=self.mode.value,
            fence=fence,
            orders_taken=orders_taken,
            outcome=type(outcome).__name__.lower(),
        )
        return self.handle_outcome(outcome, order)

    def handle_outcome(
        self, outcome: orders.Outcome, order: orders.VersionOrder
    ) -> bool:
        """Apply the outcome of an order; return whether the update is done.

        Raises
        ------
        EngineRefusedError
            When another engine answers at the address, or the engine does
            not know the weights yet.  Repeating the order would delay the
            updates of other engines.
        """
        match outcome:
            case orders.Taken():
                self.taken_before = order.orders_taken
                self.ordered_s = clocks.boot_clock()
            case orders.Superseded():
                self.sources.leadership.record_superseded(order.fence)
                return True
            case orders.Refused(detail):
                raise EngineRefusedError(detail)
            case orders.Busy() | orders.Lost():
                # The engine's next report shows whether it was accepted.
                return False
        return False
