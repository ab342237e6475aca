"""Drawn events in virtual time: no part is freed while it is fetched."""

from __future__ import annotations

import pytest

from briarseam.placement import fetch_leases
from briarseam.placement import sweeping
from tests.placement import freed_parts_model

RUN_S = 60.0
# Beyond the time that parts are kept.
SETTLE_S = 10.0
# Runs within which at least one shows that a guard is missing.
MAX_RUNS = 150


def violations(seed, variant):
    world = freed_parts_model.World(seed, variant)
    world.run(RUN_S)
    return world.violations


def is_needed(variant, first_seed=0):
    seeds = range(first_seed, first_seed + MAX_RUNS)
    return any(violations(seed, variant) for seed in seeds)


@pytest.fixture(autouse=True)
def longest_lease(monkeypatch):
    """Parts are kept no longer than the leases of the model ask for."""
    monkeypatch.setattr(fetch_leases, "MAX_LEASE_S", freed_parts_model.LEASE_S)


@pytest.fixture(params=["changes", "restores"])
def intervals_s(request):
    return {
        "changes": freed_parts_model.CHANGES,
        "restores": freed_parts_model.RESTORES,
    }[request.param]


@pytest.mark.parametrize("first_seed", [0, 10])
def test_no_part_is_freed_while_it_is_fetched(intervals_s, first_seed):
    """Guards against a free that goes by what one instance believes."""
    variant = freed_parts_model.Variant(intervals_s)
    fetched = 0
    for seed in range(first_seed, first_seed + 10):
        world = freed_parts_model.World(seed, variant)
        world.run(RUN_S)
        assert world.violations == [], seed
        fetched += world.fetched
    assert fetched > 0


def test_heartbeats_that_take_long_extend_no_lease(intervals_s):
    """Guards against counting the age of what a peer knew from the arrival
    of its heartbeat.
    """
    variant = freed_parts_model.Variant(intervals_s, late_share=0.2)
    for seed in (1, 18, 26, 32, 72):
        assert violations(seed, variant) == [], seed


@pytest.mark.parametrize("seed", range(4))
def test_space_is_given_back_once_all_is_quiet(intervals_s, seed):
    """Guards against parts of replaced weights that fill the stores."""
    variant = freed_parts_model.Variant(intervals_s)
    world = freed_parts_model.World(seed, variant)
    world.run(RUN_S)
    world.settle()
    wait_s = fetch_leases.free_after_s() + SETTLE_S
    world.run(wait_s, with_events=False)
    assert world.freed > 0
    assert world.stale_parts() == []


def test_fetch_without_end_outlasts_its_part():
    assert is_needed(freed_parts_model.Variant(ends_fetches=False))


@pytest.mark.parametrize(
    "changes",
    [
        {"trusts_peers": True, "late_share": 0.2},
        {"confirms_frees": False},
        {"groups_in_force": True},
    ],
    ids=["own-readings", "confirmed-frees", "groups-by-what-is-named"],
)
def test_each_source_is_needed(changes):
    """Guards against a model that would not notice another source."""
    variant = freed_parts_model.Variant(freed_parts_model.RESTORES, **changes)
    assert is_needed(variant)


def test_times_that_begin_anew_after_a_restore_are_needed(monkeypatch):
    """Guards against a model that would not notice a missing guard."""
    monkeypatch.setattr(sweeping.Sweeper, "review_readings", lambda each: None)
    assert is_needed(freed_parts_model.Variant(freed_parts_model.RESTORES))
