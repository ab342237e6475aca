from __future__ import annotations

from briarseam.admission import retry_schedule
from tests import clocks


def test_refused_callers_are_spread_at_half_the_service_rate():
    """With ten runs ending per second, forty callers refused at one moment
    are told to return at half that rate.
    """
    clock = clocks.ManualClock()
    schedule = retry_schedule.RetrySchedule(clock)
    for _ in range(300):
        clock.now_s += 0.1
        schedule.record_end()
    waits = [schedule.assign() for _ in range(40)]
    gaps = [b - a for a, b in zip(waits, waits[1:], strict=False)]
    assert all(0.15 < gap < 0.25 for gap in gaps)


def test_fixed_baseline_assigns_the_same_time():
    """The benchmark compares the schedule with a fixed retry time.  If that
    were spread as well, the second peak would not show.
    """
    schedule = retry_schedule.RetrySchedule(clocks.ManualClock(), lambda: True)
    assert {schedule.assign() for _ in range(5)} == {
        retry_schedule.FIXED_RETRY_S
    }
