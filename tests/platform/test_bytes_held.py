"""Bytes that an instance holds for its callers, and refusals for them."""

from __future__ import annotations

import dataclasses
import json
import socket
import threading
import time

import pytest

from briarseam.testing import waiting
from tests.platform import instances
from tests.platform import partition
from tests.platform import raw_caller
from tests.platform import system as systems

TIMEOUT_S = 10
LIMIT = 1000
LARGE_BODY = b"b" * (3 * 2**20)
# So that the refusal is sent before the whole body is.
PIECE_BYTES = 2**20
PIECE_PAUSE_S = 0.1


@pytest.fixture
def full(system):
    """An instance that holds all it may."""
    system.node.held.limit = LIMIT
    system.node.held.add(LIMIT)
    return system


def arrivals(system):
    """Return the number of requests that reached any endpoint."""
    return sum(len(worker.arrived) for worker in system.workers.values())


def metrics_of(system):
    """Return the lines of a scrape."""
    return system.http.request(
        "GET", system.url("metrics", "/metrics")
    ).data.decode()


def test_request_over_the_limit_is_refused_as_not_run(full):
    """Guards against refusals that callers can't tell from failures.

    A reset in the middle of the body would end the caller's send.
    """
    listen = full.node.settings.listen.callers
    sent = raw_caller.request_bytes(
        "POST",
        "/submit/x",
        systems.callers_headers(systems.KEY, {}),
        "1.1",
        LARGE_BODY,
    )
    address = (listen.ip, listen.port)
    with socket.create_connection(address, TIMEOUT_S) as caller:
        for first in range(0, len(sent), PIECE_BYTES):
            caller.sendall(sent[first : first + PIECE_BYTES])
            time.sleep(PIECE_PAUSE_S)
        answer = raw_caller.Reader(caller).read()
    assert answer.status == 503
    assert answer.headers["retry-after"] == "1.000"
    assert answer.headers["connection"] == "close"
    told = json.loads(answer.body)
    assert (told["ran"], told["reason"]) == ("no", "overloaded")
    assert not arrivals(full)
    text = metrics_of(full)
    assert "\nheld_bytes 1000\n" in text
    assert "\nheld_bytes_limit 1000\n" in text
    assert "\nheld_bytes_refusals_total 1\n" in text
    assert "\ncallers_not_reading_total 0\n" in text


def test_requests_are_accepted_again_once_less_is_held(full):
    assert full.call("/submit/x").status == 503
    full.node.held.add(-LIMIT)
    assert full.call("/submit/x").status == 200
    waiting.until(lambda: full.node.held.total == 0, TIMEOUT_S)


def test_reloaded_settings_change_the_limit(full):
    settings = full.node.settings
    load = dataclasses.replace(settings.load, held_bytes=7)
    full.node.apply_settings(dataclasses.replace(settings, load=load))
    assert full.node.held.limit == 7
    # Neither held_bytes nor memory_mb is set.
    full.node.apply_settings(settings)
    assert full.node.held.limit == 0
    assert full.call("/submit/x").status == 200


@pytest.mark.parametrize(
    "switches", [{}, {"reject": 9}, {"fail": 9}, {"reset": 9}]
)
def test_nothing_stays_counted_after_requests(system, switches):
    """Guards against a count that grows until all requests are refused."""
    for worker in system.workers.values():
        worker.set(**switches)
    for _ in range(3):
        system.call("/submit/x", body=b"b" * 5000)
        system.stream("/draft/x")
    waiting.until(lambda: system.node.held.total == 0, TIMEOUT_S)


def test_nothing_stays_counted_after_relays(system):
    """Guards against a body that both instances of a relay keep counted."""
    cut_off, other = instances.start_others(system, 1)
    with partition.from_endpoints(cut_off):
        assert system.call("/submit/x", body=b"b" * 5000).status == 200
        assert system.stream("/draft/x").status == 200
    waiting.until(
        lambda: cut_off.held.total == other.held.total == 0, TIMEOUT_S
    )


def test_relayed_request_over_the_limit_is_refused_as_not_run(system):
    """Guards against a refusal by a peer that counts as a lost answer."""
    cut_off, other = instances.start_others(system, 1)
    other.held.limit = LIMIT
    other.held.add(LIMIT)
    with partition.from_endpoints(cut_off):
        answer = system.call("/submit/x", body=b"b" * 5000)
    assert answer.status == 503
    assert json.loads(answer.data)["ran"] == "no"
    assert not arrivals(system)


def test_bodies_at_one_endpoint_are_limited_only_with_the_bytes_held(system):
    """Guards against a change for deployments without these settings."""
    node = system.node
    assert node.chooser.bodies.limit == 0
    capacity = dataclasses.replace(node.settings.capacity, memory_mb=512)
    node.apply_settings(dataclasses.replace(node.settings, capacity=capacity))
    assert node.held.limit == 128_000_000
    assert node.chooser.bodies.limit == node.settings.load.endpoint_bytes
    # The default limit, over the one instance.
    assert node.chooser.bodies.share() == 67_108_864


@pytest.mark.parametrize(
    "switches", [{}, {"reject": 9}, {"fail": 9}, {"reset": 9}]
)
def test_no_body_stays_counted_at_an_endpoint(system, switches):
    """Guards against endpoints that get no requests any more."""
    for worker in system.workers.values():
        worker.set(**switches)
    for _ in range(3):
        system.call("/submit/x", body=b"b" * 5000)
        system.stream("/draft/x")
    waiting.until(
        lambda: not system.node.chooser.bodies.by_endpoint, TIMEOUT_S
    )


@pytest.fixture
def without_room(system):
    """A system without room for bodies at endpoints, and what fills them."""
    bodies = system.node.chooser.bodies
    bodies.limit = 6000
    reservations = [
        bodies.try_reserve(one.id, 5000)
        for one in system.node.feeds.registry.all()
    ]
    return system, reservations


def test_body_without_room_at_any_endpoint_is_refused_as_not_run(without_room):
    system, _reservations = without_room
    refused = system.call("/submit/x", body=b"b" * 5000)
    assert refused.status == 503
    assert json.loads(refused.data)["ran"] == "no"
    assert not arrivals(system)
    assert system.call("/submit/x", body=b"b" * 100).status == 200


def test_request_waits_until_an_endpoint_has_room_for_its_body(without_room):
    """Guards against a refusal where a short wait is enough."""
    system, reservations = without_room
    # A quarter of the target is waited at most.
    target_ms = 4 * TIMEOUT_S * 1000
    system.configure(
        version=2,
        routes=[
            {**route, "targetLatencyMs": target_ms, "timeoutMs": target_ms}
            for route in systems.ROUTES
        ],
    )
    waiting.until(
        lambda: system.node.feeds.configuration_version() == 2, TIMEOUT_S
    )
    timer = threading.Timer(
        0.3, lambda: [one.release() for one in reservations]
    )
    timer.start()
    assert system.call("/submit/x", body=b"b" * 5000).status == 200
    timer.join()
