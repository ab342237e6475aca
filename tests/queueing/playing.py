"""Plays a load against a service with slots, with and without the queue."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random

from briarseam.discovery import model as discovery
from briarseam.forwarding import calls
from briarseam.placement import requests
from briarseam.queueing import service_queue
from briarseam.queueing import tickets
from briarseam.queueing import waiters
from tests import clocks

NO_ROOM = requests.NoCapacity(1.0, 0.9, 1, 0, 0)
POLL_S = 0.05
# What a request did before there was the queue: it waited for a quarter of
# its target, in no order.
MAX_WAIT_SHARE = 0.25


def placement_at(endpoint: str) -> requests.Placement:
    """Return a placement at an endpoint."""
    return requests.Placement(
        discovery.Endpoint(endpoint, "s", "127.0.0.1:1", "a", 1, False, {}),
        calls.Instructions(endpoint, "", 0),
    )


def waiter(at_s: float = 100.0, **changes: object) -> waiters.Waiter:
    """Return a request of one second of target and three of deadline."""
    fields: dict[str, object] = {
        "service": "s",
        "route": "r",
        "organisation": "o",
        "priority": 5,
        "arrived_s": at_s,
        "target_s": at_s + 1.0,
        "deadline_s": at_s + 3.0,
        "work": 1,
    }
    return waiters.Waiter(**fields | changes)


@dataclasses.dataclass
class Result:
    """What a caller got.

    Attributes
    ----------
    request
        The request.
    granted_s, refused_s
        When; ``None`` if not.
    retry_after_s
        What a refusal said.
    """

    request: waiters.Waiter
    granted_s: float | None = None
    refused_s: float | None = None
    retry_after_s: float | None = None

    @property
    def waited_s(self) -> float:
        """Time until the caller knew, in seconds."""
        end_s = self.granted_s if self.refused_s is None else self.refused_s
        return end_s - self.request.arrived_s

    @property
    def in_time(self) -> bool:
        """Whether it was granted before its target."""
        return self.granted_s is not None and (
            self.granted_s <= self.request.target_s
        )


class Play:
    """A service of some slots, each of which takes a fixed time."""

    def __init__(
        self,
        arrivals: list[waiters.Waiter],
        slots: int,
        request_s: float,
        ordered: bool = True,
    ) -> None:
        self.clock = clocks.ManualClock()
        self.queue = service_queue.ServiceQueue(self.clock)
        self.slots = slots
        self.request_s = request_s
        self.ordered = ordered
        self.busy: list[float] = []
        self.results = [
            Result(request)
            for request in sorted(arrivals, key=lambda one: one.arrived_s)
        ]
        self.waiting: list[tuple[Result, tickets.Ticket]] = []
        self.chance = random.Random(1)

    def run(self) -> list[Result]:
        """Play until every caller has an outcome."""
        pending = iter(self.results)
        upcoming = next(pending, None)
        ticks = itertools.count(1)
        start_s = self.clock.now_s
        next_tick_s = start_s + POLL_S
        while upcoming is not None or self.waiting:
            arrival_s = upcoming.request.arrived_s if upcoming else 1e9
            end_s = self.busy[0] if self.busy else 1e9
            self.clock.now_s = min(arrival_s, end_s, next_tick_s)
            while self.busy and self.busy[0] <= self.clock.now_s:
                heapq.heappop(self.busy)
            if self.clock.now_s == arrival_s:
                self.arrive(upcoming)
                upcoming = next(pending, None)
            else:
                self.retry()
            if self.clock.now_s == next_tick_s:
                next_tick_s = start_s + POLL_S * (next(ticks) + 1)
            self.collect()
        return self.results

    def try_place(self, kept_free: frozenset[str]) -> tickets.Result:
        """Take a slot if one is free."""
        if len(self.busy) >= self.slots:
            return NO_ROOM
        heapq.heappush(self.busy, self.clock.now_s + self.request_s)
        return placement_at("e")

    def arrive(self, result: Result) -> None:
        """Let a request arrive."""
        ticket = tickets.Ticket(result.request, self.try_place)
        self.waiting.append((result, ticket))
        if self.ordered:
            self.queue.enter(ticket)
        else:
            self.try_unordered(ticket)

    def try_unordered(self, ticket: tickets.Ticket) -> None:
        """Try a request as each does by itself without the queue."""
        outcome = self.try_place(frozenset())
        if isinstance(outcome, requests.Placement):
            ticket.end(outcome)

    def retry(self) -> None:
        """Try the waiting requests."""
        if self.ordered:
            self.queue.retry()
            return
        self.chance.shuffle(self.waiting)
        for _result, ticket in self.waiting:
            self.try_unordered(ticket)

    def collect(self) -> None:
        """Record the outcomes."""
        left = []
        for result, ticket in self.waiting:
            request = ticket.waiter
            share_s = (request.target_s - request.arrived_s) * MAX_WAIT_SHARE
            match ticket.outcome:
                case tickets.Refused() as refused:
                    result.refused_s = self.clock.now_s
                    result.retry_after_s = refused.retry_after_s
                case None if (
                    not self.ordered
                    and self.clock.now_s >= request.arrived_s + share_s
                ):
                    result.refused_s = self.clock.now_s
                    result.retry_after_s = 0.3
                case None:
                    left.append((result, ticket))
                case _:
                    result.granted_s = self.clock.now_s
        self.waiting = left
