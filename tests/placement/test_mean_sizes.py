from __future__ import annotations

import pytest

from briarseam.placement import mean_sizes


def test_size_is_the_mean_of_arrived_prompts():
    sizes = mean_sizes.MeanSizes()
    assert sizes.of("draft") is None
    for tokens in (1000, 2000, 6000):
        sizes.record("draft", tokens)
    sizes.record("question", 10)
    assert sizes.of("draft") == pytest.approx(3000)
    assert sizes.of("question") == 10


def test_mean_follows_a_change():
    sizes = mean_sizes.MeanSizes()
    for _ in range(2 * mean_sizes.WINDOW_PROMPTS):
        sizes.record("draft", 1000)
    for _ in range(5 * mean_sizes.WINDOW_PROMPTS):
        sizes.record("draft", 9000)
    assert sizes.of("draft") == pytest.approx(9000, rel=0.05)


def test_unused_routes_are_dropped():
    sizes = mean_sizes.MeanSizes()
    for number in range(mean_sizes.MAX_ROUTES + 2):
        sizes.record(f"route-{number}", 1000)
        sizes.record("recent", 500)
    assert len(sizes.means) == mean_sizes.MAX_ROUTES
    assert sizes.of("route-0") is None
    assert sizes.of("recent") == 500
