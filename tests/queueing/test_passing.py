"""Which waiters may be placed before others that found no capacity."""

from __future__ import annotations

import pytest

from briarseam.placement import requests
from briarseam.queueing import service_queue
from briarseam.queueing import tickets
from tests import clocks
from tests.queueing import playing

NO_MEMORY = requests.NoCapacity(0.95, 0.9, 2, 3, 0, soonest="e1")
NO_SLOT = requests.NoCapacity(0.5, 0.9, 2, 0, 0, soonest="e1")
QUEUE_FULL = requests.QueueFull(2.0, 1.0)
AT_LIMIT = requests.AtLimit(2)


class Case:
    """A queue, and what each request meets when it is tried."""

    def __init__(self):
        self.queue = service_queue.ServiceQueue(clocks.ManualClock())
        self.tried = []

    def enter(self, result, **changes):
        waiter = playing.waiter(**changes)

        def try_place(kept_free):
            self.tried.append((waiter.route, kept_free))
            return result(kept_free) if callable(result) else result

        ticket = tickets.Ticket(waiter, try_place)
        self.queue.enter(ticket)
        return ticket

    def retry(self):
        self.tried.clear()
        self.queue.retry()
        return self.tried


def first_free(kept_free):
    """Place at the first engine that is not kept free."""
    return playing.placement_at("e2" if "e1" in kept_free else "e1")


def test_smaller_prompt_passes_at_other_engines():
    """Guards against a large prompt that never finds memory, and against
    engines that idle because of it.
    """
    case = Case()
    large = case.enter(NO_MEMORY, route="large", priority=0)
    small = case.enter(first_free, route="small")
    assert large.outcome is None
    assert small.outcome.endpoint.id == "e2"


def test_no_engine_left_by_a_reservation_means_wait():
    """Guards against a refusal because the only engine is kept free."""
    case = Case()
    case.enter(NO_MEMORY, route="large", priority=0)
    small = case.enter(
        lambda kept_free: requests.Unreachable(1) if kept_free else NO_MEMORY,
        route="small",
    )
    assert small.outcome is None
    assert str(small.obstacle) == "kept-free"


@pytest.mark.parametrize("obstacle", [NO_SLOT, QUEUE_FULL, AT_LIMIT])
def test_others_do_not_pass_where_they_would_delay(obstacle):
    """Guards against an urgent request whose capacity a less urgent one
    with a longer target takes.
    """
    case = Case()
    case.enter(obstacle, route="urgent", priority=0)
    other = case.enter(first_free, route="other")
    assert other.outcome is None
    assert case.retry() == [("urgent", frozenset())]


def test_request_for_other_endpoints_passes():
    """Guards against a queue that one region with no capacity stops."""
    case = Case()
    case.enter(QUEUE_FULL, priority=0, constraints="north")
    other = case.enter(first_free, constraints="south")
    assert other.outcome is not None


def test_more_urgent_request_is_not_held_up_by_a_reservation():
    """Guards against a reservation for a less urgent request."""
    case = Case()
    case.enter(NO_MEMORY, route="large", priority=5)
    urgent = case.enter(first_free, route="small", priority=0)
    assert urgent.outcome.endpoint.id == "e1"


def test_one_of_each_route_is_tried_in_a_round():
    """Guards against work that grows with the number of waiters."""
    case = Case()
    for _ in range(50):
        case.enter(NO_MEMORY, route="a", priority=0)
        case.enter(NO_MEMORY, route="b")
    assert [route for route, _kept in case.retry()] == ["a", "b"]


def test_new_request_is_not_tried_if_one_like_it_just_failed():
    case = Case()
    case.enter(NO_SLOT)
    case.tried.clear()
    case.enter(NO_SLOT)
    assert case.tried == []


def test_request_that_leaves_ends_its_reservation():
    case = Case()
    large = case.enter(NO_MEMORY, route="large", priority=0)
    assert case.queue.leave(large)
    small = case.enter(first_free, route="small")
    assert small.outcome.endpoint.id == "e1"
    assert not case.queue.leave(small)
