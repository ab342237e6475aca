from __future__ import annotations

import pytest

from briarseam.placement import prefill_time


@pytest.mark.parametrize("truth_ms", [0.009, 0.04])
def test_time_of_reading_is_learned_from_a_wrong_guess(truth_ms):
    """Engines of one deployment read four times as fast as another's."""
    times = prefill_time.PrefillTime()
    for number in range(40):
        tokens = 4000 + 1000 * (number % 7)
        noise = 0.8 + 0.1 * (number % 5)
        times.record(tokens, tokens * truth_ms * noise / 1000)
    assert times.seconds(10_000) == pytest.approx(10 * truth_ms, rel=0.25)


def test_short_readings_and_wild_ones_teach_little():
    times = prefill_time.PrefillTime()
    times.record(100, 50.0)
    assert times.ms_per_token == prefill_time.INITIAL_MS
    for _ in range(1000):
        times.record(5000, 1e9)
    assert times.ms_per_token <= prefill_time.MAX_MS
