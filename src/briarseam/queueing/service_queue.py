"""The waiting requests of one service, and the rounds that grant capacity."""

from __future__ import annotations

import random
import threading
import typing

from briarseam.placement import requests
from briarseam.queueing import order as orders
from briarseam.queueing import pace as paces
from briarseam.queueing import passing as passings
from briarseam.queueing import tickets

if typing.TYPE_CHECKING:
    from briarseam.queueing import estimate as estimates
    from briarseam.queueing import waiters

# How often all waiters are checked for whether they can still be answered.
# The check takes about 10 us for each, too much for each change of a load.
REVIEW_INTERVAL_S = 0.05


GrantLimit = typing.Callable[[int, float], int | None]


def no_limit(count: int, typical_work: float) -> int | None:
    """Return that any number may be granted; the default."""
    return None


class ServiceQueue:
    """The waiting requests of one service; thread-safe.

    One thread at a time, any of those that wait or the queue's own, goes
    through the waiters in their order and tries to place them.

    Parameters
    ----------
    clock
        Seconds.
    grant_limit
        Returns how many requests may be granted in a round, from their
        number and mean work; ``None`` for any number.

    Attributes
    ----------
    pace
        Rates of work, and the time from a grant to the answer.
    body_bytes
        Size of the waiters' bodies.
    """

    def __init__(
        self,
        clock: typing.Callable[[], float],
        grant_limit: GrantLimit = no_limit,
    ) -> None:
        self.clock = clock
        self.grant_limit = grant_limit
        self.lock = threading.Lock()
        self.order = orders.Order()
        self.tickets: dict[waiters.Waiter, tickets.Ticket] = {}
        self.pace = paces.Pace()
        self.body_bytes = 0
        self.next_review_s = 0.0
        self.grants_left = 0
        # Groups that found no capacity since it may last have increased.
        self.obstacles: dict[waiters.Group, tickets.Obstacle] = {}

    def __len__(self) -> int:
        """Return the number of waiters."""
        return len(self.tickets)

    def enter(self, ticket: tickets.Ticket) -> None:
        """Add a request; place it if it is its turn, or refuse it."""
        waiter = ticket.waiter
        with self.lock:
            now_s = self.clock()
            self.tickets[waiter] = ticket
            self.order.add(waiter)
            self.body_bytes += waiter.body_bytes
            self.pace.arrivals.record(now_s, waiter.work)
            if waiter.group not in self.obstacles:
                self.run_round(ticket)
            if ticket.outcome is None:
                self.pace.grants.begin(now_s)
                self.order.demote_late(now_s, self.pace.answer_time.seconds())
                turn = self.order.turn_of(waiter)
                rates = self.rates(now_s)
                self.refuse_if_too_late(turn, 0, now_s, rates)

    def retry(self) -> None:
        """Place what can be placed, after capacity may have increased."""
        with self.lock:
            if not self.tickets:
                return
            self.obstacles.clear()
            self.run_round()
            now_s = self.clock()
            if now_s >= self.next_review_s:
                self.next_review_s = now_s + REVIEW_INTERVAL_S
                self.review(now_s)

    def leave(self, ticket: tickets.Ticket) -> bool:
        """Remove a request whose caller left.

        Returns
        -------
        bool
            Whether it was still waiting.
        """
        with self.lock:
            if ticket.ended.is_set():
                return False
            self.order.remove(ticket.waiter)
            self.forget(ticket)
            # Capacity that was kept free for it can be used.
            self.obstacles.pop(ticket.waiter.group, None)
            return True

    def refuse_last(self) -> bool:
        """Refuse the request that is last in the order, if there is any.

        Returns
        -------
        bool
            Whether there was one.
        """
        with self.lock:
            turns = self.order.turns()
            if not turns:
                return False
            # The first waiters of a kind that others pass have less work
            # ahead of them than their position shows.
            last = max(
                turns, key=lambda turn: (turn.work_ahead, turn.position)
            )
            now_s = self.clock()
            estimate = self.pace.estimate(last, 0, now_s, self.rates(now_s))
            self.refuse(tickets.Cause.FULL, estimate, last.waiter)
            return True

    def run_round(self, until: tickets.Ticket | None = None) -> None:
        """Try the waiters in their order; requires the lock.

        Parameters
        ----------
        until
            The round ends once this request doesn't wait any more.
        """
        self.order.demote_late(self.clock(), self.pace.answer_time.seconds())
        limit = self.grant_limit(len(self.tickets), self.typical_work())
        self.grants_left = len(self.tickets) if limit is None else limit
        while not self.sweep(until):
            continue

    def sweep(self, until: tickets.Ticket | None) -> bool:
        """Try the waiters in their order once; requires the lock.

        A group is tried until one of its requests finds no capacity.

        Returns
        -------
        bool
            Whether that was all; if not, a kind of requests is due by aging
            and the order has changed.
        """
        passing = passings.Passing()
        due = self.order.due_kinds().keys()
        for waiter in self.order.ranked():
            group = waiter.group
            if group not in self.obstacles and passing.allows(waiter):
                self.attempt(self.tickets[waiter], passing.kept_free)
                if until is not None and until.outcome is not None:
                    return True
                if self.grants_left <= 0:
                    return True
                if not self.order.due_kinds().keys() <= due:
                    return False
            passing.record(waiter, self.obstacles.get(group))
        return True

    def review(self, now_s: float) -> None:
        """Refuse waiters that can't be answered; requires the lock."""
        work_refused = 0
        rates = self.rates(now_s)
        for turn in self.order.turns():
            if self.refuse_if_too_late(turn, work_refused, now_s, rates):
                work_refused += turn.waiter.work

    def attempt(
        self, ticket: tickets.Ticket, kept_free: frozenset[str]
    ) -> None:
        """Try to place a request; requires the lock.

        Parameters
        ----------
        ticket
            The request.
        kept_free
            Endpoints that are kept free for requests before it.
        """
        waiter = ticket.waiter
        try:
            result = ticket.try_place(kept_free)
        except Exception as error:
            self.order.remove(waiter)
            self.forget(ticket)
            ticket.end(tickets.Raised(error))
            return
        match result:
            case requests.Placement():
                self.pace.grants.record(self.clock(), waiter.work)
                self.order.grant(waiter)
                self.grants_left -= 1
                self.forget(ticket)
                ticket.end(result)
            case (
                requests.NoCapacity()
                | requests.QueueFull()
                | requests.AtLimit()
                | requests.BodiesAtLimit()
            ):
                self.hold_up(ticket, result)
            case _ if kept_free:
                # Without the endpoints kept free, none may be left.
                self.hold_up(ticket, tickets.KeptFree())
            case _:
                self.order.remove(waiter)
                self.forget(ticket)
                ticket.end(result)

    def hold_up(
        self, ticket: tickets.Ticket, obstacle: tickets.Obstacle
    ) -> None:
        """Record that a request found no capacity; requires the lock."""
        ticket.obstacle = obstacle
        self.obstacles[ticket.waiter.group] = obstacle

    def rates(self, now_s: float) -> estimates.Rates:
        """Return the rates of work; requires the lock."""
        return self.pace.rates(now_s, self.typical_work())

    def typical_work(self) -> float:
        """Return the mean work of the waiters; requires the lock."""
        return self.order.work / max(len(self.order), 1)

    def most_urgent(self) -> int:
        """Return the most urgent priority of the waiters; 0 without any."""
        with self.lock:
            return min((one.priority for one in self.tickets), default=0)

    def refuse_if_too_late(
        self,
        turn: waiters.Turn,
        work_refused: int,
        now_s: float,
        rates: estimates.Rates,
    ) -> bool:
        """Refuse a waiter that can't be answered; requires the lock.

        Returns
        -------
        bool
            Whether it was refused.
        """
        estimate = self.pace.estimate(turn, work_refused, now_s, rates)
        if estimate.is_too_late:
            self.refuse(tickets.Cause.TOO_LATE, estimate, turn.waiter)
        return estimate.is_too_late

    def refuse(
        self,
        cause: tickets.Cause,
        estimate: estimates.Estimate,
        waiter: waiters.Waiter,
    ) -> None:
        """Refuse a waiter; requires the lock."""
        ticket = self.tickets[waiter]
        self.order.remove(waiter)
        self.forget(ticket)
        retry_after_s = estimate.retry_after_s(random.random())
        ticket.end(
            tickets.Refused(cause, estimate, retry_after_s, ticket.obstacle)
        )

    def forget(self, ticket: tickets.Ticket) -> None:
        """Drop a request that waits no more; requires the lock."""
        del self.tickets[ticket.waiter]
        self.body_bytes -= ticket.waiter.body_bytes
        if not self.tickets:
            self.obstacles.clear()
            self.pace.grants.end(self.clock())
