"""The queue of all requests of an instance that wait for capacity."""

from __future__ import annotations

import dataclasses
import functools
import threading
import typing

import structlog

from briarseam import clocks
from briarseam import verdict
from briarseam.placement import requests
from briarseam.queueing import service_queue
from briarseam.queueing import tickets

if typing.TYPE_CHECKING:
    from briarseam.metrics import instruments
    from briarseam.metrics import labels
    from briarseam.placement import loads as load_module
    from briarseam.queueing import sharing as sharing_module
    from briarseam.queueing import waiters

# How often a waiting thread checks whether its caller left, and the queue
# whether waiters have become hopeless or capacity has changed unnoticed.
POLL_S = 0.05
# Minimum pause between rounds.  A round that finds no capacity compares all
# engines, about 1 ms for 70 of them, and loads of peers change several
# hundred times a second.
ROUND_PAUSE_S = 0.005
log = structlog.get_logger("briarseam.queueing")


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of the queue.

    Attributes
    ----------
    requests
        Maximum number of waiting requests.
    body_bytes
        Maximum size of their bodies.
    """

    requests: int
    body_bytes: int


@dataclasses.dataclass(frozen=True)
class Metrics:
    """Metrics of the queue.

    Attributes
    ----------
    waiting
        Waiting requests by service.
    ends
        Counts requests by how their wait ended.
    wait_us
        Time that requests waited which did not get capacity at once.
    """

    waiting: labels.Family[instruments.Gauge]
    ends: labels.Family[instruments.Counter]
    wait_us: instruments.Latency


class WaitingQueue:
    """The queue of all requests that wait for capacity; thread-safe.

    Parameters
    ----------
    limits
        Limits of the queue.
    loads
        Load of endpoints; capacity may have increased when it decreases.
    metrics
        Metrics of the queue.
    sharing
        Limits the grants while requests wait at peers; unless given, they
        are not limited.
    clock
        Seconds.
    """

    def __init__(
        self,
        limits: Limits,
        loads: load_module.Loads,
        metrics: Metrics,
        sharing: sharing_module.Sharing | None = None,
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.limits = limits
        self.loads = loads
        self.metrics = metrics
        self.sharing = sharing
        self.clock = clock
        self.queues: dict[str, service_queue.ServiceQueue] = {}
        self.lock = threading.Lock()
        self.has_waiters = threading.Event()
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name="queue-rounds", daemon=True
        )

    def start(self) -> None:
        """Start the thread that serves waiters when capacity increases."""
        self.thread.start()

    def stop(self) -> None:
        """Stop that thread."""
        self.stopping.set()
        self.has_waiters.set()

    def acquire(
        self,
        waiter: waiters.Waiter,
        try_place: tickets.TryPlace,
        check: typing.Callable[[], None],
    ) -> tickets.Final | tickets.Refused:
        """Return the placement of a request once it is its turn.

        Parameters
        ----------
        waiter
            The request.
        try_place
            Tries to place it; any thread may call this.
        check
            Raises if the request was ended; called while it waits.
        """
        queue = self.queue_of(waiter.service)
        ticket = tickets.Ticket(waiter, try_place)
        entered_s = self.clock()
        queue.enter(ticket)
        waits = not ticket.ended.is_set()
        if waits:
            self.has_waiters.set()
            self.enforce_limits()
            try:
                while not ticket.ended.wait(POLL_S):
                    check()
            except Exception:
                if queue.leave(ticket):
                    self.record(ticket, "left", entered_s)
                    raise
                # It was granted at the same moment; whoever uses the grant
                # meets the end of the request, and frees its capacity.
        return self.result(ticket, waits, entered_s)

    def result(
        self, ticket: tickets.Ticket, waits: bool, entered_s: float
    ) -> tickets.Final | tickets.Refused:
        """Return the outcome of a ticket, counted and logged."""
        match ticket.outcome:
            case tickets.Raised(error):
                self.record(ticket, "left", entered_s)
                raise error
            case tickets.Refused() as refused:
                self.record(ticket, refused.cause.value, entered_s)
                self.log_refusal(ticket.waiter, refused, entered_s)
                return refused
            case verdict.NotRun() | requests.Unreachable() as excluded:
                self.record(ticket, "excluded", entered_s)
                return excluded
            case None:
                raise AssertionError("the wait has not ended")
            case final:
                name = "granted" if waits else "at-once"
                self.record(ticket, name, entered_s)
                return final

    def record(
        self, ticket: tickets.Ticket, end: str, entered_s: float
    ) -> None:
        """Count the end of a wait."""
        service = ticket.waiter.service
        self.metrics.ends.labelled(end).add()
        if end != "at-once":
            self.metrics.wait_us.record_s(self.clock() - entered_s)
            self.update_gauge(service)

    def update_gauge(self, service: str) -> None:
        """Set the number of waiting requests of a service."""
        count = len(self.queue_of(service))
        self.metrics.waiting.labelled(service).set(count)

    def log_refusal(
        self,
        waiter: waiters.Waiter,
        refused: tickets.Refused,
        entered_s: float,
    ) -> None:
        """Log why a waiting request was refused."""
        log.info(
            "wait_refused",
            request=waiter.request,
            service=waiter.service,
            route=waiter.route,
            cause=refused.cause.value,
            waiting=len(self.queue_of(waiter.service)),
            waited_ms=round((self.clock() - entered_s) * 1000),
            retry_after_ms=round(refused.retry_after_s * 1000),
            **refused.estimate.log_fields(),
        )

    def queue_of(self, service: str) -> service_queue.ServiceQueue:
        """Return the queue of a service."""
        queue = self.queues.get(service)
        if queue is not None:
            return queue
        with self.lock:
            limit = service_queue.no_limit
            if self.sharing is not None:
                limit = functools.partial(self.sharing.limit, service)
            created = service_queue.ServiceQueue(self.clock, limit)
            # Replaced, so that other threads can iterate without the lock.
            if service not in self.queues:
                self.queues = {**self.queues, service: created}
            return self.queues[service]

    def record_answer(self, service: str, took_s: float) -> None:
        """Update the time from a grant to the first event or the answer."""
        self.queue_of(service).pace.answer_time.record(took_s)

    def enforce_limits(self) -> None:
        """Refuse requests until the queue is within its limits.

        The last request of the service with the most waiters is refused, so
        that the overload of one service doesn't take the room of others.
        """
        while True:
            queues = list(self.queues.values())
            body_bytes = sum(queue.body_bytes for queue in queues)
            if sum(map(len, queues)) > self.limits.requests:
                largest = max(queues, key=len)
            elif body_bytes > self.limits.body_bytes:
                largest = max(queues, key=lambda queue: queue.body_bytes)
            else:
                return
            if not largest.refuse_last():
                return

    def run(self) -> None:
        """Serve waiters when capacity may have increased, until stopped."""
        decreases = self.loads.decreases
        while not self.stopping.is_set():
            if not self.has_waiters.wait():
                continue
            try:
                waiting = self.retry_all()
            except Exception:
                # Without this thread, requests would wait until they end.
                log.exception("round_failed")
                waiting = True
            if waiting:
                decreases = self.loads.wait_for_decrease_since(
                    decreases, POLL_S
                )
                self.stopping.wait(ROUND_PAUSE_S)

    def retry_all(self) -> bool:
        """Run a round for each service; return whether any requests wait."""
        self.has_waiters.clear()
        for service, queue in self.queues.items():
            if len(queue):
                queue.retry()
                self.update_gauge(service)
        waiting = {
            name: queue for name, queue in self.queues.items() if len(queue)
        }
        self.loads.set_waiting(
            [
                (name, len(queue), queue.most_urgent())
                for name, queue in waiting.items()
            ]
        )
        if waiting:
            self.has_waiters.set()
        return self.has_waiters.is_set()
