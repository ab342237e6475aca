"""Bringing engines to the wanted weights, some at a time."""

from __future__ import annotations

import dataclasses
import threading
import typing

import structlog

from briarseam import clocks
from briarseam.weights import board as boards
from briarseam.weights import goals
from briarseam.weights import orders

if typing.TYPE_CHECKING:
    from briarseam.discovery import model as discovery
    from briarseam.weights import tenure as tenures

# Weights take longer to load while more than two engines do so.
AT_ONCE = 2
# With many engines two at a time would take longer than a version may.
AT_ONCE_SHARE = 0.2
# Between the word that an engine takes no work and the order: peers hear it
# with the next heartbeat, half a second apart.
NOTICE_S = 0.6
POLL_S = 0.15
REVIEW_S = 0.25
# Longest time for one engine: its runs end within their deadlines, and the
# load takes two seconds.  Then it is looked at anew.
ERRAND_S = 8.0
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
    """

    goals: typing.Callable[[], dict[str, goals.WeightGoal]]
    targets: typing.Callable[[str], list[discovery.Endpoint]]
    tenure: tenures.Tenure
    engines: Engines
    board: boards.Board
    holder: str


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
        at_once = max(AT_ONCE, int(len(targets) * AT_ONCE_SHARE))
        for target in self.behind(goal, targets):
            with self.lock:
                if len(self.busy) >= at_once or target.id in self.busy:
                    continue
                self.busy.add(target.id)
            threading.Thread(
                target=self.bring,
                args=(goal.model, target),
                name=f"weights-{target.id}",
                daemon=True,
            ).start()

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

    def bring(self, model: str, target: discovery.Endpoint) -> None:
        """Bring one engine to the newest wanted weights."""
        board = self.sources.board
        board.begin(target.id)
        try:
            self.stopping.wait(NOTICE_S)
            until_s = clocks.boot_clock() + ERRAND_S
            while clocks.boot_clock() < until_s:
                if self.stopping.is_set() or self.step(model, target):
                    return
                self.stopping.wait(POLL_S)
            log.warning("weights_overdue", endpoint=target.id, model=model)
        except orders.EngineUnavailableError as error:
            log.warning(
                "engine_unavailable", endpoint=target.id, detail=str(error)
            )
        finally:
            board.end(target.id)
            with self.lock:
                self.busy.discard(target.id)

    def step(self, model: str, target: discovery.Endpoint) -> bool:
        """Look at an engine and order what is due; tell if it is done.

        Raises
        ------
        EngineUnavailableError
            When it does not report.
        """
        sources = self.sources
        report = sources.engines.report(target.address, target.id)
        goal = sources.goals()[model]
        version = report.versions.get(model, 0)
        if report.changing:
            return False
        sources.board.learn(target.id, model, version)
        if version >= goal.version:
            log.info(
                "weights_in_place",
                endpoint=target.id,
                model=model,
                version=version,
            )
            return True
        fence = sources.tenure.fence()
        if fence is None:
            return True
        order = orders.VersionOrder(
            model=model,
            version=goal.version,
            # Runs that are cut go on elsewhere, where memory is full just
            # then: with cuts a quarter of the worth of a day was lost.
            mode=orders.Mode.FINISH,
            holder=sources.holder,
            fence=fence,
            orders_taken=report.orders_taken,
        )
        outcome = sources.engines.order(target.address, target.id, order)
        log.info(
            "order_given",
            endpoint=target.id,
            model=model,
            version=goal.version,
            fence=fence,
            orders_taken=report.orders_taken,
            outcome=type(outcome).__name__.lower(),
        )
        if isinstance(outcome, orders.Superseded):
            sources.tenure.note_superseded(fence)
            return True
        return False
