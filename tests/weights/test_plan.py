from __future__ import annotations

import math

import pytest

from briarseam.weights import orders
from briarseam.weights import plan as plans

FINISH = orders.Mode.FINISH
RETAIN = orders.Mode.RETAIN


@pytest.fixture
def times():
    """Changes that let runs finish take six seconds, others two."""
    made = plans.ChangeTimes()
    made.seconds = {FINISH: 6.0, RETAIN: 2.0}
    return made


def test_with_endless_time_few_engines_are_out_and_runs_finish(times):
    assert plans.make(5, 5, math.inf, times) == plans.Plan(2, FINISH)
    assert plans.make(20, 20, math.inf, times) == plans.Plan(4, FINISH)


def test_less_time_takes_more_engines_at_once(times):
    assert plans.make(30, 30, 25.0, times) == plans.Plan(8, FINISH)
    assert plans.make(30, 30, 20.0, times) == plans.Plan(10, FINISH)


def test_runs_go_on_under_new_weights_where_they_cannot_finish_in_time(times):
    """Six engines, two at a time: three rounds of six seconds, 13 s left."""
    assert plans.make(6, 6, 13.0, times) == plans.Plan(2, RETAIN)
    assert plans.make(6, 2, 8.0, times) == plans.Plan(2, FINISH)


def test_rollout_that_is_overdue_goes_as_fast_as_it_can(times):
    assert plans.make(9, 9, -3.0, times) == plans.Plan(3, RETAIN)
    assert plans.make(1, 1, -3.0, times) == plans.Plan(1, RETAIN)


def test_plan_follows_what_changes_were_seen_to_take(times):
    assert plans.make(6, 6, 13.0, times).mode is RETAIN
    for _ in range(20):
        times.note(FINISH, 1.0)
    assert plans.make(6, 6, 13.0, times).mode is FINISH


@pytest.mark.parametrize("left_s", [-1.0, 0.5, 5.0, 14.0, 60.0, math.inf])
def test_no_plan_takes_all_engines_out_or_none(times, left_s):
    for engines in range(1, 60):
        for behind in (1, engines):
            plan = plans.make(engines, behind, left_s, times)
            assert 1 <= plan.at_once <= max(1, engines // 2)
