from __future__ import annotations

import pytest

from briarseam.discovery import model
from briarseam.discovery import software
from tests import clocks
from tests.discovery import fakes


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def present():
    return []


@pytest.fixture
def reads():
    return fakes.Reads()


@pytest.fixture
def history(clock, present, reads):
    return software.SoftwareHistory(lambda: present, reads, clock)


def endpoint(version, service="engines"):
    return model.Endpoint("e", service, "10.0.0.1:1", "a", 8, software=version)


def test_only_version_of_a_service_is_known(history):
    history.record_entry(endpoint("v1"))
    history.record_entry(endpoint("v2", "others"))
    assert history.only_version("engines") == "v1"
    assert history.only_version("unknown") is None


def test_versions_that_were_seen_lately_count(history, clock):
    """Guards against a stream of a version whose last endpoint just left."""
    history.record_entry(endpoint("v1"))
    history.record_entry(endpoint("v2"))
    assert history.only_version("engines") is None
    clock.now_s += software.LOOKBACK_S / 2
    history.record_entry(endpoint("v2"))
    assert history.only_version("engines") is None
    clock.now_s += software.LOOKBACK_S / 2 + 1
    assert history.only_version("engines") == "v2"


def test_present_endpoints_count_however_old_their_entries(
    history, present, clock
):
    history.record_entry(endpoint("v1"))
    present.append(endpoint("v1"))
    clock.now_s += 2 * software.LOOKBACK_S
    history.record_entry(endpoint("v2"))
    assert history.only_version("engines") is None


def test_history_is_complete_after_the_whole_time(history, clock):
    """Guards against an instance that has just started and saw no other."""
    assert not history.is_complete("engines")
    history.record_entry(endpoint("v1"))
    assert not history.is_complete("engines")
    clock.now_s += software.LOOKBACK_S
    assert history.is_complete("engines")


def test_time_that_was_not_read_does_not_count(history, reads, clock):
    """Guards against entries that were dropped before they were read."""
    history.record_entry(endpoint("v1"))
    clock.now_s += software.LOOKBACK_S
    reads.continuous_since_s = clock.now_s - 1
    assert not history.is_complete("engines")
    clock.now_s += software.LOOKBACK_S - 1
    assert history.is_complete("engines")


def test_time_that_counts_ends_when_the_caller_asked(history, clock):
    """Guards against a suspension between two checks of one request."""
    history.record_entry(endpoint("v1"))
    history.record_entry(endpoint("v2"))
    asked_s = clock.now_s + 1
    clock.now_s += 2 * software.LOOKBACK_S
    history.record_entry(endpoint("v2"))
    assert history.only_version("engines", asked_s) is None
    assert not history.is_complete("engines", asked_s)


@pytest.mark.parametrize(
    "time_left_s, waited_s",
    [(None, software.CONFIRM_WAIT_S), (1.0, 1.0), (-1.0, 0.0), (60.0, 2.5)],
)
def test_wait_for_a_read_ends_with_the_callers_time(
    history, reads, time_left_s, waited_s
):
    assert history.await_read(0.0, time_left_s)
    assert reads.waits_s == [waited_s]


def test_version_of_an_endpoint_that_is_gone_counts_from_its_end(
    history, clock
):
    """Guards against entries that lapsed in a long outage of the store."""
    history.record_entry(endpoint("v1"))
    clock.now_s += 2 * software.LOOKBACK_S
    history.record_gone(frozenset({"e"}))
    assert history.only_version("engines") == "v1"
    clock.now_s += software.LOOKBACK_S + 1
    assert history.only_version("engines") is None


def test_endpoint_that_may_be_running_counts_without_an_entry(history, clock):
    """Guards against endpoints whose entries lapsed but that still run."""
    history.record_entry(endpoint("v1"))
    clock.now_s += 2 * software.LOOKBACK_S
    assert history.only_version("engines") == "v1"


def test_former_version_of_an_endpoint_counts_from_its_next_entry(
    history, clock
):
    """Guards against a version that ended in a long outage of the store."""
    history.record_entry(endpoint("v1"))
    clock.now_s += 2 * software.LOOKBACK_S
    history.record_entry(endpoint("v2"))
    assert history.only_version("engines") is None


def test_endpoint_whose_end_was_overtaken_by_its_entry_is_forgotten(
    history, clock
):
    """Guards against a version that counts for ever."""
    history.record_gone(frozenset({"e"}))
    history.record_entry(endpoint("v1"))
    history.keep_only(frozenset())
    clock.now_s += software.LOOKBACK_S + 1
    assert history.only_version("engines") is None
