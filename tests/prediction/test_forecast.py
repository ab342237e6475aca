from __future__ import annotations

import pytest

from briarseam.prediction import forecast
from briarseam.prediction import rates

SPEED = rates.Speed(s_per_token=0.00001, floor_s=0.02)


def test_times_of_a_prompt_behind_others():
    times = forecast.forecast(SPEED, 1.0, 8000, 12_000)
    assert times.first_event_s == pytest.approx(0.22)
    assert times.prefill_s == pytest.approx(0.2)
    assert times.step_s == pytest.approx(0.02048)


def test_ratio_stretches_the_prefill_but_not_the_floor():
    times = forecast.forecast(SPEED, 2.0, 8000, 12_000)
    assert times.first_event_s == pytest.approx(0.42)
    assert times.prefill_s == pytest.approx(0.4)
    assert times.step_s == pytest.approx(0.04096)


def test_negative_load_does_not_shorten_a_prefill_below_zero():
    """Guards against negative times.

    Loads are differences that arrive out of step, so their sum may be
    negative for a moment.
    """
    times = forecast.forecast(SPEED, 1.0, -5000, 1000)
    assert times.first_event_s == pytest.approx(0.02)
    assert times.prefill_s == 0.0
