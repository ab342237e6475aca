"""Requests of an instance on loopback while zones are evacuated."""

from __future__ import annotations

import json
import threading

import pytest
import urllib3.exceptions

from briarseam import clocks
from briarseam.eligibility import send_window
from briarseam.testing import waiting
from tests.platform import system as systems

TIMEOUT_S = 10
REQUESTS = 12


def evacuate(system, *zones):
    """Evacuate zones; return once that is in force."""
    for zone in zones:
        system.evacuate(zone)
    waiting.until(lambda: evacuated(system) == set(zones), TIMEOUT_S)


def evacuated(system):
    return system.node.eligibility.evacuations.zones


def arrivals(system, letter):
    """Return the number of requests that reached a zone's endpoints."""
    return sum(
        len(system.workers[f"{kind}-{letter}"].arrived)
        for kind in ("plain", "engine")
    )


def send_requests(system):
    """Send requests to all services; return their statuses."""
    statuses = set()
    for number in range(REQUESTS):
        statuses.add(system.call(f"/status/{number}", "GET").status)
        answer = system.stream("/draft/x", Prefix_Hash=f"a{number}:1000")
        statuses.add(answer.status)
    return statuses


def test_evacuated_zone_gets_no_requests(zones):
    evacuate(zones, "hall-a")
    assert send_requests(zones) == {200}
    assert arrivals(zones, "a") == 0
    assert arrivals(zones, "b") > 0
    assert arrivals(zones, "c") > 0


def test_zone_gets_requests_again_after_its_evacuation(zones):
    evacuate(zones, "hall-a")
    zones.end_evacuation("hall-a")
    waiting.until(lambda: not evacuated(zones), TIMEOUT_S)
    assert send_requests(zones) == {200}
    assert arrivals(zones, "a") > 0


def test_retry_does_not_go_to_an_evacuated_zone(zones):
    """Guards against a retry that is sent to the only endpoint that the
    request has not tried yet, in an evacuated zone.
    """
    evacuate(zones, "hall-a", "hall-b")
    zones.workers["plain-c"].set(reject=1)
    assert zones.call("/status/x", "GET").status == 503
    assert arrivals(zones, "a") == arrivals(zones, "b") == 0


def test_broken_stream_is_not_resumed_in_an_evacuated_zone(zones):
    evacuate(zones, "hall-a", "hall-b")
    zones.workers["engine-c"].set(break_streams=1)
    with pytest.raises(urllib3.exceptions.ProtocolError):
        zones.stream("/draft/x")
    assert zones.workers["engine-c"].broke
    assert arrivals(zones, "a") == arrivals(zones, "b") == 0


def test_stream_that_runs_in_an_evacuated_zone_is_finished(zones):
    evacuate(zones, "hall-b", "hall-c")
    engine = zones.workers["engine-a"]
    engine.set(hold=True)
    found = []
    caller = threading.Thread(
        target=lambda: found.append(zones.stream("/draft/x").status)
    )
    caller.start()
    waiting.until(lambda: engine.ran, TIMEOUT_S)
    zones.end_evacuation("hall-b")
    evacuate(zones, "hall-a", "hall-c")
    engine.set(hold=False)
    caller.join(TIMEOUT_S)
    assert found == [200]


def test_requests_are_refused_at_once_if_all_zones_are_evacuated(zones):
    evacuate(zones, "hall-a", "hall-b", "hall-c")
    answer = zones.call("/submit/x")
    assert answer.status == 503
    told = json.loads(answer.data)
    assert told["ran"] == "no"
    assert told["detail"] == (
        "evacuated availability zones: hall-a, hall-b, hall-c"
    )
    assert float(answer.headers["Retry-After"]) > 0


def test_unknown_zone_changes_nothing(zones):
    evacuate(zones, "hall-z")
    assert send_requests(zones) == {200}


def test_evacuation_survives_the_loss_of_the_stores_history(zones):
    evacuate(zones, "hall-a")
    zones.store.forget("keyed.op")
    zones.configure(version=2)
    waiting.until(
        lambda: zones.node.feeds.configuration_version() == 2, TIMEOUT_S
    )
    assert evacuated(zones) == {"hall-a"}


def test_evacuation_survives_a_restore_of_the_store(zones):
    """Guards against requests to an evacuated zone after the store was
    restored from a copy that is older than the evacuation.
    """
    old = zones.store.copy()
    evacuate(zones, "hall-a")
    era = zones.node.store.era
    zones.store.restore(old)
    waiting.until(lambda: zones.node.store.era > era, TIMEOUT_S)
    zones.evacuate("hall-a")
    assert send_requests(zones) == {200}
    assert arrivals(zones, "a") == 0


def test_started_instance_knows_an_earlier_evacuation(cold_system):
    cold_system.add_worker("plain-a", "portal", zone="hall-a")
    cold_system.evacuate("hall-a")
    cold_system.configure()
    cold_system.start()
    assert cold_system.call("/status/x", "GET").status == 503
    assert not cold_system.workers["plain-a"].arrived


COLD_PORTAL = {
    "name": "portal",
    "healthPath": "/healthz",
    "coldStartS": 30.0,
    "coldPerS": 8.0,
}


def configure_cold_portal(system):
    services = systems.configuration()["services"]
    system.configure(version=2, services=[COLD_PORTAL, *services[1:]])
    waiting.until(
        lambda: system.node.feeds.configuration_version() == 2, TIMEOUT_S
    )


def write_portal_entries(system, **remaining_ms):
    for letter, value in remaining_ms.items():
        system.write_entry(
            f"plain-{letter}",
            "portal",
            zone=f"hall-{letter}",
            coldRemainingMs=value,
        )
    cold = sum(value > 0 for value in remaining_ms.values())
    waiting.until(
        lambda: system.node.eligibility.starts.cold_count() == cold, TIMEOUT_S
    )


def test_cold_endpoint_is_not_used_while_another_is_warm(zones):
    write_portal_entries(zones, a=20_000, b=0, c=20_000)
    configure_cold_portal(zones)
    for _ in range(REQUESTS):
        assert zones.call("/status/x", "GET").status == 200
    assert len(zones.workers["plain-b"].arrived) == REQUESTS


def test_cold_endpoints_get_limited_requests_and_the_rest_are_refused(zones):
    """Guards against endpoints that crash again while they warm up."""
    write_portal_entries(zones, a=20_000, b=20_000, c=20_000)
    configure_cold_portal(zones)
    registered = zones.node.feeds.registrations
    waiting.until(lambda: "one" in registered.by_name, TIMEOUT_S)
    # A process sends to no cold endpoint in its first second.
    started_s = zones.node.eligibility.starts.started_s
    waiting.until(
        lambda: clocks.boot_clock() > started_s + send_window.WINDOW_S,
        TIMEOUT_S,
    )
    statuses = [
        zones.call("/status/x", "GET").status for _ in range(REQUESTS + 10)
    ]
    assert statuses.count(200) <= 3 * COLD_PORTAL["coldPerS"]
    assert 200 in statuses
    for letter in "abc":
        assert len(zones.workers[f"plain-{letter}"].arrived) <= 8
