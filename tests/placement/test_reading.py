from __future__ import annotations

import pytest

from briarseam.placement import reading


@pytest.mark.parametrize("truth_ms", [0.009, 0.04])
def test_time_of_reading_is_learned_from_a_wrong_guess(truth_ms):
    """Engines of one deployment read four times as fast as another's."""
    times = reading.ReadingTime()
    for number in range(40):
        tokens = 4000 + 1000 * (number % 7)
        noise = 0.8 + 0.1 * (number % 5)
        times.note(tokens, tokens * truth_ms * noise / 1000)
    assert times.of(10_000) == pytest.approx(10 * truth_ms, rel=0.25)


def test_short_readings_and_wild_ones_teach_little():
    times = reading.ReadingTime()
    times.note(100, 50.0)
    assert times.ms_a_token == reading.FIRST_GUESS_MS
    for _ in range(1000):
        times.note(5000, 1e9)
    assert times.ms_a_token <= reading.MOST_MS
