from __future__ import annotations

import pytest

from briarseam import verdict
from briarseam.discovery import model as discovery
from briarseam.eligibility import cold_starts
from briarseam.eligibility import rate_limits
from briarseam.eligibility import regions
from briarseam.eligibility import rejection_limits
from briarseam.eligibility import requested_backoffs
from briarseam.eligibility import send_window
from briarseam.eligibility import service as eligibilities
from briarseam.routes import evacuation
from briarseam.routes import model as routes
from tests import clocks
from tests.eligibility import test_cold_starts

PLAIN = routes.Service("s")
LIMITED = routes.Service("s", cold_start=routes.ColdStart(3.0, 13.0))
A, B, C = (
    discovery.Endpoint(f"e-{zone}", "s", "127.0.0.1:1", zone, 8)
    for zone in "abc"
)


@pytest.fixture
def senders():
    return test_cold_starts.Senders()


@pytest.fixture
def rules(senders):
    clock = clocks.ManualClock()
    starts = cold_starts.ColdStarts(
        senders, cold_starts.Limits(), lambda: 0.0, clock, lambda: 0.0
    )
    clock.now_s += send_window.WINDOW_S
    return eligibilities.Eligibility(
        evacuation.Evacuations(starts.record_release, clock),
        starts,
        rate_limits.RateLimits(senders, clock),
        rejection_limits.RejectionLimits(senders, clock),
        requested_backoffs.RequestedBackoffs(clock, lambda: 0.0),
        regions.RegionMap({"a": "north", "b": "north", "c": "south"}),
    )


def test_evacuated_zone_is_excluded(rules):
    rules.evacuations.begin("a")
    found = rules.select([A, B, C], PLAIN, None)
    assert found.warm == [B, C]


def test_request_is_refused_at_once_if_all_zones_are_evacuated(rules):
    for zone in "abc":
        rules.evacuations.begin(zone)
    found = rules.select([A, B, C], PLAIN, None)
    assert isinstance(found, verdict.NotRun)
    assert found.detail == "evacuated availability zones: a, b, c"
    assert found.retry_after_s > 0


def test_endpoints_outside_the_allowed_regions_are_excluded(rules):
    found = rules.select([A, B, C], PLAIN, frozenset({"south"}))
    assert found.warm == [C]


def test_refusal_names_the_allowed_regions(rules):
    found = rules.select([A, B], PLAIN, frozenset({"south"}))
    assert isinstance(found, verdict.NotRun)
    assert found.detail == "no endpoint in the allowed regions: south"


def test_no_common_region_is_a_refusal(rules):
    found = rules.select([A, B, C], PLAIN, frozenset())
    assert found.detail == (
        "no endpoint in the allowed regions: no common region"
    )


def test_cold_endpoints_are_separate(rules):
    rules.record_entry(A)
    rules.starts.record_entry(B.id, 0.0)
    found = rules.select([A, B], LIMITED, None)
    assert found == eligibilities.Eligible([B], [A])
    assert rules.try_acquire(A, LIMITED)


def test_request_is_refused_if_all_endpoints_are_cold_and_denied(
    rules, senders
):
    senders.chosen = False
    found = rules.select([A, B], LIMITED, None)
    assert isinstance(found, verdict.NotRun)
    assert found.detail == (
        "all 2 endpoints are warming up and take 13 requests/s for 3.0 s"
    )
    spread_s = eligibilities.RETRY_SPREAD_S
    assert 3.0 <= found.retry_after_s <= 3.0 + spread_s


def test_request_waits_if_the_limits_of_outdated_endpoints_are_used_up(
    rules, senders
):
    """Guards against a refusal for seconds: room returns within one."""
    senders.chosen = False
    rules.starts.entries_age_s = lambda: 10.0
    rules.starts.record_entry(A.id, 0.0)
    while rules.try_acquire(A, LIMITED):
        pass
    found = rules.select([A], LIMITED, None)
    assert found == eligibilities.Eligible([], [])
