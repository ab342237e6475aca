from __future__ import annotations

import math

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
