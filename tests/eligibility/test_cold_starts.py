from __future__ import annotations

import dataclasses

import pytest

from briarseam.discovery import model as discovery
from briarseam.eligibility import cold_starts
from briarseam.eligibility import permissions
from briarseam.eligibility import send_window
from briarseam.routes import model as routes
from tests import clocks

COLD = routes.ColdStart(duration_s=3.0, requests_per_s=13.0)
# Two senders share the tolerated rate.
SENDER_LIMIT = 6
UNLIMITED = permissions.Permission.UNLIMITED
LIMITED = permissions.Permission.LIMITED
DENIED = permissions.Permission.DENIED


@dataclasses.dataclass
class Senders:
    chosen: bool = True

    def is_sender(self, endpoint, count):
        return self.chosen

    def known_count(self):
        return 10


def endpoint(name="e", zone="a"):
    return discovery.Endpoint(name, "s", "127.0.0.1:1", zone, 8)


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def senders():
    return Senders()


@pytest.fixture
def starts(senders, clock):
    """Return the limits of an instance that has run for a while."""
    found = cold_starts.ColdStarts(
        senders, cold_starts.Limits(), lambda: 0.0, clock, lambda: 0.0
    )
    clock.now_s += send_window.WINDOW_S
    return found


def test_instance_that_has_just_started_sends_to_no_cold_endpoint(
    senders, clock
):
    """Guards against a sender that restarts and sends its share twice."""
    starts = cold_starts.ColdStarts(
        senders, cold_starts.Limits(), lambda: 0.0, clock, lambda: 0.0
    )
    starts.record_entry("e", 3.0)
    assert permission(starts) is DENIED
    clock.now_s += send_window.WINDOW_S
    assert permission(starts) is LIMITED


def permission(starts, one=None):
    (found,) = starts.permissions([one or endpoint()], COLD)
    return found


def test_endpoint_that_reports_to_be_warm_is_unlimited(starts):
    starts.record_entry("e", 0.0)
    assert permission(starts) is UNLIMITED


def test_endpoint_that_reports_to_be_cold_is_limited_until_then(starts, clock):
    starts.record_entry("e", 2.0)
    assert permission(starts) is LIMITED
    clock.now_s += 1.9
    assert permission(starts) is LIMITED
    clock.now_s += 0.2
    assert permission(starts) is UNLIMITED


def test_endpoint_that_reports_nothing_is_cold_from_its_first_use(
    starts, clock
):
    """Guards against full load on a start that is known from a report only:
    its entry, which says how long it stays cold, comes a second later.
    """
    assert permission(starts) is LIMITED
    clock.now_s += COLD.duration_s
    assert permission(starts) is UNLIMITED


def test_endpoint_may_become_cold_again(starts, clock):
    starts.record_entry("e", 0.0)
    clock.now_s += 60.0
    starts.record_entry("e", 3.0)
    assert permission(starts) is LIMITED


def test_later_entry_shortens_the_time(starts, clock):
    starts.record_entry("e", 3.0)
    starts.record_entry("e", 0.0)
    assert permission(starts) is UNLIMITED


def test_endpoints_of_a_released_zone_are_cold(starts, clock):
    """Guards against full load on a zone's endpoints right after its
    evacuation has ended: their entries say a second later that they are
    cold.
    """
    starts.record_entry("e", 0.0)
    starts.record_entry("f", 0.0)
    starts.record_release("a")
    starts.record_entry("e", 0.0)
    assert permission(starts) is LIMITED
    assert permission(starts, endpoint("f", "b")) is UNLIMITED
    clock.now_s += COLD.duration_s
    assert permission(starts) is UNLIMITED


def test_only_senders_may_use_a_cold_endpoint(starts, senders):
    starts.record_entry("e", 3.0)
    senders.chosen = False
    assert permission(starts) is DENIED


def test_sender_keeps_to_its_limit_within_any_second(starts, clock):
    starts.record_entry("e", 60.0)
    sent_s = []
    for _ in range(300):
        clock.now_s += 0.01
        if starts.try_acquire(endpoint(), COLD):
            sent_s.append(clock.now_s)
    assert len(sent_s) == 3 * SENDER_LIMIT
    for first, last in zip(sent_s, sent_s[SENDER_LIMIT:], strict=False):
        assert last - first >= 1.0
    assert permission(starts) is DENIED


@pytest.mark.parametrize(
    "limits, rate_per_s, expected",
    [
        pytest.param(cold_starts.Limits(1.5, 5.0), 13.0, 6, id="the rate"),
        pytest.param(cold_starts.Limits(1.0, 0.0), 13.0, 3, id="tight bound"),
        pytest.param(cold_starts.Limits(1.5, 5.0), 0.0, 0, id="none at all"),
    ],
)
def test_limit_of_a_sender(limits, rate_per_s, expected):
    assert limits.for_sender(rate_per_s) == expected


def test_instances_turn_to_warm_endpoints_at_different_times(senders, clock):
    """Guards against all instances sending to a zone at once at the moment
    when its endpoints turn warm.
    """
    chances = iter((0.0, 1.0))
    first, last = (
        cold_starts.ColdStarts(
            senders,
            cold_starts.Limits(),
            lambda: 0.0,
            clock,
            lambda: next(chances),
        )
        for _ in range(2)
    )
    for starts in (first, last):
        starts.record_entry("e", 3.0)
    clock.now_s += 3.0
    assert permission(first) is UNLIMITED
    assert permission(last) is LIMITED
    clock.now_s += cold_starts.RAMP_SHARE * COLD.duration_s
    assert permission(last) is UNLIMITED


def test_endpoints_that_are_gone_are_forgotten(starts):
    starts.record_entry("e", 3.0)
    starts.record_entry("f", 3.0)
    assert starts.cold_count() == 2
    starts.keep_only(["f"])
    assert starts.cold_count() == 1
    assert list(starts.starts) == ["f"]


def test_warm_endpoints_are_limited_while_entries_are_outdated(senders, clock):
    """Guards against an instance that is cut off from the store and doesn't
    notice that an endpoint has turned cold: its requests and those of the
    senders together would be too many.
    """
    age_s = 0.0
    starts = cold_starts.ColdStarts(
        senders, cold_starts.Limits(), lambda: age_s, clock, lambda: 0.0
    )
    senders.chosen = False
    starts.record_entry("e", 0.0)
    assert permission(starts) is UNLIMITED
    age_s = cold_starts.OUTDATED_AFTER_S + 0.1
    sent = sum(starts.try_acquire(endpoint(), COLD) for _ in range(20))
    # Ten instances, half of them cut off, share 24.5 - 2 x 6 requests.
    assert sent == 2
    assert permission(starts) is DENIED
    clock.now_s += 1.0
    assert permission(starts) is LIMITED


def test_hundreds_of_instances_may_still_send_while_entries_are_outdated():
    assert cold_starts.Limits().for_outdated(13.0, 195) == 1
