from __future__ import annotations

import pytest

from briarseam.prediction import prefill_time


@pytest.mark.parametrize("true_ms", [0.009, 0.04])
def test_estimate_converges_from_a_wrong_initial_value(true_ms):
    """Engines of one deployment are four times as fast as another's."""
    times = prefill_time.PrefillTime()
    for number in range(40):
        tokens = 4000 + 1000 * (number % 7)
        noise = 0.8 + 0.1 * (number % 5)
        times.record(tokens, tokens * true_ms * noise / 1000)
    assert times.seconds(10_000) == pytest.approx(10 * true_ms, rel=0.25)


def test_short_and_extreme_samples_have_little_effect():
    times = prefill_time.PrefillTime()
    times.record(100, 50.0)
    assert times.ms_per_token == prefill_time.INITIAL_MS
    for _ in range(1000):
        times.record(5000, 1e9)
    assert times.ms_per_token <= prefill_time.MAX_MS
