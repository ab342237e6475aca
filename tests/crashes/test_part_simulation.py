"""Which rule finds a crashing part and spares all others, over many seeds."""

from __future__ import annotations

import pytest

from tests.crashes import part_simulation

SEEDS = range(8)
ALLOWED_ARRIVALS = 3
MIN_SHARE = 0.5
RECOVERED_S = 2 * part_simulation.SETTLE_S


@pytest.fixture(params=SEEDS)
def simulation(request):
    """Instances of which each has answered sound prompts."""
    simulation = part_simulation.Simulation(request.param)
    simulation.run(3.0)
    return simulation


@pytest.mark.parametrize("crash_every_s", [0.1, 0.3, 1.0, 4.0])
def test_crashing_part_arrives_seldom_and_others_are_served(
    simulation, crash_every_s
):
    """Guards against either bound being kept at the cost of the other."""
    simulation.run(90.0, crash_every_s)
    assert simulation.late() <= ALLOWED_ARRIVALS
    fifth_s = simulation.ended_s[: part_simulation.CRASHES][-1]
    assert simulation.share(fifth_s + RECOVERED_S) >= MIN_SHARE


@pytest.mark.parametrize("companion", [0.02, 0.2])
def test_part_that_comes_with_the_crashing_one_is_served_without_it(
    simulation, companion
):
    """Guards against blaming what comes along with each crash."""
    simulation.run(40.0, 0.5, companion)
    assert simulation.late() <= ALLOWED_ARRIVALS
    fifth_s = simulation.ended_s[: part_simulation.CRASHES][-1]
    share = simulation.share(fifth_s + RECOVERED_S, part_simulation.COMPANION)
    assert share >= MIN_SHARE


@pytest.mark.parametrize("times", [1, 3])
def test_service_goes_on_after_all_engines_ended(simulation, times):
    """Guards against refusing the whole service after a loss of power."""
    for _time in range(times):
        for engine in simulation.engines:
            simulation.end(engine)
        simulation.run(part_simulation.DOWN_S)
        back_s = simulation.clock()
        simulation.run(4.0)
        assert simulation.share(back_s) >= MIN_SHARE


def test_service_goes_on_after_all_engines_ended_before_any_answer():
    """Guards against a loss of power right after the start."""
    for seed in SEEDS:
        simulation = part_simulation.Simulation(seed)
        simulation.run(0.3, sound_per_s=40)
        for engine in simulation.engines:
            simulation.end(engine)
        simulation.run(part_simulation.DOWN_S)
        back_s = simulation.clock()
        simulation.run(5.0)
        assert simulation.share(back_s) >= MIN_SHARE
