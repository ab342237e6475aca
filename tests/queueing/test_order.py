"""Order of the waiters of one service."""

from __future__ import annotations

import pytest

from briarseam.queueing import order as orders
from tests.queueing import playing


def grants(order, count=None):
    """Grant capacity to waiters one by one; return them."""
    granted = []
    while len(order) and len(granted) != count:
        granted.append(order.ranked()[0])
        order.grant(granted[-1])
    return granted


def order_of(*waiters):
    order = orders.Order()
    for waiter in waiters:
        order.add(waiter)
    return order


def test_priority_goes_before_deadline():
    """Guards against an urgent request behind one that arrived before."""
    urgent = playing.waiter(priority=0, deadline_s=109.0)
    other = playing.waiter(priority=3, deadline_s=101.0)
    assert grants(order_of(other, urgent)) == [urgent, other]


def test_deadline_decides_within_an_organisation():
    sooner = playing.waiter(deadline_s=102.0)
    later = playing.waiter(deadline_s=104.0)
    assert grants(order_of(later, sooner)) == [sooner, later]


def test_resumed_request_goes_first():
    """Guards against a caller with part of an answer who waits behind new
    requests.
    """
    resumed = playing.waiter(priority=9, resumed=True)
    urgent = playing.waiter(priority=0)
    assert grants(order_of(urgent, resumed)) == [resumed, urgent]


def test_request_that_will_be_late_goes_after_those_in_time():
    """Guards against a queue in which all answers are late."""
    late = playing.waiter(priority=0, target_s=100.5)
    in_time = playing.waiter(priority=9, target_s=102.0)
    order = order_of(late, in_time)
    order.demote_late(100.0, answer_s=0.4)
    assert order.ranked() == [late, in_time]
    order.demote_late(100.0, answer_s=0.6)
    assert order.ranked() == [in_time, late]


def test_organisation_queues_behind_its_own_requests():
    """Guards against an organisation that takes the share of others by
    sending ten times as much.
    """
    greedy = [playing.waiter(organisation="a") for _ in range(100)]
    modest = [playing.waiter(organisation="b") for _ in range(10)]
    granted = grants(order_of(*greedy, *modest), 20)
    assert sum(one.organisation == "b" for one in granted) == 10


def test_share_counts_work_and_not_requests():
    """Guards against an organisation that gets more with large prompts."""
    large = [playing.waiter(organisation="a", work=5) for _ in range(20)]
    small = [playing.waiter(organisation="b") for _ in range(40)]
    granted = grants(order_of(*large, *small), 24)
    assert sum(one.organisation == "a" for one in granted) in {4, 5}


def test_share_is_kept_while_urgent_requests_are_granted():
    """Guards against one virtual time for all priorities: grants of urgent
    requests would make the shares of the less urgent ones equal again.
    """
    order = order_of(
        *[playing.waiter(organisation="a", priority=5) for _ in range(60)],
        *[playing.waiter(organisation="b", priority=5) for _ in range(6)],
    )
    others = []
    for _ in range(12):
        order.add(playing.waiter(organisation="u", priority=0))
        grants(order, 1)
        others += grants(order, 1)
    assert sum(one.organisation == "b" for one in others) == 6


@pytest.mark.parametrize("kinds", [1, 3])
def test_least_urgent_route_is_not_starved(kinds):
    """Guards against a route that is never served while others send."""
    order = orders.Order()
    for number in range(kinds):
        for _ in range(50):
            order.add(playing.waiter(route=f"low{number}", priority=9))
    served = {}
    for _ in range(320):
        order.add(playing.waiter(priority=0))
        (granted,) = grants(order, 1)
        served[granted.route] = served.get(granted.route, 0) + 1
    for number in range(kinds):
        assert 18 <= served[f"low{number}"] <= 21


def test_turn_of_a_passed_route_is_bounded_by_aging():
    """Guards against refusals of a route as hopeless that gets its share."""
    order = order_of(*[playing.waiter(priority=0) for _ in range(200)])
    low = playing.waiter(route="low", priority=9)
    order.add(low)
    (turn,) = [one for one in order.turns() if one.waiter is low]
    assert turn.position == 200
    assert turn.work_ahead == orders.AGING_INTERVAL - 1


def test_turns_agree_with_the_grants():
    """Guards against estimates of an order that is not the real one."""
    order = order_of(
        *[
            playing.waiter(
                organisation="abc"[number % 3],
                priority=number % 2,
                deadline_s=110.0 - number,
                work=1 + number % 4,
            )
            for number in range(24)
        ]
    )
    expected = [turn.waiter for turn in order.turns()]
    assert grants(order)[:8] == expected[:8]


def test_nothing_is_kept_of_waiters_that_left():
    order = order_of(*[playing.waiter(organisation=f"o{n}") for n in range(9)])
    for waiter in order.ranked():
        order.remove(waiter)
    assert not order.level_of and not order.passed and not order.waiting
    assert order.work == 0
    assert all(not queue.flows for queue in order.queues.values())
