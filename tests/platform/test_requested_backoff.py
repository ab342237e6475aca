"""Requests of instances to endpoints that reject with Retry-After."""

from __future__ import annotations

REJECTIONS = 1000
REQUESTS = 30
MOST_IN_BACKOFF = 2


def call(system, number=0):
    return system.call(f"/status/{number}", "GET")


def arrivals(system, *names):
    return sum(len(system.workers[name].arrived) for name in names)


def test_endpoint_that_asks_for_a_backoff_gets_no_requests_meanwhile(system):
    """Guards against an endpoint that rejects at once, so looks idle, and
    attracts each request.
    """
    overloaded = system.workers["plain-1"]
    overloaded.set(reject=REJECTIONS, retry_after="30")
    statuses = {call(system, number).status for number in range(REQUESTS)}
    assert statuses == {200}
    assert 0 < len(overloaded.arrived) <= 1 + MOST_IN_BACKOFF
