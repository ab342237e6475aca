from __future__ import annotations

import pytest

from briarseam.discovery import model as discovery
from briarseam.forwarding import calls
from briarseam.placement import chooser as choosers
from briarseam.placement import endpoint_bytes
from briarseam.placement import requests
from briarseam.routes import model as routes
from briarseam.weights import engine_weights
from briarseam.weights import goals

LIMIT = 1000
CALL = calls.Call("x", "POST", "/", "h", ())
ROUTE = routes.Route("r", "h", "/", routes.Repeat.ONCE, (), 1.0, 1.0, 1)


def endpoint(name):
    return discovery.Endpoint(name, "s", "127.0.0.1:1", "a", 8)


def request(size):
    return requests.Request(
        CALL, ROUTE, routes.Service("s"), None, 1.0, body_bytes=size
    )


@pytest.fixture
def chooser():
    """A chooser among two endpoints, of two instances."""
    made = choosers.Chooser(
        lambda service: [endpoint("one"), endpoint("two")],
        lambda model: 0,
        engine_weights.EngineWeights(goals.GoalHistory()),
    )
    made.bodies.limit = LIMIT
    made.bodies.instances = lambda: 2
    return made


def test_share_is_an_equal_part_of_the_limit():
    instances = 4
    bodies = endpoint_bytes.EndpointBytes(LIMIT, lambda: instances)
    assert bodies.share() == LIMIT // 4
    instances = 0
    assert bodies.share() == LIMIT


def test_body_over_the_share_is_not_counted():
    bodies = endpoint_bytes.EndpointBytes(LIMIT, lambda: 2)
    assert bodies.try_reserve("one", 300)
    assert bodies.try_reserve("one", 201) is None
    assert bodies.try_reserve("one", 200)
    assert bodies.by_endpoint == {"one": 500}


def test_one_body_is_always_allowed():
    """Guards against a request that is too large at each endpoint."""
    bodies = endpoint_bytes.EndpointBytes(LIMIT, lambda: 100)
    large = bodies.try_reserve("one", 10 * LIMIT)
    assert large
    assert bodies.try_reserve("one", 1) is None
    large.release()
    assert bodies.try_reserve("one", 10 * LIMIT)


def test_bodies_are_subtracted_once():
    """Guards against a count below zero, and against one that stays."""
    bodies = endpoint_bytes.EndpointBytes()
    first, second = bodies.try_reserve("one", 5), bodies.try_reserve("one", 7)
    first.release()
    first.release()
    assert bodies.by_endpoint == {"one": 7}
    second.release()
    assert not bodies.by_endpoint


def test_empty_bodies_leave_nothing_behind():
    bodies = endpoint_bytes.EndpointBytes(LIMIT)
    reservations = [bodies.try_reserve("one", 0) for _ in range(3)]
    for reservation in reservations:
        reservation.release()
    assert not bodies.by_endpoint


def test_request_over_the_share_goes_to_another_endpoint(chooser):
    placed = [chooser.choose(request(400)) for _ in range(2)]
    assert {one.endpoint.id for one in placed} == {"one", "two"}
    refused = chooser.choose(request(400))
    assert refused == requests.BodiesAtLimit(2, 400, 500)
    assert isinstance(refused, requests.Unplaced)
    assert str(refused) == "bodies-at-limit endpoints=2 body=400 share=500"
    # A smaller one still fits.
    assert isinstance(chooser.choose(request(100)), requests.Placement)


def test_body_counts_until_the_end_of_its_answer(chooser):
    """Guards against an endpoint that is sent more while it holds a body."""
    first, second = chooser.choose(request(400)), chooser.choose(request(400))
    added = chooser.record_start(first, CALL)
    # The first event frees the endpoint's count of undecided requests only.
    chooser.release(first)
    assert isinstance(chooser.choose(request(400)), requests.BodiesAtLimit)
    chooser.record_end(first, CALL, added)
    third = chooser.choose(request(400))
    assert third.endpoint == first.endpoint
    # These were not sent.
    chooser.release(second)
    chooser.release(third)
    assert not chooser.bodies.by_endpoint


def test_nothing_is_limited_without_a_limit(chooser):
    chooser.bodies.limit = 0
    for _ in range(5):
        placed = chooser.choose(request(10 * LIMIT))
        assert isinstance(placed, requests.Placement)
