"""Bringing engines to the wanted weights, some at a time."""

from __future__ import annotations

import dataclasses
import math
import threading
import typing

import structlog

from briarseam import clocks
from briarseam.weights import board as boards
from briarseam.weights import goals
from briarseam.weights import orders
from briarseam.weights import plan as plans

if typing.TYPE_CHECKING:
    from briarseam.discovery import model as discovery
    from briarseam.weights import tenure as tenures

# Between the word that an engine takes no work and the order, where its runs
# may finish: no peer then sends to it any more.
NOTICE_S = 0.6
# The same where time is short: the heartbeats that tell it are sent at once.
SHORT_NOTICE_S = 0.1
POLL_S = 0.15
REVIEW_S = 0.25
# Longest time for one engine: its runs end within their deadlines, and the
# load takes two seconds.  Then it is looked at anew.
ERRAND_S = 8.0
# What an engine reports is some hundred milliseconds old: it may not show an
# order yet that was taken.
REPORT_LAG_S = 0.8
# An engine that does not report is left alone for so long, so that it does
# not keep the others from their turn.
UNAVAILABLE_S = 2.0
# Engines that may be out of use without haste for the others.
FEW_SHARE = 0.1
log = structlog.get_logger("briarseam.weights")


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
    tenure
        Tells whether this instance gives orders.
    engines
        Calls to engines.
    board
        What is known of their weights.
    holder
        Name of this instance in orders.
    time_left_s
        Returns the seconds until weights of a model are out of use.
    ordering
        Called right before each order.
    tell_peers
        Lets peers know at once what the board says.
    """

    goals: typing.Callable[[], dict[str, goals.WeightGoal]]
    targets: typing.Callable[[str], list[discovery.Endpoint]]
    tenure: tenures.Tenure
    engines: Engines
    board: boards.Board
    holder: str
    time_left_s: typing.Callable[[str, int], float] = lambda model, version: (
        math.inf
    )
    ordering: typing.Callable[[], None] = lambda: None
    tell_peers: typing.Callable[[], None] = lambda: None


@dataclasses.dataclass
class Errand:
    """One engine that is being changed.

    Attributes
    ----------
    model, target
        Which.
    mode
        What happens to its runs.
    taken
        The orders that it had accepted when it took ours; ``None`` before.
    ordered_s
        When it took the last one, by the boot clock.
    """

    model: str
    target: discovery.Endpoint
    mode: orders.Mode
    taken: int | None = None
    ordered_s: float = 0.0

    def is_shown(self, orders_taken: int) -> bool:
        """Tell whether a report can be told from one before the order."""
        if self.taken is None or orders_taken > self.taken:
            return True
        return clocks.boot_clock() - self.ordered_s >= REPORT_LAG_S


class Rollout:
    """Gives orders while this instance holds the duty.

    Parameters
    ----------
    sources
        What it goes by.
    """

    def __init__(self, sources: Sources) -> None:
        self.sources = sources
        self.busy: set[str] = set()
        self.silent_until: dict[str, float] = {}
        self.times = plans.ChangeTimes()
        # The last plan that was logged, by model.
        self.planned: dict[str, tuple[goals.WeightGoal, plans.Plan]] = {}
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name="rollout", daemon=True
        )

    def start(self) -> None:
        """Begin."""
        self.thread.start()

    def stop(self) -> None:
        """Give no further orders."""
        self.stopping.set()

    def run(self) -> None:
        """Look after all models until stopped."""
        while not self.stopping.wait(REVIEW_S):
            if self.sources.tenure.fence() is None:
                continue
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
                args=(Errand(goal.model, target, plan.mode),),
                name=f"weights-{target.id}",
                daemon=True,
            ).start()

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
            self.sources.time_left_s(model, self.version_of(target, model))
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
        return self.sources.board.version(target.id, model, announced)

    def bring(self, errand: Errand) -> None:
        """Bring one engine to the newest wanted weights."""
        target = errand.target
        board = self.sources.board
        board.begin(target.id)
        try:
            self.sources.tell_peers()
            self.stopping.wait(self.notice_s(errand.mode))
            until_s = clocks.boot_clock() + ERRAND_S
            while clocks.boot_clock() < until_s:
                if self.stopping.is_set() or self.step(errand):
                    return
                self.stopping.wait(POLL_S)
            log.warning(
                "weights_overdue", endpoint=target.id, model=errand.model
            )
        except orders.EngineUnavailableError as error:
            self.silent_until[target.id] = clocks.boot_clock() + UNAVAILABLE_S
            log.warning(
                "engine_unavailable", endpoint=target.id, detail=str(error)
            )
        finally:
            board.end(target.id)
            with self.lock:
                self.busy.discard(target.id)

    def notice_s(self, mode: orders.Mode) -> float:
        """Return the time between the word to peers and the order."""
        return NOTICE_S if mode is orders.Mode.FINISH else SHORT_NOTICE_S

    def step(self, errand: Errand) -> bool:
        """Look at an engine and order what is due; tell if it is done.

        Raises
        ------
        EngineUnavailableError
            When it does not report.
        """
        sources = self.sources
        target = errand.target
        report = sources.engines.report(target.address, target.id)
        goal = sources.goals()[errand.model]
        version = report.versions.get(errand.model, 0)
        if report.changing or not errand.is_shown(report.orders_taken):
            return False
        sources.board.learn(target.id, errand.model, version)
        if version >= goal.version:
            self.note_in_place(errand, version)
            return True
        return self.order(errand, goal, report.orders_taken)

    def note_in_place(self, errand: Errand, version: int) -> None:
        """Take note that an engine has the wanted weights."""
        took_s = clocks.boot_clock() - errand.ordered_s
        if errand.taken is not None:
            self.times.note(errand.mode, took_s)
        log.info(
            "weights_in_place",
            endpoint=errand.target.id,
            model=errand.model,
            version=version,
            took_s=None if errand.taken is None else round(took_s, 2),
        )

    def order(
        self, errand: Errand, goal: goals.WeightGoal, orders_taken: int
    ) -> bool:
        """Give an order; tell if there is nothing more to do here."""
        sources = self.sources
        target = errand.target
        if sources.tenure.fence() is None:
            return True
        # Told first, so that no heartbeat between says that none was given.
        sources.ordering()
        fence = sources.tenure.fence()
        if fence is None:
            return True
        order = orders.VersionOrder(
            model=goal.model,
            version=goal.version,
            mode=errand.mode,
            holder=sources.holder,
            fence=fence,
            orders_taken=orders_taken,
        )
        outcome = sources.engines.order(target.address, target.id, order)
        log.info(
            "order_given",
            endpoint=target.id,
            model=goal.model,
            version=goal.version,
            mode=errand.mode.value,
            fence=fence,
            orders_taken=orders_taken,
            outcome=type(outcome).__name__.lower(),
        )
        match outcome:
            case orders.Taken():
                errand.taken = orders_taken
                errand.ordered_s = clocks.boot_clock()
            case orders.Superseded():
                sources.tenure.note_superseded(fence)
                return True
            case _:
                pass
        return False
