from __future__ import annotations

from briarseam.admission import retry_schedule
from tests import clocks


def test_refused_callers_are_spread_over_what_can_be_served():
    """Ten runs a second have been ending.  Forty callers are refused in
    one moment; they must come back over seconds, at half that rate.
    """
    clock = clocks.ManualClock()
    schedule = retry_schedule.RetrySchedule(clock)
    for _ in range(300):
        clock.now_s += 0.1
        schedule.record_end()
    waits = [schedule.assign() for _ in range(40)]
    gaps = [b - a for a, b in zip(waits, waits[1:], strict=False)]
    assert all(0.15 < gap < 0.25 for gap in gaps)


def test_the_fixed_baseline_tells_all_the_same():
    """The bench compares the schedule with one fixed second.  Were the
    baseline spread as well, the second peak could not be seen.
    """
    schedule = retry_schedule.RetrySchedule(clocks.ManualClock(), lambda: True)
    assert {schedule.assign() for _ in range(5)} == {
        retry_schedule.FIXED_RETRY_S
    }
