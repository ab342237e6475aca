"""Loads on a service: what callers get with and without the queue."""

from __future__ import annotations

import statistics

from tests.queueing import playing

SLOTS = 10
REQUEST_S = 0.1
CAPACITY_PER_S = SLOTS / REQUEST_S


def stream(per_s, duration_s, start_s=100.0, **changes):
    """Return requests that arrive at a steady rate."""
    return [
        playing.waiter(start_s + number / per_s, **changes_at(changes, number))
        for number in range(round(per_s * duration_s))
    ]


def changes_at(changes, number):
    return {
        name: value(number) if callable(value) else value
        for name, value in changes.items()
    }


def play(arrivals, ordered):
    return playing.Play(arrivals, SLOTS, REQUEST_S, ordered).run()


def share_in_time(results, **wanted):
    chosen = [
        result
        for result in results
        if all(
            getattr(result.request, name) == value
            for name, value in wanted.items()
        )
    ]
    return sum(result.in_time for result in chosen) / len(chosen)


def burst():
    """Three times the capacity for 4 s; a quarter of it is urgent."""
    per_s = 3 * CAPACITY_PER_S
    return [
        *stream(per_s / 4, 4.0, priority=0, route="urgent"),
        *stream(per_s * 3 / 4, 4.0, priority=5, route="other"),
    ]


def test_urgent_requests_are_served_first_in_a_burst():
    """Guards against urgent requests that find capacity by chance only."""
    with_queue = play(burst(), ordered=True)
    without = play(burst(), ordered=False)
    assert share_in_time(with_queue, priority=0) > 0.97
    assert share_in_time(without, priority=0) < 0.6


def test_no_capacity_is_lost_by_the_order():
    """Guards against an order that serves fewer than chance does."""
    served = [
        sum(result.granted_s is not None for result in play(burst(), ordered))
        for ordered in (True, False)
    ]
    assert served[0] >= served[1]


def test_least_urgent_route_gets_its_minimum_share():
    """Guards against a route that is starved by a lasting overload."""
    arrivals = [
        *stream(2 * CAPACITY_PER_S, 10.0, priority=0, route="urgent"),
        *stream(CAPACITY_PER_S, 10.0, priority=9, route="low"),
    ]
    granted = [
        result.request.route
        for result in play(arrivals, ordered=True)
        if result.granted_s is not None
    ]
    assert 1 / 18 < granted.count("low") / len(granted) < 1 / 8


def test_greedy_organisation_does_not_take_the_share_of_others():
    """Guards against one that sends ten times its share."""

    def arrivals():
        return [
            *stream(5 * CAPACITY_PER_S, 4.0, organisation="greedy"),
            *stream(0.45 * CAPACITY_PER_S, 4.0, organisation="modest"),
        ]

    with_queue = play(arrivals(), ordered=True)
    without = play(arrivals(), ordered=False)
    assert share_in_time(with_queue, organisation="modest") > 0.97
    assert share_in_time(without, organisation="modest") < 0.4


def test_refusals_come_at_once_when_the_capacity_is_known():
    """Guards against callers who are held until their deadline passes."""
    arrivals = stream(3 * CAPACITY_PER_S, 10.0)
    refused = [
        result
        for result in play(arrivals, ordered=True)
        if result.refused_s is not None and result.request.arrived_s > 104.0
    ]
    assert len(refused) > 0.5 * CAPACITY_PER_S * 6
    waits_s = sorted(result.waited_s for result in refused)
    assert statistics.median(waits_s) < 0.05
    assert waits_s[-1] < 3.0


def test_retry_after_says_when_there_is_room():
    """Guards against callers who are told to return in 0.3 s, and are
    refused again.
    """
    arrivals = stream(3 * CAPACITY_PER_S, 6.0)
    results = play(arrivals, ordered=True)
    last = [one for one in results if one.refused_s is not None][-1]
    # The queue of that moment is empty once the last waiter was granted.
    room_s = max(one.granted_s for one in results if one.granted_s)
    actual_s = room_s - last.refused_s
    assert 0.8 * actual_s < last.retry_after_s < 1.7 * actual_s
    assert actual_s > 0.5


def test_all_are_served_below_the_capacity():
    """Guards against refusals of requests for which there is capacity."""
    arrivals = stream(0.9 * CAPACITY_PER_S, 4.0)
    results = play(arrivals, ordered=True)
    assert all(result.in_time for result in results)


def test_burst_that_can_be_served_in_time_is_served():
    """Guards against refusals by an estimate that is not known yet."""
    arrivals = stream(20 * CAPACITY_PER_S, 0.045)
    for ordered, expected in ((True, 90), (False, 40)):
        results = play(arrivals, ordered)
        in_time = sum(result.in_time for result in results)
        assert in_time >= expected if ordered else in_time <= expected
