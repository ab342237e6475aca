from __future__ import annotations

import pytest

from briarseam.prediction import rates as rate_module
from tests import clocks

SERVICE = "engines"
S_PER_TOKEN = 0.00001
FLOOR_S = 0.03
TOKENS = 10_000


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def rates(clock):
    """Rates that know the service's speed."""
    rates = rate_module.Rates(clock)
    for number in range(200):
        name = f"e{number % 10}"
        rates.record(SERVICE, name, 100, FLOOR_S + 100 * S_PER_TOKEN)
        rates.record(SERVICE, name, TOKENS, FLOOR_S + TOKENS * S_PER_TOKEN)
    clock.now_s += 1000.0
    return rates


def record(rates, factor, count=1, endpoint="e0", tokens=TOKENS):
    for _ in range(count):
        took_s = factor * (FLOOR_S + tokens * S_PER_TOKEN)
        rates.record(SERVICE, endpoint, tokens, took_s)


def test_speed_of_a_service(rates):
    speed = rates.speed(SERVICE)
    assert speed.s_per_token == pytest.approx(S_PER_TOKEN, rel=0.15)
    assert speed.floor_s == pytest.approx(FLOOR_S, rel=0.15)
    assert rates.speed("other").s_per_token == pytest.approx(0.00002)


def test_ratio_of_a_slow_endpoint(rates):
    record(rates, 3.0, 8)
    slow, unknown = rates.ratios_of(["e0", "never-seen"])
    assert 2.0 < slow < 3.3
    assert unknown == 1.0


def test_one_slow_answer_is_not_a_slow_endpoint(rates):
    """Guards against avoiding an endpoint for unknown work of others."""
    record(rates, 1.0, 6)
    record(rates, 6.0)
    assert rates.ratio("e0") < 1.6


@pytest.mark.parametrize(
    ("factor", "ratio"),
    [(1000.0, rate_module.MAX_RATIO), (0.001, rate_module.MIN_RATIO)],
)
def test_ratio_is_bounded(rates, factor, ratio):
    record(rates, factor, 200)
    assert rates.ratio("e0") == pytest.approx(ratio, rel=0.05)


def test_ratio_returns_to_one_without_samples(rates, clock):
    """Guards against never trying a slow endpoint again."""
    record(rates, 4.0, 4)
    values = []
    for _ in range(6):
        values.append(rates.ratio("e0"))
        clock.now_s += rate_module.HALF_LIFE_S
    assert values == sorted(values, reverse=True)
    assert values[0] > 2.5
    assert values[-1] < 1.3


def test_clock_set_back_does_not_enlarge_a_ratio(rates, clock):
    record(rates, 4.0, 4)
    before = rates.ratio("e0")
    clock.now_s -= 500.0
    assert rates.ratio("e0") == before


def test_small_prompts_do_not_train_the_ratio(rates):
    """Guards against taking the time of one step for a slow endpoint."""
    record(rates, 50.0, 20, tokens=500)
    assert rates.ratio("e0") == 1.0


def test_restarted_endpoint_starts_without_a_ratio(rates):
    """Guards against avoiding a new process for its predecessor."""
    record(rates, 4.0, 8)
    rates.forget("e0")
    assert rates.ratio("e0") == 1.0
    record(rates, 4.0, 8)
    rates.keep_only({"e1"})
    assert rates.ratio("e0") == 1.0
