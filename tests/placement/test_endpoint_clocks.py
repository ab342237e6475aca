from __future__ import annotations

import math

import pytest

from briarseam.placement import endpoint_clocks
from tests import clocks


def case():
    clock = clocks.ManualClock()
    return clock, endpoint_clocks.EndpointClocks(clock)


def test_clock_is_unknown_before_the_first_reading():
    _clock, known = case()
    assert known.shown_by("s1", 0.0) is None
    assert known.shown(0.0) is None


def test_clock_goes_on_from_the_reading_that_took_least_time():
    clock, known = case()
    start_s = clock()
    known.record("s1", 100_000.0)
    clock.now_s += 1.0
    known.record("s1", 100_400.0)
    assert known.shown_by("s1", start_s + 2.0) == 102_000.0


def test_old_readings_are_dropped():
    """Guards against a drift that adds up."""
    clock, known = case()
    known.record("s1", 100_000.0)
    for _ in range(endpoint_clocks.READINGS):
        clock.now_s += 1.0
        known.record("s1", 90_000.0 + clock() * 1000)
    assert known.shown_by("s1", clock()) == 90_000.0 + clock() * 1000


def test_earliest_clock_of_all_stores_counts():
    clock, known = case()
    known.record("s1", 100_000.0)
    known.record("s2", 99_000.0)
    assert known.shown(clock()) == 99_000.0
    known.keep_only(["s1"])
    assert known.shown(clock()) == 100_000.0


def test_time_without_end_has_none_by_any_clock():
    _clock, known = case()
    assert known.shown(math.inf) == math.inf


HOUR_MS = 3_600_000.0
ODD_MS = [
    pytest.param(HOUR_MS, id="ahead"),
    pytest.param(9e12, id="far ahead"),
    pytest.param(-HOUR_MS, id="behind"),
]


@pytest.mark.parametrize("difference_ms", ODD_MS)
@pytest.mark.parametrize("place", range(3))
def test_one_odd_reading_does_not_change_the_clock(difference_ms, place):
    """Guards against fetches without a real end, or none at all."""
    clock, known = case()
    for number in range(3):
        clock.now_s += 1.0
        odd_ms = difference_ms if number == place else 0.0
        known.record("s1", 1e12 + clock() * 1000 + odd_ms)
    assert known.shown(clock()) == 1e12 + clock() * 1000
    assert known.shown_by("s1", clock()) == 1e12 + clock() * 1000


def test_reading_ahead_of_the_only_other_one_does_not_count():
    """Guards against fetches without a real end after the second reading."""
    clock, known = case()
    known.record("s1", 1e12)
    known.record("s1", 9e12)
    assert known.shown(clock()) == 1e12


@pytest.mark.parametrize("difference_ms", ODD_MS)
def test_one_odd_clock_of_three_does_not_count(difference_ms):
    clock, known = case()
    for number in range(endpoint_clocks.READINGS):
        clock.now_s += 1.0
        for address, odd_ms in (("s1", 0.0), ("s2", difference_ms)):
            known.record(address, 1e12 + clock() * 1000 + odd_ms)
        known.record("s3", 1e12 + clock() * 1000 - number)
    shown_ms = 1e12 + clock() * 1000
    assert known.shown(clock()) == pytest.approx(shown_ms, abs=1)
    known.keep_only(["s2"])
    assert known.shown(clock()) == shown_ms + difference_ms


def test_earlier_of_two_clocks_counts_that_differ():
    """Guards against fetches that go on by the one that is ahead."""
    clock, known = case()
    known.record("s1", 1e12)
    known.record("s2", 9e12)
    assert known.shown(clock()) == 1e12


def test_clock_that_was_set_counts_once_most_readings_show_it():
    clock, known = case()
    for _ in range(endpoint_clocks.READINGS):
        known.record("s1", 1e12)
    for _ in range(endpoint_clocks.READINGS // 2 + 1):
        known.record("s1", 1e12 - HOUR_MS)
    assert known.shown(clock()) == 1e12 - HOUR_MS
