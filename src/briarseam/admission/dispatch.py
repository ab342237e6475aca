"""Granting prompts their engines: at once, after a fair wait, or never.

Engines are kept just busy: what they have no slot for waits here, where an
organisation's burst can be kept from delaying the others.  A waiting
request is refused as soon as it is clear that it will come too late.
"""

from __future__ import annotations

import dataclasses
import threading
import time
import typing

import structlog

from briarseam import verdict
from briarseam.admission import fair_queue
from briarseam.admission import refusals
from briarseam.routing import state as routing

if typing.TYPE_CHECKING:
    from briarseam.admission import retry_schedule
    from briarseam.configuration import schema

TICK_S = 0.02
# What one engine may have waiting, as a part of its slots, so that it has
# the next run at hand when one ends.
ENGINE_QUEUE_PART = 0.25
MIN_COST_S = 0.01
Outcome = routing.Choice | verdict.NotRun
log = structlog.get_logger("briarseam.admission")


class Engines(typing.Protocol):
    """What the dispatcher needs from routing."""

    def choose_engine(
        self, query: routing.PromptQuery
    ) -> routing.Choice | routing.NoChoice:
        """Return the engine for a prompt."""

    def has_room(self, choice: routing.Choice, share: float) -> bool:
        """Tell whether a choice's engine has a slot, or nearly."""

    def run_s(self, model: str) -> float:
        """Return how long a run takes a slot."""

    def slots(self, model: str) -> int:
        """Return the slots of all engines of a model."""


@dataclasses.dataclass(eq=False)
class Waiter:
    """One prompt that wants an engine.

    Attributes
    ----------
    ask
        The prompt.
    rank
        Its priority and deadline.
    start
        Counts the run in at its engine.
    least_s
        Predicted time to first token once it has a slot.
    settled
        Set once ``outcome`` is there.
    outcome
        The engine, or why there is none.
    """

    ask: routing.PromptQuery
    rank: fair_queue.Rank
    start: typing.Callable[[routing.Choice], None]
    least_s: float = 0.0
    settled: threading.Event = dataclasses.field(
        default_factory=threading.Event
    )
    outcome: Outcome | None = None

    def settle(self, outcome: Outcome) -> None:
        """Give the waiting thread its outcome."""
        self.outcome = outcome
        self.settled.set()


@dataclasses.dataclass(frozen=True)
class Bounds:
    """How much may wait at this agent.

    Attributes
    ----------
    max_queued
        Requests.
    max_queued_per_organisation
        Requests of one organisation.
    """

    max_queued: int
    max_queued_per_organisation: int


Queue = fair_queue.FairQueue[Waiter]


