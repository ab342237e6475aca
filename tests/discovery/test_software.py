from __future__ import annotations

import pytest

from briarseam.discovery import model
from briarseam.discovery import software
from tests import clocks


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def present():
    return []


@pytest.fixture
def history(clock, present):
    return software.SoftwareHistory(lambda: present, clock)


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
