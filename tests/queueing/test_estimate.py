"""Estimates of when a waiter gets its turn."""

from __future__ import annotations

import pytest

from briarseam.queueing import estimate as estimates


def play(rate, per_s, duration_s, start_s=100.0, work=1):
    """Grant at a steady rate from the start of a backlog."""
    rate.begin(start_s)
    for number in range(round(per_s * duration_s)):
        rate.record(start_s + (number + 1) / per_s, work)


@pytest.mark.parametrize("per_s", [5, 50, 500])
def test_steady_rate_is_measured(per_s):
    rate = estimates.GrantRate()
    play(rate, per_s, 4.0, work=7)
    assert rate.per_s(104.0, 1.0) == pytest.approx(7 * per_s, rel=0.15)


def test_grants_before_the_backlog_do_not_count():
    """Guards against refusals after a quiet time, in which few requests
    were granted since few came.
    """
    rate = estimates.GrantRate()
    rate.record(99.0, 1)
    rate.begin(100.0)
    assert rate.per_s(100.1, 1.0) is None


def test_few_grants_tell_nothing_yet():
    """Guards against refusals while the first long streams still run."""
    rate = estimates.GrantRate()
    rate.begin(100.0)
    rate.record(100.3, 1)
    assert rate.per_s(101.0, 1.0) is None


def test_rate_falls_while_nothing_is_granted():
    """Guards against waiters that are held although all endpoints hang."""
    rate = estimates.GrantRate()
    play(rate, 50, 2.0)
    assert rate.per_s(103.9, 1.0) < 10
    assert rate.per_s(107.0, 1.0) == pytest.approx(0.2)


def test_rate_of_the_last_backlog_is_used_for_a_while():
    """Guards against requests that wait in a new burst until it is measured
    anew.
    """
    rate = estimates.GrantRate()
    play(rate, 50, 4.0)
    rate.end(104.0)
    rate.begin(106.0)
    assert rate.per_s(106.0, 1.0) == pytest.approx(50, rel=0.1)
    assert rate.per_s(106.0 + estimates.RATE_VALID_S, 1.0) != 50


def estimate(**changes):
    fields = {
        "position": 3,
        "work_ahead": 30.0,
        "work": 10,
        "work_per_s": 20.0,
        "arriving_per_s": 0.0,
        "answer_s": 0.5,
        "target_left_s": 2.0,
        "left_s": 2.1,
    }
    return estimates.Estimate(**fields | changes)


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, False),
        ({"left_s": 1.9}, True),
        ({"work_ahead": 40.0}, True),
        ({"wait_left_s": 1.6}, False),
        ({"wait_left_s": 1.4}, True),
        ({"work_per_s": None}, False),
        ({"work_per_s": None, "wait_left_s": -0.1}, True),
        ({"work_per_s": None, "left_s": 0.4}, True),
    ],
)
def test_request_is_too_late_if_its_answer_is(changes, expected):
    assert estimate(**changes).is_too_late is expected


@pytest.mark.parametrize(
    ("changes", "expected_s"),
    [
        ({"arriving_per_s": 60.0, "target_left_s": 2.0}, 1.5),
        ({"arriving_per_s": 10.0, "target_left_s": 1.9}, 2.5),
        ({"arriving_per_s": 15.0, "target_left_s": 1.9}, 3.0),
        ({"arriving_per_s": 60.0, "target_left_s": 1.9}, 7.5),
        ({"arriving_per_s": 60.0, "first_of_kind": True}, 1.5),
    ],
)
def test_late_request_lets_new_ones_pass(changes, expected_s):
    """Guards against requests that are held until they miss their target
    and refused then, since only new ones get capacity in an overload.
    """
    assert estimate(**changes).wait_s == pytest.approx(expected_s)


def test_retry_after_is_when_there_is_room():
    assert estimate().retry_after_s(0.0) == 2.0
    assert estimate().retry_after_s(1.0) == 3.0
    assert estimate(work_per_s=None).retry_after_s(0.0) == 0.3
    assert estimate(work_per_s=0.1).retry_after_s(0.0) == 10.0


def test_answer_time_is_the_median():
    """Guards against a mean that a few long answers distort."""
    answer_time = estimates.AnswerTime()
    assert answer_time.seconds() == 0.0
    for number in range(300):
        answer_time.record(30.0 if number % 10 == 0 else 0.2)
    assert answer_time.seconds() == pytest.approx(0.2, rel=0.3)
