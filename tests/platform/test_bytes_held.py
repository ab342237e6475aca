"""Bytes that an instance holds for its callers, and refusals for them."""

from __future__ import annotations

import dataclasses
import json
import time

import pytest

from briarseam.testing import waiting
from tests.platform import instances
from tests.platform import partition
from tests.platform import raw_caller
from tests.platform import system as systems

TIMEOUT_S = 10
LIMIT = 1000
# More than the buffers of both sockets hold.
LARGE_BODY = b"b" * (3 * 2**20)


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
    """Guards against refusals that callers can't tell from failures."""
    listen = str(full.node.settings.listen.callers)
    headers = systems.callers_headers(systems.KEY, {})
    started_s = time.monotonic()
    answer = raw_caller.send(
        listen, "POST", "/submit/x", headers, body=LARGE_BODY
    )
    assert time.monotonic() - started_s < TIMEOUT_S / 2
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
