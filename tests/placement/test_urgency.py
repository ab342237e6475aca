"""When load reports precede their interval."""

from __future__ import annotations

import math
import threading

import pytest

from briarseam.placement import urgency
from tests import clocks
from tests.placement import told_load

PEERS = 30
LARGE = urgency.MIN_TOKENS + 1


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def reports(clock):
    return urgency.UrgentReports(clock)


def test_bucket_allows_its_rate_after_a_burst(clock):
    """Guards against more processor time than the budget."""
    bucket = urgency.TokenBucket(250.0, clock)
    sent = 0
    for _ in range(1000):
        clock.now_s += 0.01
        if bucket.delay_s(PEERS, 3 * PEERS) <= 0:
            bucket.take(PEERS)
            sent += PEERS
    assert 2500 <= sent <= 2500 + 3 * PEERS


def test_bucket_states_when_datagrams_may_be_sent(clock):
    bucket = urgency.TokenBucket(250.0, clock)
    assert bucket.available(90) == 90
    bucket.take(90)
    assert bucket.available(90) == 0
    delay_s = bucket.delay_s(PEERS, 90)
    assert delay_s == pytest.approx(PEERS / 250)
    clock.now_s += delay_s + 1e-6
    assert bucket.delay_s(PEERS, 90) == 0
    assert bucket.available(90) == PEERS


def test_idle_bucket_does_not_grow_beyond_its_burst(clock):
    bucket = urgency.TokenBucket(250.0, clock)
    bucket.take(1)
    clock.now_s += 3600
    assert bucket.available(90) == 90
    assert bucket.available(9) == 9


def test_large_addition_is_urgent_until_it_is_reported(reports):
    assert reports.delay_s(PEERS) == math.inf
    reports.record("engine-1", LARGE, 1)
    assert reports.delay_s(PEERS) == 0
    reports.start_report()
    assert reports.delay_s(PEERS) == math.inf


def test_decreases_and_small_additions_are_not_urgent(reports):
    """Guards against reports at each of an instance's many changes."""
    reports.record("engine-1", -LARGE, 1)
    for number in range(100):
        reports.record(f"engine-{number}", urgency.MIN_TOKENS, 1)
    assert reports.delay_s(PEERS) == math.inf


def test_small_additions_to_one_endpoint_become_urgent_together(reports):
    reports.record("engine-1", 1500, 1)
    reports.record("engine-2", 1500, 1)
    assert reports.delay_s(PEERS) == math.inf
    reports.record("engine-1", 1500, 1)
    assert reports.delay_s(PEERS) == 0


def test_reported_additions_do_not_add_up_with_later_ones(reports):
    reports.record("engine-1", 1500, 1)
    reports.start_report()
    reports.record("engine-1", 1500, 1)
    assert reports.delay_s(PEERS) == math.inf


def test_urgent_report_waits_for_its_budget(reports, clock):
    for _ in range(urgency.BURST_REPORTS):
        reports.record("engine-1", LARGE, 1)
        assert reports.take_report(PEERS)
        reports.start_report()
    reports.record("engine-1", LARGE, 1)
    assert not reports.take_report(PEERS)
    assert reports.delay_s(PEERS) == pytest.approx(PEERS / 250)
    clock.now_s += PEERS / 250 + 1e-6
    assert reports.take_report(PEERS)


def test_additions_are_taken_once(reports):
    reports.record("engine-1", LARGE, 5)
    reports.record("engine-1", 10, 6)
    reports.record("engine-2", 10, 7)
    assert reports.take_additions() == urgency.Additions(
        6, (("engine-1", LARGE + 10),)
    )
    assert reports.take_additions() is None


def test_addition_that_makes_small_ones_urgent_is_taken_with_them(reports):
    """Guards against notices that leave out the prompts before."""
    reports.record("engine-1", 1500, 5)
    assert reports.take_additions() is None
    reports.record("engine-1", 1500, 6)
    assert reports.take_additions() == urgency.Additions(
        6, (("engine-1", 3000),)
    )
    reports.record("engine-1", 1500, 7)
    assert reports.take_additions() == urgency.Additions(
        7, (("engine-1", 1500),)
    )


def test_small_additions_are_left_to_the_load_of_the_cell(reports):
    """Guards against notices of prompts that were reported long before."""
    reports.record("engine-1", 1500, 5)
    reports.start_report()
    reports.record("engine-1", LARGE, 6)
    assert reports.take_additions() == urgency.Additions(
        6, (("engine-1", LARGE),)
    )


def test_report_in_the_cell_keeps_urgent_additions_for_other_cells(reports):
    reports.record("engine-1", LARGE, 5)
    reports.start_report()
    assert reports.take_additions() == urgency.Additions(
        5, (("engine-1", LARGE),)
    )


def test_wait_ends_when_an_addition_becomes_urgent():
    """Guards against a thread that sleeps through an urgent addition."""
    reports = urgency.UrgentReports()
    ended = threading.Event()

    def wait() -> None:
        reports.wait(PEERS, 30.0)
        ended.set()

    threading.Thread(target=wait, daemon=True).start()
    reports.record("engine-1", 1, 1)
    assert not ended.wait(0.05)
    reports.record("engine-1", LARGE, 1)
    assert ended.wait(5.0)


def test_wait_without_anything_urgent_ends_in_time():
    reports = urgency.UrgentReports()
    started_s = reports.clock()
    reports.wait(PEERS, 0.05)
    assert 0.05 <= reports.clock() - started_s < 5.0


def test_few_large_prompts_are_placed_behind_another_one():
    """Guards against large prompts sent to an engine that seems idle.

    Sixteen instances send to 24 engines.  Of about 300 large prompts, 20 are
    placed behind one of another instance with reports at the interval, and
    one with reports at once.
    """
    by_interval = told_load.Play(1, False, 16, 24, 90.0).run(6.0)
    at_once = told_load.Play(1, True, 16, 24, 90.0).run(6.0)
    assert by_interval.behind / by_interval.large > 0.05
    assert at_once.behind / at_once.large < 0.02


def test_few_large_prompts_are_placed_behind_those_of_other_cells():
    """Guards against large prompts sent to an engine that another cell uses.

    Sixteen instances in four cells, which learn each other's load each half
    second to second.  Of about 240 large prompts, 32 are placed behind one of
    another instance without notices, and none with them.
    """
    by_interval = told_load.Play(1, False, 16, 24, 90.0, cells=4).run(6.0)
    at_once = told_load.Play(1, True, 16, 24, 90.0, cells=4).run(6.0)
    assert by_interval.behind / by_interval.large > 0.1
    assert at_once.behind / at_once.large < 0.02
