"""Prompts with a part that crashes engines, with real connections."""

from __future__ import annotations

import time

import pytest

from briarseam.testing import waiting
from tests.platform import crashing_parts
from tests.platform import instances
from tests.platform import system as systems

ENGINES = 8
SOUND_PER_S = 20
# Arrivals that may come later than the bound, over all instances.
ALLOWED_ARRIVALS = 3
# Sound prompts must be served from this time on after the fifth crash, or the
# last one if there are fewer.
RECOVERED_S = 2 * crashing_parts.SETTLE_S
MIN_SHARE = 0.5
TIMEOUT_S = 10


@pytest.fixture
def fleet(cold_system):
    """Engines that come back after they ended."""
    fleet = crashing_parts.Fleet(cold_system, ENGINES)
    yield fleet
    fleet.closing.set()


@pytest.fixture
def nodes(cold_system, fleet):
    """Three instances that know the engines."""
    cold_system.configure()
    cold_system.start()
    return instances.start_others(cold_system, 2)


@pytest.fixture
def load(nodes):
    """Callers that send to all instances; some prompts were answered."""
    load = crashing_parts.Load(nodes)
    load.run(1.0, SOUND_PER_S)
    yield load
    load.close()


def fifth_crash_s(fleet):
    """Return when the fifth crash was, or the last one if there are fewer."""
    return fleet.ended_s()[: crashing_parts.CRASHES][-1]


def check_bounds(fleet, load):
    """Check how often the crashing part arrived, and who was served."""
    # Prompts with the part still come while it is counted who is served.
    while time.monotonic() < fifth_crash_s(fleet) + RECOVERED_S + 2.0:
        load.run(0.5, SOUND_PER_S, 0.5)
    load.close()
    fifth_s = fifth_crash_s(fleet)
    late = fleet.arrivals_after(fifth_s + crashing_parts.SETTLE_S)
    assert late <= ALLOWED_ARRIVALS
    assert load.share_served(fifth_s + RECOVERED_S) >= MIN_SHARE


@pytest.mark.parametrize("crash_every_s", [0.3, 1.0])
def test_prompts_with_a_part_that_crashes_engines_are_refused(
    fleet, load, crash_every_s
):
    """Guards against crashes that are counted by the whole request only."""
    load.run(20.0, SOUND_PER_S, crash_every_s)
    check_bounds(fleet, load)


def test_part_stays_refused_when_its_organisation_becomes_isolated(
    cold_system, fleet, load
):
    """Guards against new keys of parts that forget who crashed engines."""
    load.run(8.0, SOUND_PER_S, 0.3)
    tenant = {"name": "north", "apiKeys": [systems.KEY], "isolated": True}
    cold_system.configure(version=2, tenants=[tenant])
    load.run(8.0, SOUND_PER_S, 0.3)
    check_bounds(fleet, load)


def test_part_that_crashes_all_engines_at_once_is_refused(fleet, load):
    """Guards against crashes that look like a loss of power each time."""
    for _wave in range(4):
        for _number in range(3 * ENGINES):
            load.send_later((crashing_parts.FIRST, crashing_parts.CRASHING))
        load.run(crashing_parts.DOWN_S + 0.2, SOUND_PER_S)
    load.run(4.0, SOUND_PER_S)
    check_bounds(fleet, load)


def test_first_part_that_crashes_engines_is_refused(fleet, load):
    """Guards against sparing a part since it is the first."""
    for _number in range(40):
        load.send_later((crashing_parts.CRASHING, load.subject()))
        load.run(0.4, SOUND_PER_S)
    check_bounds(fleet, load)


def test_instance_that_has_just_started_refuses_the_part(
    cold_system, fleet, nodes, load
):
    """Guards against a start that forgets what the others know."""
    load.run(6.0, SOUND_PER_S, 0.5)
    for number in range(3):
        nodes[1].stop()
        nodes[1] = cold_system.launch_another(f"next-{number}")
        waiting.until(nodes[1].is_ready, TIMEOUT_S)
        load.follow(nodes)
        load.run(2.0, SOUND_PER_S, 0.1)
    check_bounds(fleet, load)


def test_part_is_refused_after_all_instances_ended(
    cold_system, fleet, nodes, load
):
    """Guards against a loss of power that makes all of them forget."""
    load.run(8.0, SOUND_PER_S, 0.5)
    for restart in range(2):
        load.drain()
        for node in nodes:
            node.stop()
        nodes = [
            cold_system.launch_another(f"next-{restart}-{number}")
            for number in range(len(nodes))
        ]
        for node in nodes:
            waiting.until(node.is_ready, TIMEOUT_S)
        load.follow(nodes)
        load.run(8.0, SOUND_PER_S, 0.2)
    load.run(4.0, SOUND_PER_S, 0.2)
    check_bounds(fleet, load)


@pytest.mark.parametrize("times", [2, 3])
def test_sound_prompts_are_served_after_all_engines_ended(fleet, load, times):
    """Guards against blaming the parts of all prompts for a loss of power."""
    for _time in range(times):
        fleet.end_all()
        load.run(crashing_parts.DOWN_S, SOUND_PER_S)
        waiting.until(lambda: len(fleet.running()) == ENGINES, TIMEOUT_S)
        back_s = time.monotonic()
        load.run(3.0, SOUND_PER_S)
        assert load.share_served(back_s + 1.5) >= MIN_SHARE
