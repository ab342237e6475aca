from __future__ import annotations

import pytest

from briarseam.placement import usual_sizes


def test_usual_size_is_the_mean_of_what_arrived():
    sizes = usual_sizes.UsualSizes()
    assert sizes.of("draft") is None
    for tokens in (1000, 2000, 6000):
        sizes.note("draft", tokens)
    sizes.note("question", 10)
    assert sizes.of("draft") == pytest.approx(3000)
    assert sizes.of("question") == 10


def test_usual_size_follows_a_change():
    sizes = usual_sizes.UsualSizes()
    for _ in range(2 * usual_sizes.WINDOW_PROMPTS):
        sizes.note("draft", 1000)
    for _ in range(5 * usual_sizes.WINDOW_PROMPTS):
        sizes.note("draft", 9000)
    assert sizes.of("draft") == pytest.approx(9000, rel=0.05)


def test_kinds_that_are_no_longer_asked_for_are_forgotten():
    sizes = usual_sizes.UsualSizes()
    for number in range(usual_sizes.MOST_KINDS + 2):
        sizes.note(f"kind-{number}", 1000)
        sizes.note("asked for", 500)
    assert len(sizes.means) == usual_sizes.MOST_KINDS
    assert sizes.of("kind-0") is None
    assert sizes.of("asked for") == 500
