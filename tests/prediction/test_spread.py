from __future__ import annotations

import pytest

from briarseam.prediction import spread as spreads


def recorded(ratios):
    """Return a spread of some samples."""
    spread = spreads.Spread()
    for ratio in ratios:
        spread.record(ratio)
    return spread


def test_prior_is_used_until_there_are_enough_samples():
    """Guards against decisions by the luck of the first few answers."""
    spread = recorded([8.0] * (spreads.MIN_SAMPLES - 1))
    assert spread.exceeds(2.0) == pytest.approx(1 / 9, rel=0.02)
    spread.record(8.0)
    assert spread.exceeds(2.0) > 0.9


def test_share_follows_the_samples():
    ratios = [0.5 + 0.01 * number for number in range(200)]
    spread = recorded(sorted(ratios, key=lambda ratio: ratio * 7919 % 1))
    assert spread.exceeds(1.0) == pytest.approx(0.75, abs=0.04)
    assert spread.exceeds(2.0) == pytest.approx(0.25, abs=0.04)
    assert spread.exceeds(3.0) == pytest.approx(0.005, abs=0.005)


def test_share_decreases_between_the_limits_of_bins():
    """Guards against engines that differ little being compared as equal."""
    spread = recorded([0.8, 1.0, 1.1, 1.3, 2.5] * 40)
    shares = [spread.exceeds(0.2 + 0.01 * step) for step in range(6, 300)]
    assert all(
        before > after
        for before, after in zip(shares, shares[1:], strict=False)
    )


@pytest.mark.parametrize("ratios", [(), [1.0] * 1000, [100.0] * 1000])
@pytest.mark.parametrize(
    "ratio", [float("-inf"), -1.0, 0.0, 0.3, 1.0, 15.9, 40.0, float("inf")]
)
def test_share_is_never_certain(ratios, ratio):
    """Guards against one outlier that no comparison would take back."""
    assert 0.0 < recorded(ratios).exceeds(ratio) < 1.0


def test_old_samples_count_less():
    """Guards against a tail that outlasts the slowdown that caused it."""
    half_life = spreads.HALF_LIFE_SAMPLES
    spread = recorded([3.0] * half_life + [1.0] * half_life)
    assert spread.exceeds(2.0) == pytest.approx(1 / 3, abs=0.02)


def test_weights_stay_finite():
    """Guards against overflow in an instance that runs for days."""
    spread = recorded([1.0, 1.0, 1.0, 3.0] * 6000)
    assert max(spread.weights) < 1e9
    assert spread.exceeds(2.0) == pytest.approx(0.25, abs=0.02)
