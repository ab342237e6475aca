from __future__ import annotations

import pytest

from briarseam.discovery import model as discovery
from briarseam.eligibility import requested_backoffs
from tests import clocks

ENDPOINT = discovery.Endpoint("e", "s", "127.0.0.1:1", "a", 8)


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def backoffs(clock):
    return requested_backoffs.RequestedBackoffs(clock, lambda: 0.0)


def test_backoff_lasts_as_long_as_asked(backoffs, clock):
    backoffs.record_answer("e", 3.0)
    assert backoffs.without_backoff([ENDPOINT]) == []
    clock.now_s += 2.9
    assert backoffs.remaining_s("e") == pytest.approx(0.1)
    assert backoffs.count() == 1
    clock.now_s += 0.1
    assert backoffs.without_backoff([ENDPOINT]) == [ENDPOINT]
    assert backoffs.count() == 0


def test_instances_return_at_different_times(clock):
    """Guards against all instances returning to an endpoint at once."""
    last = requested_backoffs.RequestedBackoffs(clock, lambda: 1.0)
    last.record_answer("e", 3.0)
    expected_s = 3.0 + requested_backoffs.SPREAD_S
    assert last.remaining_s("e") == pytest.approx(expected_s)


def test_second_answer_extends_a_backoff_but_does_not_shorten_it(
    backoffs, clock
):
    backoffs.record_answer("e", 3.0)
    backoffs.record_answer("e", 1.0)
    assert backoffs.remaining_s("e") == 3.0
    clock.now_s += 1.0
    backoffs.record_answer("e", 4.0)
    assert backoffs.remaining_s("e") == 4.0


@pytest.mark.parametrize("seconds", [None, 0.0])
def test_answer_that_asks_for_nothing_neither_starts_nor_ends_one(
    backoffs, seconds
):
    backoffs.record_answer("e", seconds)
    assert backoffs.count() == 0
    backoffs.record_answer("e", 3.0)
    backoffs.record_answer("e", seconds)
    assert backoffs.remaining_s("e") == 3.0


def test_huge_backoff_is_bounded(backoffs):
    backoffs.record_answer("e", 1e9)
    assert backoffs.remaining_s("e") == requested_backoffs.MAX_BACKOFF_S


def test_backoffs_of_other_starts_and_ended_ones_are_dropped(backoffs, clock):
    for name in ("e", "gone", "ended"):
        backoffs.record_answer(name, 0.5 if name == "ended" else 3.0)
    clock.now_s += 1.0
    backoffs.keep_only(["e", "ended"])
    assert list(backoffs.until_s) == ["e"]