class Dispatcher:
    """Grants prompts; thread-safe.

    Parameters
    ----------
    engines
        Routing.
    view
        Present configuration, for the weights.
    schedule
        When refused callers should come back.
    bounds
        How much may wait.
    clock
        Monotonic seconds.
    """

    def __init__(
        self,
        engines: Engines,
        view: typing.Callable[[], schema.View],
        schedule: retry_schedule.RetrySchedule,
        bounds: Bounds,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self.engines = engines
        self.view = view
        self.schedule = schedule
        self.bounds = bounds
        self.clock = clock
        self.queues: dict[str, Queue] = {}
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.wake = threading.Event()
        self.thread = threading.Thread(
            target=self.work, name="dispatch", daemon=True
        )

    def start(self) -> None:
        """Begin to look after those who wait."""
        self.thread.start()

    def stop(self) -> None:
        """Refuse those who wait, and stop."""
        self.stopping.set()
        self.wake.set()

    def queued_count(self) -> int:
        """Return how many requests wait."""
        with self.lock:
            return sum(len(queue) for queue in self.queues.values())

    def place(self, waiter: Waiter) -> routing.Choice:
        """Return the engine for a prompt, after a wait if need be.

        Raises
        ------
        verdict.RefusalError
            At once when it is clear that there will be none in time.
        """
        with self.lock:
            queue = self.queue(waiter.ask.model)
            if len(queue) or not self.serve(queue, waiter):
                self.check_wait(queue, waiter)
                queue.push(self.lane(waiter.ask), waiter.rank, waiter)
                self.wake.set()
        waiter.settled.wait()
        match waiter.outcome:
            case routing.Choice() as choice:
                return choice
            case verdict.NotRun() as given:
                raise verdict.RefusalError(given)
        raise AssertionError("a settled waiter without an outcome")

    def queue(self, model: str) -> Queue:
        """Return the queue of a model."""
        if model not in self.queues:
            self.queues[model] = Queue(self.weight)
        return self.queues[model]

    def lane(self, ask: routing.PromptQuery) -> str:
        """Return the lane in which a prompt waits.

        Its organisation's; by ``arrival`` there is one without a name.
        """
        fair = self.view().routing.queueing == "fair"
        return ask.organisation if fair else ""

    def weight(self, organisation: str) -> float:
        """Return an organisation's weight."""
        found = self.view().organisations.get(organisation)
        return found.weight if found else 1.0

    def serve(self, queue: Queue, waiter: Waiter) -> bool:
        """Settle a waiter if that can be done now; charge for a grant."""
        choice = self.engines.choose_engine(waiter.ask)
        if isinstance(choice, routing.NoChoice):
            wait_s = self.schedule.assign(choice.retry_after_s)
            waiter.settle(refusals.no_endpoint(choice.detail, wait_s))
            return True
        waiter.least_s = choice.first_token_s - choice.wait_s
        late_s = self.lateness_s(waiter, choice.first_token_s)
        if late_s > 0:
            waiter.settle(self.too_late(choice.first_token_s, late_s))
            return True
        # One that may go to a single engine waits there if need be: at the
        # head of the queue here it would hold up those for other engines.
        if not waiter.ask.required_endpoint and not self.engines.has_room(
            choice, ENGINE_QUEUE_PART
        ):
            return False
        waiter.start(choice)
        queue.charge(self.lane(waiter.ask), self.cost_s(choice))
        waiter.settle(choice)
        return True

    def cost_s(self, choice: routing.Choice) -> float:
        """Return the slot time that a run is charged with."""
        run_s = self.engines.run_s(choice.model)
        return max(run_s, choice.first_token_s - choice.wait_s, MIN_COST_S)

    def lateness_s(self, waiter: Waiter, first_token_s: float) -> float:
        """Return by how much a first token would miss the deadline."""
        return self.clock() + first_token_s - waiter.rank.deadline_at

    def too_late(self, first_token_s: float, late_s: float) -> verdict.NotRun:
        """Return the refusal of a prompt that would miss its deadline."""
        return refusals.too_late(first_token_s, self.schedule.assign(late_s))

    def check_wait(self, queue: Queue, waiter: Waiter) -> None:
        """Refuse at once what would wait too long, or too many."""
        lane = self.lane(waiter.ask)
        own = queue.waiting(lane)
        full = (
            len(queue) >= self.bounds.max_queued
            or (lane and own >= self.bounds.max_queued_per_organisation)
            or self.stopping.is_set()
        )
        wait_s = self.expected_wait_s(queue, waiter)
        if full:
            raise verdict.RefusalError(
                refusals.overloaded(self.schedule.assign(wait_s))
            )
        late_s = self.lateness_s(waiter, wait_s)
        if late_s > 0:
            raise verdict.RefusalError(self.too_late(wait_s, late_s))

    def expected_wait_s(self, queue: Queue, waiter: Waiter) -> float:
        """Return how long a request that comes now would wait here.

        Its organisation is served in the proportion of its weight among
        those that wait, whatever the others have queued.
        """
        lane = self.lane(waiter.ask)
        model = waiter.ask.model
        active = {*queue.active(), lane}
        share = self.weight(lane) / sum(map(self.weight, active))
        by_share = (queue.waiting(lane) + 1) / share
        ahead = min(by_share, len(queue) + 1)
        return ahead * self.engines.run_s(model) / self.engines.slots(model)

    def note_end(self, whole: bool = True) -> None:
        """Take in that a run has ended somewhere.

        Guard: while endpoints are lost, runs end by failing, many times as
        fast as they are served.  Taken for the rate of service, that would
        bring those who were refused back in a peak after the outage.

        Parameters
        ----------
        whole
            Whether it gave its whole answer.
        """
        if whole:
            self.schedule.note_end()
        self.wake.set()

    def work(self) -> None:
        """Grant and refuse those who wait, until stopped."""
        while not self.stopping.is_set():
            self.wake.wait()
            self.wake.clear()
            with self.lock:
                for queue in self.queues.values():
                    self.drain(queue)
                    self.refuse_late(queue)
                    queue.forget_idle()
                left = any(len(queue) for queue in self.queues.values())
            if left:
                # Slots also fall free at other agents, and load reports
                # come without a wake-up.
                self.wake.wait(TICK_S)
                self.wake.set()
        self.refuse_all()

    def drain(self, queue: Queue) -> None:
        """Serve in fair order as far as there is room."""
        while (head := queue.head()) is not None:
            organisation, waiter = head
            if not self.serve_head(queue, organisation, waiter):
                return

    def serve_head(
        self, queue: Queue, organisation: str, waiter: Waiter
    ) -> bool:
        """Serve the head of the queue; false when there is no room."""
        try:
            served = self.serve(queue, waiter)
        except Exception:
            # Guard: one thread serves all that wait.  An error over one
            # request would end it, and every other would wait for ever.
            log.exception("choice_failed", model=waiter.ask.model)
            waiter.settle(refusals.not_placed())
            served = True
        if served:
            queue.pop(organisation)
        return served

    def refuse_late(self, queue: Queue) -> None:
        """Refuse at once those whose deadline cannot be made any more."""
        for organisation, waiter in queue.items():
            late_s = self.lateness_s(waiter, waiter.least_s)
            if late_s <= 0:
                continue
            queue.remove(organisation, waiter)
            waiter.settle(self.too_late(waiter.least_s, late_s))

    def refuse_all(self) -> None:
        """Refuse those who wait at an agent that stops."""
        with self.lock:
            for queue in self.queues.values():
                for organisation, waiter in queue.items():
                    queue.remove(organisation, waiter)
                    waiter.settle(refusals.leaving())
