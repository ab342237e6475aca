"""A request that crashes endpoints and goes on to come, on the wire."""

from __future__ import annotations

import functools
import time

import pytest

from briarseam.crashes import loss_keys
from briarseam.forwarding import crash_checks
from briarseam.testing import waiting
from tests.platform import crashing_parts
from tests.platform import crashing_repeats
from tests.platform import instances

ENDPOINTS = 8
SOUND_PER_S = 20
CRASH_EVERY_S = 0.15
# Arrivals that may come later than the bound, over all instances.
ALLOWED_ARRIVALS = 3
# Sound requests must be served from this time on after the third crash.
RECOVERED_S = 2 * crashing_repeats.SETTLE_S
MIN_SHARE = 0.5
# Of requests whose callers always leave.
WORK_MS = 100
ENDPOINTS_STOP_S = 0.5
MS = 1000
TIMEOUT_S = 10


def make_endpoint(crash_after_s, id, listen):
    worker = crashing_repeats.Crashing(id, listen)
    worker.crash_after_s = crash_after_s
    return worker


@pytest.fixture
def start(cold_system):
    """Return a function that starts endpoints and three instances."""
    fleets = []

    def start_all(crash_after_s=0.0):
        fleet = crashing_parts.Fleet(
            cold_system,
            ENDPOINTS,
            crashing_repeats.SERVICE,
            functools.partial(make_endpoint, crash_after_s),
        )
        fleets.append(fleet)
        cold_system.configure()
        cold_system.start()
        return fleet, instances.start_others(cold_system, 2)

    yield start_all
    for fleet in fleets:
        fleet.closing.set()


def replace(system, nodes, names):
    """End instances at once, and start others in their place."""
    for node in nodes:
        node.stop()
    others = [system.launch_another(name) for name in names]
    for node in others:
        waiting.until(node.is_ready, TIMEOUT_S)
    return others


def check_bounds(fleet, load):
    """Check how often the crashing request arrived, and who was served."""
    load.close()
    third_s = fleet.ended_s()[crashing_repeats.CRASHES - 1]
    late = fleet.arrivals_after(third_s + crashing_repeats.SETTLE_S)
    assert late <= ALLOWED_ARRIVALS
    assert load.share_served(third_s + RECOVERED_S) >= MIN_SHARE


@pytest.mark.parametrize("crash_every_s", [CRASH_EVERY_S, 1.2])
def test_request_whose_callers_leave_before_the_crash_is_refused(
    start, crash_every_s
):
    """Guards against losses that nobody counts as their callers have left."""
    fleet, nodes = start(crash_after_s=0.12)
    load = crashing_repeats.Load(nodes, leave_after_s=0.06)
    load.run(16.0, SOUND_PER_S, crash_every_s)
    check_bounds(fleet, load)


@pytest.mark.parametrize("times", [1, 2])
def test_request_is_refused_after_all_instances_ended(
    cold_system, start, times
):
    """Guards against losses that all instances forget at once."""
    fleet, nodes = start()
    load = crashing_repeats.Load(nodes)
    load.run(6.0, SOUND_PER_S, CRASH_EVERY_S)
    for restart in range(times):
        load.drain()
        names = [f"next-{restart}-{number}" for number in range(len(nodes))]
        nodes = replace(cold_system, nodes, names)
        load.follow(nodes)
        load.run(6.0, SOUND_PER_S, CRASH_EVERY_S)
    check_bounds(fleet, load)


def test_request_is_refused_while_instances_are_replaced(cold_system, start):
    """Guards against losses that end with those who had them."""
    fleet, nodes = start()
    load = crashing_repeats.Load(nodes)
    load.run(4.0, SOUND_PER_S, CRASH_EVERY_S)
    for number in range(2 * len(nodes)):
        [joined] = replace(cold_system, nodes[:1], [f"next-{number}"])
        nodes = [*nodes[1:], joined]
        load.follow(nodes)
        load.run(2.0, SOUND_PER_S, CRASH_EVERY_S)
    check_bounds(fleet, load)


@pytest.mark.parametrize("times", [1, 3])
def test_sound_requests_are_served_after_all_endpoints_ended(start, times):
    """Guards against blaming sound requests for a loss of power."""
    fleet, nodes = start()
    load = crashing_repeats.Load(nodes)
    load.run(2.0, SOUND_PER_S)
    for _time in range(times):
        fleet.end_all()
        load.run(crashing_parts.DOWN_S, SOUND_PER_S)
        waiting.until(lambda: len(fleet.running()) == ENDPOINTS, TIMEOUT_S)
        back_s = time.monotonic()
        load.run(3.0, SOUND_PER_S)
        assert load.share_served(back_s + 1.5) >= MIN_SHARE
    load.close()


def lose_at_all(nodes, key, endpoints):
    """Have instances know that a request was lost at endpoints."""
    for node in nodes:
        counts = node.crashes.counts
        for endpoint in endpoints:
            counts.add_loss(key, endpoint, counts.clock() - 60)


@pytest.fixture
def long_grace(monkeypatch):
    """Let trials be answered on a machine that stands still for a second."""
    assert 3 * WORK_MS / MS < crash_checks.TRIAL_GRACE_S < ENDPOINTS_STOP_S
    monkeypatch.setattr(crash_checks, "TRIAL_GRACE_S", 1.5)


def check_freed(fleet, nodes):
    """Check that a request whose callers leave is freed by its trial."""
    for worker in fleet.running():
        worker.set(work_ms=WORK_MS)
    load = crashing_repeats.Load(nodes, leave_after_s=0.03)
    path = crashing_repeats.LEAVING
    key = loss_keys.key_of_request(path, "north", b"")
    lose_at_all(nodes, key, ["e1", "e2", "e3"])
    for _ in range(8):
        load.send(path)
        time.sleep(0.5)
    load.close()
    assert all(
        node.crashes.counts.endpoints_of(key) == frozenset() for node in nodes
    )
    assert fleet.ended_s() == []


@pytest.mark.usefixtures("long_grace")
def test_request_whose_callers_always_leave_is_freed_by_its_trial(start):
    """Guards against refusing for good what is never waited for."""
    check_freed(*start())


def delayed(function, times):
    """Return a function that is called later than callers stay, at first."""
    left = [0.1] * times

    def call(*args):
        time.sleep(left.pop() if left else 0.0)
        return function(*args)

    return call


@pytest.mark.usefixtures("long_grace")
def test_trial_goes_on_if_its_caller_leaves_before_it_is_granted(
    start, monkeypatch
):
    """Guards against trials that end with their callers, one and all."""
    fleet, nodes = start()
    for node in nodes:
        trials = node.forwarding.deps.crashes.trials
        monkeypatch.setattr(trials, "begin", delayed(trials.begin, 100))
    check_freed(fleet, nodes)


@pytest.mark.usefixtures("long_grace")
def test_trial_that_is_not_sent_leaves_the_next_one(start, monkeypatch):
    """Guards against a trial that is used up by a caller who has left."""
    fleet, nodes = start()
    for node in nodes:
        chooser = node.chooser
        monkeypatch.setattr(chooser, "choose", delayed(chooser.choose, 1))
    check_freed(fleet, nodes)
