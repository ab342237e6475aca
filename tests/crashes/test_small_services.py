"""A request that crashes all endpoints of a small service."""

from __future__ import annotations

import pytest

from tests.crashes import crash_simulation
from tests.crashes import small_services

ALLOWED_ARRIVALS = 3
FROM_S = 2 * crash_simulation.SETTLE_S
MIN_SHARE = 0.5


def check_late(simulation):
    assert simulation.late() <= ALLOWED_ARRIVALS


@pytest.mark.parametrize("attempts", [1, 2, 3])
@pytest.mark.parametrize("down_s", [0.6, 3.0])
def test_request_arrives_seldom_though_endpoints_are_back_before_entries_go(
    attempts, down_s
):
    """Guards against losses that only the instances they struck believe."""
    for seed in range(3):
        simulation = small_services.Simulation(
            seed, attempts, endpoints=4, down_s=down_s, lapse_s=6.0
        )
        simulation.run(30.0, 0.1)
        check_late(simulation)


@pytest.mark.parametrize("seed", [8, 13, 16, 100, 130, 152, 163, 189, 1114])
def test_request_arrives_seldom_at_drawn_services(seed):
    """Guards against services and troubles that no other test combines."""
    check_late(small_services.run_drawn(seed))


def test_sound_requests_are_served_though_small_services_end():
    """Guards against refusing what peers have lost with all endpoints."""
    for seed in range(3):
        simulation = small_services.Simulation(seed, endpoints=3, lapse_s=3.6)
        simulation.run(5.0, sound_per_s=20)
        for _ in range(4):
            simulation.end_all()
            simulation.run(crash_simulation.DOWN_S)
            back_s = simulation.clock()
            simulation.run(8.0, sound_per_s=20)
            assert simulation.share(back_s + 3.0) >= MIN_SHARE
