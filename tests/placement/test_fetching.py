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


def record_late(health, *addresses, count=fetching.LATE_LIMIT):
    for _ in range(count):
        health.record_first_event(addresses, in_time=False)


def test_store_is_avoided_after_consecutive_late_fetches(health):
    """Guards against fetches from a store with a slow link.

    Each prompt would wait for as long as a prefill before its own starts.
    """
    record_late(health, STORE, count=fetching.LATE_LIMIT - 1)
    assert health.may_use(STORE)
    record_late(health, STORE, count=1)
    assert not health.may_use(STORE)
    assert health.is_slow(STORE)
    assert health.may_use(OTHER)


def test_fetch_in_time_resets_the_count(health):
    record_late(health, STORE, count=fetching.LATE_LIMIT - 1)
    health.record_first_event([STORE], in_time=True)
    record_late(health, STORE, count=1)
    assert health.may_use(STORE)


def test_overdue_fetches_reveal_a_slow_store(health, clock):
    """Guards against further fetches while the first ones still wait."""
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
    record_late(health, STORE)
    clock.now_s += fetching.RETRY_INTERVAL_S
    assert health.may_use(STORE)
    health.record_start([STORE], "a", 0.5)
    assert not health.may_use(STORE)
    health.record_first_event([STORE], in_time=True)
    assert health.may_use(STORE)
    assert not health.is_slow(STORE)


def test_store_that_is_still_slow_is_avoided_again(health, clock):
    record_late(health, STORE)
    clock.now_s += fetching.RETRY_INTERVAL_S
    health.record_start([STORE], "a", 0.5)
    health.record_first_event([STORE], in_time=False)
    clock.now_s += fetching.RETRY_INTERVAL_S / 2
    assert not health.may_use(STORE)


def test_each_change_of_state_is_logged_once(health):
    with testing.capture_logs() as lines:
        record_late(health, STORE, count=fetching.LATE_LIMIT + 3)
        for _ in range(2):
            health.record_first_event([STORE], in_time=True)
    assert [line["event"] for line in lines] == [
        "cache_store_slow",
        "cache_store_in_time",
    ]


def test_record_of_a_removed_store_is_dropped(health):
    record_late(health, STORE)
    health.keep_only([OTHER])
    assert health.may_use(STORE)


def test_fetch_is_late_once_prefill_would_miss_the_target():
    assert fetching.late_after_s(0.8, 0.3, 0.2) == pytest.approx(0.5)


def test_fetch_of_an_overdue_prompt_may_take_as_long_as_prefill():
    """Guards against avoiding healthy stores.

    The largest prompts are late even with a fetch.
    """
    assert fetching.late_after_s(0.8, 0.9, 0.6) == 0.6
    assert fetching.late_after_s(-1.0, 0.1, 0.05) == fetching.MIN_LATE_S
