from __future__ import annotations

import pytest

from briarseam import suspension
from tests import clocks


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def watch(clock):
    watch = suspension.SuspensionWatch(clock)
    watch.tick()
    return watch


def run_for(watch, seconds):
    """Let the process run."""
    for _ in range(round(seconds / suspension.TICK_S)):
        watch.clock.now_s += suspension.TICK_S
        watch.tick()


def test_running_process_is_not_catching_up(watch, clock):
    for _ in range(20):
        clock.now_s += suspension.TICK_S
        assert not watch.is_catching_up()
        watch.tick()
    assert not watch.is_catching_up()


def test_suspension_shows_before_and_after_the_next_tick(watch, clock):
    """Guards against a request that is handled before any other thread."""
    clock.now_s += 3.0
    assert watch.is_catching_up()
    watch.tick()
    run_for(watch, suspension.CATCH_UP_S - 0.2)
    assert watch.is_catching_up()
    run_for(watch, 0.4)
    assert not watch.is_catching_up()


def test_watch_that_does_not_run_tells_nothing(clock):
    watch = suspension.SuspensionWatch(clock)
    clock.now_s += 100.0
    assert not watch.is_catching_up()


def test_suspension_shows_until_something_was_read_after_it(watch, clock):
    """Guards against a read that began before the suspension."""
    read_s = clock.now_s
    assert not watch.was_suspended_since(read_s)
    clock.now_s += 3.0
    assert watch.was_suspended_since(read_s)
    watch.tick()
    assert watch.was_suspended_since(read_s)
    assert not watch.was_suspended_since(clock.now_s)
    run_for(watch, 60.0)
    assert watch.was_suspended_since(read_s)
