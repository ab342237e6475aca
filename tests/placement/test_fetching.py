from __future__ import annotations

import pytest
from structlog import testing

from briarseam.placement import fetching
from tests import clocks

STORE = "10.0.0.1:1"
OTHER = "10.0.0.2:1"


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def health(clock):
    return fetching.StoreHealth(clock)


def late(health, *addresses, times=fetching.LATE_LIMIT):
    for _ in range(times):
        health.record_first_event(addresses, in_time=False)


def test_store_is_left_alone_after_several_late_fetches(health):
    """A store's link is slow, and each prompt that fetches from it waits
    for the time that reading takes before it is read.
    """
    late(health, STORE, times=fetching.LATE_LIMIT - 1)
    assert health.may_use(STORE)
    late(health, STORE, times=1)
    assert not health.may_use(STORE)
    assert health.is_slow(STORE)
    assert health.may_use(OTHER)


def test_a_single_fetch_in_time_clears_a_store(health):
    late(health, STORE, times=fetching.LATE_LIMIT - 1)
    health.record_first_event([STORE], in_time=True)
    late(health, STORE, times=1)
    assert health.may_use(STORE)


def test_fetches_under_way_show_a_slow_store_before_they_end(health, clock):
    """Each instance sends some more prompts to a slow store while the first
    ones still wait for it.
    """
    for prompt in "ab":
        health.record_start([STORE], prompt, 0.5)
    clock.now_s += 0.4
    assert health.may_use(STORE)
    clock.now_s += 0.2
    assert health.is_slow(STORE)
    health.record_start([STORE], "c", 0.5)
    assert not health.may_use(STORE)
    for prompt in "ab":
        health.record_end([STORE], prompt)
    assert not health.is_slow(STORE)


def test_slow_store_is_tried_by_one_prompt_at_a_time(health, clock):
    late(health, STORE)
    clock.now_s += fetching.RETRY_INTERVAL_S
    assert health.may_use(STORE)
    health.record_start([STORE], "a", 0.5)
    assert not health.may_use(STORE)
    health.record_first_event([STORE], in_time=True)
    assert health.may_use(STORE)
    assert not health.is_slow(STORE)


def test_store_that_is_still_slow_is_left_alone_again(health, clock):
    late(health, STORE)
    clock.now_s += fetching.RETRY_INTERVAL_S
    health.record_start([STORE], "a", 0.5)
    health.record_first_event([STORE], in_time=False)
    clock.now_s += fetching.RETRY_INTERVAL_S / 2
    assert not health.may_use(STORE)


def test_changes_of_belief_are_logged_once(health):
    with testing.capture_logs() as lines:
        late(health, STORE, times=fetching.LATE_LIMIT + 3)
        for _ in range(2):
            health.record_first_event([STORE], in_time=True)
    assert [line["event"] for line in lines] == [
        "cache_store_slow",
        "cache_store_in_time",
    ]


def test_removed_store_is_forgotten(health):
    late(health, STORE)
    health.keep_only([OTHER])
    assert health.may_use(STORE)


def test_a_fetch_is_late_once_reading_would_not_be_in_time():
    assert fetching.late_after_s(0.8, 0.3, 0.2) == pytest.approx(0.5)


def test_a_prompt_that_cannot_be_in_time_may_fetch_as_long_as_reading_takes():
    """Stores that were well were left alone since the largest prompts came
    late.
    """
    assert fetching.late_after_s(0.8, 0.9, 0.6) == 0.6
    assert fetching.late_after_s(-1.0, 0.1, 0.05) == fetching.MIN_LATE_S
