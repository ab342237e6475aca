"""Bringing one engine to the wanted weights."""

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

# Between the word that an engine takes no work and the order, where its runs
# may finish: no peer then sends to it any more.
NOTICE_S = 0.6
# The same where time is short: the heartbeats that tell it are sent at once.
SHORT_NOTICE_S = 0.1
POLL_S = 0.15
# Longest time for one engine: its runs end within their deadlines, and the
# load takes two seconds.  Then it is looked at anew.
ERRAND_S = 8.0
# What an engine reports is some hundred milliseconds old: it may not show an
# order yet that was taken.
REPORT_LAG_S = 0.8
log = structlog.get_logger("briarseam.weights")


class EngineRefusedError(Exception):
    """An engine does not take orders."""


class Engines(typing.Protocol):
    """Calls to engines."""

    def report(self, address: str, endpoint: str) -> orders.Report:
        """Return what an engine reports."""

    def order(
        self, address: str, endpoint: str, order: orders.VersionOrder
    ) -> orders.Outcome:
        """Order new weights."""


@dataclasses.dataclass(frozen=True)
class Sources:
    """What a rollout goes by.

    Attributes
    ----------
    goals
        Returns the wanted weights by model.
    targets
        Returns the engines of a model, leaving ones left out.
    leadership
        Tells whether this instance gives orders.
    engines
        Calls to engines.
    known_weights
        What is known of their weights.
    own_name
        Name of this instance in orders.
    remaining_s
        Returns the seconds until weights of a model are out of use.
    before_order
        Called right before each order.
    publish
        Lets peers know at once what the board says.
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
    """One engine that is being changed.

    Parameters
    ----------
    sources
        What a rollout goes by.
    times
        Takes in how long it took.
    model, target
        Which.
    mode
        What happens to its runs.
    """

    def __init__(
        self,
        sources: Sources,
        times: plans.ChangeTimes,
        model: str,
        target: discovery.Endpoint,
        mode: orders.Mode,
    ) -> None:
        self.sources = sources
        self.times = times
        self.model = model
        self.target = target
        self.mode = mode
        # Orders that the engine had accepted when it took ours.
        self.taken: int | None = None
        self.ordered_s = 0.0

    def run(self, stopping: threading.Event) -> bool:
        """Bring the engine to the newest wanted weights.

        Returns
        -------
        bool
            Whether it may be taken up again at once; not where it does not
            report or refuses the order.
        """
        known_weights = self.sources.known_weights
        known_weights.begin_change(self.target.id)
        try:
            self.sources.publish()
            stopping.wait(self.notice_s())
            return self.keep_at_it(stopping)
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
        """Return the time between the word to peers and the order."""
        if self.mode is orders.Mode.FINISH:
            return NOTICE_S
        return SHORT_NOTICE_S

    def keep_at_it(self, stopping: threading.Event) -> bool:
        """Look at the engine again and again; tell if more is to be done.

        Raises
        ------
        EngineUnavailableError
            When it does not report.
        EngineRefusedError
            When it does not take orders.
        """
        until_s = clocks.boot_clock() + ERRAND_S
        while clocks.boot_clock() < until_s:
            if stopping.is_set() or self.step():
                return True
            stopping.wait(POLL_S)
        log.warning(
            "weights_overdue", endpoint=self.target.id, model=self.model
        )
        return True

    def step(self) -> bool:
        """Look at the engine and order what is due; tell if it is done."""
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
            self.note_in_place(version)
            return True
        return self.order(goal, report.orders_taken)

    def is_shown(self, orders_taken: int) -> bool:
        """Tell whether a report can be told from one before the order."""
        if self.taken is None or orders_taken > self.taken:
            return True
        return clocks.boot_clock() - self.ordered_s >= REPORT_LAG_S

    def note_in_place(self, version: int) -> None:
        """Take note that the engine has the wanted weights."""
        took_s = clocks.boot_clock() - self.ordered_s
        if self.taken is not None:
            self.times.note(self.mode, took_s)
        log.info(
            "weights_in_place",
            endpoint=self.target.id,
            model=self.model,
            version=version,
            took_s=None if self.taken is None else round(took_s, 2),
        )

    def order(self, goal: goals.WeightGoal, orders_taken: int) -> bool:
        """Give an order; tell if there is nothing more to do here."""
        sources = self.sources
        if sources.leadership.fence() is None:
            return True
        # Told first, so that no heartbeat between says that none was given.
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
        return self.take(outcome, order)

    def take(
        self, outcome: orders.Outcome, order: orders.VersionOrder
    ) -> bool:
        """Draw what follows from an order; tell if nothing more is to do.

        Raises
        ------
        EngineRefusedError
            When another engine answers there now, or one that does not know
            the weights yet; asked again and again it would keep the others
            from their turn.
        """
        match outcome:
            case orders.Taken():
                self.taken = order.orders_taken
                self.ordered_s = clocks.boot_clock()
            case orders.Superseded():
                self.sources.leadership.note_superseded(order.fence)
                return True
            case orders.Refused(detail):
                raise EngineRefusedError(detail)
            case orders.Busy() | orders.Lost():
                # Its report tells what became of it.
                return False
        return False
