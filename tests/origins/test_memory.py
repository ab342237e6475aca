from __future__ import annotations

import pytest

from briarseam.origins import memory
from tests import clocks

ORIGIN = memory.Origin("engines", "v1")


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def known(clock):
    return memory.OriginMemory(clock)


def test_origin_is_found_until_it_expires(known, clock):
    known.record("stream", ORIGIN)
    clock.now_s += memory.ORIGIN_TTL_S - 1
    assert known.find("stream") == ORIGIN
    clock.now_s += 1
    assert known.find("stream") is None
    assert known.find("another") is None


def test_first_origin_of_a_stream_stays(known):
    """Guards against a resumed run that is taken for the one that began."""
    known.record("stream", ORIGIN)
    known.record("stream", memory.Origin("engines", "v2"))
    assert known.find("stream") == ORIGIN


def test_repeated_record_renews_an_origin(known, clock):
    known.record("stream", ORIGIN)
    clock.now_s += memory.ORIGIN_TTL_S - 1
    known.record("stream", ORIGIN)
    clock.now_s += memory.ORIGIN_TTL_S - 1
    assert known.find("stream") == ORIGIN


def test_number_of_origins_is_bounded(known, monkeypatch):
    monkeypatch.setattr(memory, "MAX_ORIGINS", 3)
    for number in range(5):
        known.record(f"stream-{number}", ORIGIN)
    assert list(known.origins) == ["stream-2", "stream-3", "stream-4"]


def test_expired_origins_are_freed(known, clock):
    known.record("old", ORIGIN)
    clock.now_s += memory.ORIGIN_TTL_S
    known.record("new", ORIGIN)
    assert list(known.origins) == ["new"]
