"""How often a request arrives that crashes endpoints, over many minutes."""

from __future__ import annotations

import pytest

from tests.crashes import crash_simulation

ALLOWED_ARRIVALS = 3
MIN_SHARE = 0.5
RECOVERED_S = 2 * crash_simulation.SETTLE_S
PAUSES_S = (0.15, 1.2, 4.0, 20.0)
ALL = range(crash_simulation.INSTANCES)


def check(simulation):
    third_s = simulation.crashed_s[crash_simulation.CRASHES - 1]
    assert simulation.late() <= ALLOWED_ARRIVALS
    assert simulation.share(third_s + RECOVERED_S) >= MIN_SHARE


@pytest.mark.parametrize("pause_s", PAUSES_S)
@pytest.mark.parametrize("leaves_after_s", [0.05, 100.0])
def test_request_that_comes_for_minutes_arrives_seldom(
    pause_s, leaves_after_s
):
    """Guards against trials and forgetting that add up over time."""
    for seed in range(2):
        simulation = crash_simulation.Simulation(seed, 0.1, leaves_after_s)
        simulation.run(900.0, pause_s)
        check(simulation)


@pytest.mark.parametrize("pause_s", PAUSES_S)
@pytest.mark.parametrize("part", [False, True])
def test_request_arrives_seldom_though_all_instances_end(pause_s, part):
    """Guards against knowledge that ends with those who have it."""
    for seed in range(3):
        simulation = crash_simulation.Simulation(seed, part=part)
        for _ in range(10):
            simulation.run(simulation.random.uniform(2.0, 30.0), pause_s)
            simulation.kill(ALL)
        simulation.run(10.0, pause_s)
        check(simulation)


@pytest.mark.parametrize("pause_s", PAUSES_S)
def test_request_arrives_seldom_though_instances_are_replaced(pause_s):
    """Guards against knowledge that is handed on once only."""
    for seed in range(3):
        simulation = crash_simulation.Simulation(seed)
        for number in range(40):
            simulation.run(simulation.random.uniform(0.5, 6.0), pause_s)
            simulation.kill([number % crash_simulation.INSTANCES])
        simulation.run(10.0, pause_s)
        check(simulation)


@pytest.mark.parametrize("pause_s", PAUSES_S)
def test_request_arrives_seldom_beside_a_store_that_is_away(pause_s):
    """Guards against an outage in which instances end one after the other."""
    for seed in range(3):
        simulation = crash_simulation.Simulation(seed)
        for number in range(20):
            simulation.store.is_away = number % 3 == 1
            simulation.run(simulation.random.uniform(1.0, 6.0), pause_s)
            simulation.kill([number % crash_simulation.INSTANCES])
        simulation.store.is_away = False
        simulation.run(10.0, pause_s)
        check(simulation)


@pytest.mark.parametrize("pause_s", PAUSES_S[:3])
def test_request_arrives_seldom_though_all_end_while_the_store_is_away(
    pause_s,
):
    """Guards against instances that start with nothing to read."""
    for seed in range(3):
        simulation = crash_simulation.Simulation(seed)
        for number in range(9):
            simulation.store.is_away = number % 3 == 1
            simulation.run(simulation.random.uniform(1.0, 9.0), pause_s)
            simulation.kill(ALL)
        simulation.store.is_away = False
        simulation.run(10.0, pause_s)
        check(simulation)


@pytest.mark.parametrize("part", [False, True])
def test_sound_requests_are_served_though_all_endpoints_end(part):
    """Guards against refusing what a loss of power has taken along."""
    for seed in range(4):
        simulation = crash_simulation.Simulation(seed, part=part)
        simulation.run(5.0, sound_per_s=20)
        for number in range(6):
            simulation.end_all()
            if number % 2:
                simulation.kill(ALL)
            simulation.run(crash_simulation.DOWN_S)
            back_s = simulation.clock()
            simulation.run(8.0, sound_per_s=20)
            assert simulation.share(back_s + 3.0) >= MIN_SHARE
        simulation.run(20.0, sound_per_s=20)
        assert simulation.share(simulation.clock() - 10.0) == 1.0


@pytest.mark.parametrize(("seed", "part"), [(206, True), (405, False)])
def test_request_arrives_seldom_though_all_end_as_it_crashes(seed, part):
    """Guards against kills right after crashes whose callers have left."""
    simulation = crash_simulation.Simulation(seed, 0.3, 0.05, part)
    crash_simulation.run_kills(simulation, 0.15)
    check(simulation)
