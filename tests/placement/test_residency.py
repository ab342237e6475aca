from __future__ import annotations

import pytest

from briarseam.placement import residency

CAPACITY = 1_000_000_000


@pytest.fixture
def known():
    return residency.Residency()


@pytest.mark.parametrize("tokens", [0, 1])
@pytest.mark.parametrize("characters", [9, 16_000])
def test_records_are_bounded_whatever_their_ids(known, characters, tokens):
    """Guards against memory that grows with the parts that callers name."""
    for number in range(100_000_000 // (256 + characters)):
        part = str(number).zfill(characters)
        known.record("engine", "salt", [(part, tokens)], CAPACITY)
    assert known.weights["engine"] <= residency.MAX_WEIGHT_BYTES
    assert known.weights["engine"] > residency.MAX_WEIGHT_BYTES - 20_000
    assert known.held_tokens("engine", "salt", [(part, 1)]) == 1


def test_endpoints_share_the_weight(known):
    for engine in range(4):
        for number in range(100_000):
            known.record(f"e{engine}", "", [(f"{number:09}", 1)], CAPACITY)
    bound = residency.MAX_WEIGHT_BYTES // 4
    assert known.weights["e3"] <= bound


def test_oldest_parts_are_dropped_beyond_the_capacity(known):
    known.record("engine", "", [("a", 40), ("b", 40)], 100)
    assert known.held_tokens("engine", "", [("b", 40)]) == 40
    assert known.held_tokens("engine", "", [("a", 40)]) == 0
    known.forget("engine")
    assert not known.weights
