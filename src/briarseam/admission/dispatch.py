"""Dispatch of prompts to engines, with fair queueing and early refusal.

Engines get only slightly more runs than they have slots; other prompts are
queued here, where a burst of one organisation does not delay the others.  A
queued prompt is refused as soon as its deadline can no longer be met.
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

POLL_INTERVAL_S = 0.02
# Runs that may be queued at one engine, as a share of its slots, so that the
# next run can begin as soon as one ends.
ENGINE_QUEUE_SHARE = 0.25
MIN_COST_S = 0.01
Outcome = routing.Choice | verdict.NotRun
log = structlog.get_logger("briarseam.admission")


class Engines(typing.Protocol):
    """Routing, as the dispatcher uses it."""

    def choose_engine(
        self, query: routing.PromptQuery
    ) -> routing.Choice | routing.NoChoice:
        """Return the engine for a prompt."""

    def has_room(self, choice: routing.Choice, share: float) -> bool:
        """Return whether a choice's engine has a slot or a queue place."""

    def run_s(self, model: str) -> float:
        """Return how long a run occupies a slot, in seconds."""

    def slots(self, model: str) -> int:
        """Return the number of slots of all engines of a model."""


@dataclasses.dataclass(eq=False)
class Waiter:
    """One prompt that needs an engine.

    Attributes
    ----------
    query
        The prompt, as routing needs it.
    rank
        Its priority and deadline.
    on_grant
        Called with the choice when the prompt gets an engine.
    min_first_token_s
        Predicted time to first token without queueing, in seconds.
    resolved
        Set once ``outcome`` is set.
    outcome
        The chosen engine or the refusal.
    """

    query: routing.PromptQuery
    rank: fair_queue.Rank
    on_grant: typing.Callable[[routing.Choice], None]
    min_first_token_s: float = 0.0
    resolved: threading.Event = dataclasses.field(
        default_factory=threading.Event
    )
    outcome: Outcome | None = None

    def resolve(self, outcome: Outcome) -> None:
        """Set the outcome and wake the waiting thread."""
        self.outcome = outcome
        self.resolved.set()


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits on the prompts queued at this agent.

    Attributes
    ----------
    max_queued
        Limit over all organisations.
    max_queued_per_organisation
        Limit for each organisation.
    """

    max_queued: int
    max_queued_per_organisation: int


Queue = fair_queue.FairQueue[Waiter]


class Dispatcher:
    """Assigns prompts to engines; thread-safe.

    Parameters
    ----------
    engines
        Routing.
    view
        Returns the current configuration, for the weights.
    schedule
        Assigns the retry times of refused callers.
    bounds
        Limits on the queue.
    clock
        Returns monotonic time in seconds.
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
            target=self.run, name="dispatch", daemon=True
        )

    def start(self) -> None:
        """Start the thread that serves the queues."""
        self.thread.start()

    def stop(self) -> None:
        """Stop the thread, which refuses all queued prompts."""
        self.stopping.set()
        self.wake.set()

    def queued_count(self) -> int:
        """Return the number of queued prompts."""
        with self.lock:
            return sum(len(queue) for queue in self.queues.values())

    def place(self, waiter: Waiter) -> routing.Choice:
        """Return the engine for a prompt, waiting in the queue if needed.

        Raises
        ------
        verdict.RefusalError
            When the queue is full, or as soon as the prompt can't get an
            engine before its deadline.
        """
        with self.lock:
            queue = self.queue(waiter.query.model)
            if len(queue) or not self.try_grant(queue, waiter):
                self.check_queueable(queue, waiter)
                queue.push(self.flow_of(waiter.query), waiter.rank, waiter)
                self.wake.set()
        waiter.resolved.wait()
        match waiter.outcome:
            case routing.Choice() as choice:
                return choice
            case verdict.NotRun() as refusal:
                raise verdict.RefusalError(refusal)
        raise AssertionError("resolved waiter has no outcome")

    def queue(self, model: str) -> Queue:
        """Return the queue of a model."""
        if model not in self.queues:
            self.queues[model] = Queue(self.weight)
        return self.queues[model]

    def flow_of(self, query: routing.PromptQuery) -> str:
        """Return the flow in which a prompt is queued.

        It is the organisation's, or a single unnamed one when the queueing
        policy is ``arrival``.
        """
        fair = self.view().routing.queueing == "fair"
        return query.organisation if fair else ""

    def weight(self, organisation: str) -> float:
        """Return an organisation's weight."""
        settings = self.view().organisations.get(organisation)
        return settings.weight if settings else 1.0

    def try_grant(self, queue: Queue, waiter: Waiter) -> bool:
        """Grant or refuse a waiter; return false if it has to wait.

        A grant is charged to the waiter's flow.
        """
        choice = self.engines.choose_engine(waiter.query)
        if isinstance(choice, routing.NoChoice):
            wait_s = self.schedule.assign(choice.retry_after_s)
            waiter.resolve(refusals.no_endpoint(choice.detail, wait_s))
            return True
        waiter.min_first_token_s = choice.first_token_s - choice.wait_s
        late_s = self.lateness_s(waiter, choice.first_token_s)
        if late_s > 0:
            waiter.resolve(self.too_late(choice.first_token_s, late_s))
            return True
        # A prompt bound to one engine waits at that engine: at the head of
        # this queue it would block prompts that can use other engines.
        if not waiter.query.required_endpoint and not self.engines.has_room(
            choice, ENGINE_QUEUE_SHARE
        ):
            return False
        waiter.on_grant(choice)
        queue.charge(self.flow_of(waiter.query), self.cost_s(choice))
        waiter.resolve(choice)
        return True

    def cost_s(self, choice: routing.Choice) -> float:
        """Return the slot time charged for a run, in seconds."""
        run_s = self.engines.run_s(choice.model)
        return max(run_s, choice.first_token_s - choice.wait_s, MIN_COST_S)

    def lateness_s(self, waiter: Waiter, first_token_s: float) -> float:
        """Return by how many seconds a first token misses the deadline."""
        return self.clock() + first_token_s - waiter.rank.deadline_at

    def too_late(self, first_token_s: float, late_s: float) -> verdict.NotRun:
        """Return the refusal of a prompt that misses its deadline."""
        return refusals.too_late(first_token_s, self.schedule.assign(late_s))

    def check_queueable(self, queue: Queue, waiter: Waiter) -> None:
        """Refuse a prompt if the queue is full or its wait too long.

        Raises
        ------
        verdict.RefusalError
            When the prompt can't be queued.
        """
        flow = self.flow_of(waiter.query)
        queued = queue.queued_count(flow)
        full = (
            len(queue) >= self.bounds.max_queued
            or (flow and queued >= self.bounds.max_queued_per_organisation)
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
        """Return the expected queueing time of a new prompt, in seconds.

        Its organisation is served in proportion to its weight among the
        backlogged organisations, however many prompts the others have
        queued.
        """
        flow = self.flow_of(waiter.query)
        model = waiter.query.model
        backlogged = {*queue.backlogged(), flow}
        share = self.weight(flow) / sum(map(self.weight, backlogged))
        by_share = (queue.queued_count(flow) + 1) / share
        position = min(by_share, len(queue) + 1)
        return position * self.engines.run_s(model) / self.engines.slots(model)

    def record_end(self, complete: bool = True) -> None:
        """Record the end of a run and retry the queue heads.

        Guard: during an outage of endpoints runs fail many times faster
        than they are normally served.  Only completed runs count towards
        the service rate; otherwise the refused callers would be told to
        return in one peak after the outage.

        Parameters
        ----------
        complete
            Whether the run gave its complete answer.
        """
        if complete:
            self.schedule.record_end()
        self.wake.set()

    def run(self) -> None:
        """Grant and refuse queued prompts until stopped."""
        while not self.stopping.is_set():
            self.wake.wait()
            self.wake.clear()
            with self.lock:
                for queue in self.queues.values():
                    self.grant_queued(queue)
                    self.refuse_late(queue)
                    queue.remove_idle()
                any_queued = any(len(queue) for queue in self.queues.values())
            if any_queued:
                # Slots freed by other agents and new load reports don't set
                # the event, so the queues are also polled.
                self.wake.wait(POLL_INTERVAL_S)
                self.wake.set()
        self.refuse_all()

    def grant_queued(self, queue: Queue) -> None:
        """Grant queued prompts in fair order while engines have room."""
        while (head := queue.head()) is not None:
            organisation, waiter = head
            if not self.try_grant_head(queue, organisation, waiter):
                return

    def try_grant_head(
        self, queue: Queue, organisation: str, waiter: Waiter
    ) -> bool:
        """Grant or refuse the queue's head; return false if it must wait."""
        try:
            resolved = self.try_grant(queue, waiter)
        except Exception:
            # Guard: one thread serves all queues.  If an error while
            # choosing for one prompt ended it, all others would wait
            # forever.
            log.exception("choice_failed", model=waiter.query.model)
            waiter.resolve(refusals.not_placed())
            resolved = True
        if resolved:
            queue.pop(organisation)
        return resolved

    def refuse_late(self, queue: Queue) -> None:
        """Refuse queued prompts whose deadline can no longer be met."""
        for organisation, waiter in queue.items():
            late_s = self.lateness_s(waiter, waiter.min_first_token_s)
            if late_s <= 0:
                continue
            queue.remove(organisation, waiter)
            waiter.resolve(self.too_late(waiter.min_first_token_s, late_s))

    def refuse_all(self) -> None:
        """Refuse all queued prompts because the agent is stopping."""
        with self.lock:
            for queue in self.queues.values():
                for organisation, waiter in queue.items():
                    queue.remove(organisation, waiter)
                    waiter.resolve(refusals.leaving())
