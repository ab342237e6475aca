from __future__ import annotations

import math

import pytest

from briarseam.weights import orders
from briarseam.weights import plan as plans

FINISH = orders.Mode.FINISH
RETAIN = orders.Mode.RETAIN


@pytest.fixture
def durations():
    """Six seconds for changes that let runs finish, two for others."""
    durations = plans.ChangeDurations()
    durations.seconds = {FINISH: 6.0, RETAIN: 2.0}
    return durations


def test_few_engines_at_once_and_runs_finish_without_time_limit(durations):
    assert plans.make(5, 5, math.inf, durations) == plans.Plan(2, FINISH)
    assert plans.make(20, 20, math.inf, durations) == plans.Plan(4, FINISH)


def test_less_time_means_more_engines_at_once(durations):
    assert plans.make(30, 30, 25.0, durations) == plans.Plan(8, FINISH)
    assert plans.make(30, 30, 20.0, durations) == plans.Plan(10, FINISH)


def test_runs_are_retained_where_they_cannot_finish_in_time(durations):
    """Six engines, two at a time, need three rounds of six seconds; 13 s
    remain.
    """
    assert plans.make(6, 6, 13.0, durations) == plans.Plan(2, RETAIN)
    assert plans.make(6, 2, 8.0, durations) == plans.Plan(2, FINISH)


def test_overdue_rollout_is_as_fast_as_possible(durations):
    assert plans.make(9, 9, -3.0, durations) == plans.Plan(3, RETAIN)
    assert plans.make(1, 1, -3.0, durations) == plans.Plan(1, RETAIN)


def test_plan_follows_measured_durations(durations):
    assert plans.make(6, 6, 13.0, durations).mode is RETAIN
    for _ in range(20):
        durations.record(FINISH, 1.0)
    assert plans.make(6, 6, 13.0, durations).mode is FINISH


@pytest.mark.parametrize("remaining_s", [-1.0, 0.5, 5.0, 14.0, 60.0, math.inf])
def test_plan_changes_some_but_not_all_engines(durations, remaining_s):
    for engines in range(1, 60):
        for outdated in (1, engines):
            plan = plans.make(engines, outdated, remaining_s, durations)
            assert 1 <= plan.at_once <= max(1, engines // 2)
