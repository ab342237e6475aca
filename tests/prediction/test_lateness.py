from __future__ import annotations

import pytest

from briarseam.prediction import forecast
from briarseam.prediction import lateness
from briarseam.prediction import spread as spreads

# Without samples: exceeds(r) is 1 / (1 + r^3).
PRIOR = spreads.Spread()
APPROX = {"rel": 0.02}


def expected(first_event_s=0.1, prefill_s=0.1, step_s=0.03, **changes):
    values = {
        "remaining_s": 0.4,
        "streams": 0,
        "max_pause_s": 0.4,
        "steps_per_event": 9,
    }
    return lateness.expected_late(
        forecast.Forecast(first_event_s, prefill_s, step_s),
        PRIOR,
        **(values | changes),
    )


def test_chance_of_the_prompt_itself():
    assert expected() == pytest.approx(1 / 65, **APPROX)
    assert expected(first_event_s=0.4) == pytest.approx(1 / 2, **APPROX)


def test_each_stream_counts():
    """Guards against a prefill beside many streams that all tolerate little.

    The pause of 0.2 s is half of the tolerated one.
    """
    assert expected(
        first_event_s=0.2, prefill_s=0.2, streams=3
    ) == pytest.approx(4 / 9, **APPROX)


def test_pause_ends_with_the_next_event():
    """Guards against counting all of a long prefill as one pause.

    Nine steps of 0.03 s lie between two events, whatever the prefill.
    """
    one = expected(first_event_s=2.0, prefill_s=0.4, streams=1)
    assert expected(first_event_s=2.0, prefill_s=2.0, streams=1) == one
    unknown = expected(
        first_event_s=2.0, prefill_s=2.0, streams=1, steps_per_event=1
    )
    assert unknown > one + 0.5


def test_no_pause_is_late_without_a_tolerated_one():
    assert expected(streams=9, max_pause_s=0.0) == expected()


def test_nothing_is_prefilled_beside_streams():
    assert expected(prefill_s=0.0, streams=9) == expected()


@pytest.mark.parametrize("remaining_s", [0.0, -3.0])
def test_overdue_prompt_is_late_everywhere(remaining_s):
    """Guards against preferring a far engine for a prompt that is late."""
    near = expected(first_event_s=0.1, remaining_s=remaining_s)
    far = expected(first_event_s=5.0, remaining_s=remaining_s)
    assert 0.9 < near < 1.0
    assert near == far


def test_late_by_far_is_as_late_as_late_by_little():
    """Guards against using the fastest engine for a prompt that is late."""
    little = expected(first_event_s=2.0) + lateness.tie_break(2.0, 0.1, 0.4)
    far = expected(first_event_s=9.0) + lateness.tie_break(9.0, 0.1, 0.4)
    assert little == pytest.approx(far, abs=0.01)


def test_less_prefill_breaks_a_tie():
    assert lateness.tie_break(9.0, 0.1, 0.4) < lateness.tie_break(
        2.0, 0.3, 0.4
    )
