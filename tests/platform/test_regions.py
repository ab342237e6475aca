"""Requests that must not leave some regions, of an instance on loopback."""

from __future__ import annotations

import json

import pytest

from briarseam.testing import http_messages
from briarseam.testing import waiting
from tests.platform import system as systems

TIMEOUT_S = 10
REQUESTS = 12


def configure(system, route_regions=(), organisation_regions=(), version=2):
    """Restrict all routes and the organisation to regions."""
    system.configure(
        version=version,
        routes=[
            {**route, "allowedRegions": list(route_regions)}
            for route in systems.ROUTES
        ],
        tenants=[
            {
                "name": "north",
                "apiKeys": [systems.KEY],
                "allowedRegions": list(organisation_regions),
            }
        ],
    )


def wait_for_version(system, version=2):
    waiting.until(
        lambda: system.node.feeds.configuration_version() == version,
        TIMEOUT_S,
    )


def send_requests(system):
    for number in range(REQUESTS):
        assert system.call(f"/status/{number}", "GET").status == 200
        answer = system.stream("/draft/x", Prefix_Hash=f"a{number}:1000")
        assert answer.status == 200


def reached(system):
    """Return the zones whose endpoints requests have reached."""
    return {
        name[-1] for name, worker in system.workers.items() if worker.arrived
    }


@pytest.mark.parametrize(
    "route_regions, organisation_regions, expected",
    [
        pytest.param((), (), "abc", id="no restriction"),
        pytest.param(("north",), (), "ab", id="route"),
        pytest.param((), ("south",), "c", id="organisation"),
        pytest.param(("north", "south"), ("south",), "c", id="both"),
    ],
)
def test_requests_reach_endpoints_of_allowed_regions_only(
    zones, route_regions, organisation_regions, expected
):
    configure(zones, route_regions, organisation_regions)
    wait_for_version(zones)
    send_requests(zones)
    assert reached(zones) == set(expected)


@pytest.mark.parametrize(
    "before, after",
    [
        pytest.param((("north",), ()), (("south",), ()), id="route"),
        pytest.param(((), ("north",)), ((), ("south",)), id="organisation"),
    ],
)
def test_repeated_request_keeps_to_the_regions_of_the_last_change(
    zones, monkeypatch, before, after
):
    """Guards against the regions that were allowed at the arrival."""
    configure(zones, *before)
    wait_for_version(zones)

    def change_and_drop(request, call, echo):
        monkeypatch.undo()
        configure(zones, *after, version=3)
        wait_for_version(zones, 3)
        raise http_messages.Dropped

    for worker in zones.workers.values():
        monkeypatch.setattr(worker, "run", change_and_drop)
    assert zones.call("/status/x", "GET").status == 200
    assert zones.workers["plain-c"].arrived
    assert len(reached(zones)) == 2


def test_request_is_refused_while_its_region_has_no_endpoint(zones):
    """Guards against a request that leaves its regions because all of their
    endpoints are lost.
    """
    configure(zones, ("south",))
    wait_for_version(zones)
    for kind in ("plain", "engine"):
        zones.store.write("keyed.servers", f"{kind}-c", None)
    waiting.until(lambda: len(zones.node.feeds.registry.all()) == 4, TIMEOUT_S)
    answer = zones.call("/submit/x")
    assert answer.status == 503
    told = json.loads(answer.data)
    assert told["ran"] == "no"
    assert told["detail"] == "no endpoint in the allowed regions: south"
    assert reached(zones) == set()


@pytest.mark.parametrize("name", ["nort", ""])
def test_configuration_with_an_unknown_region_is_not_applied(zones, name):
    """Guards against a misspelled region, which would stop all requests."""
    configure(zones, ("south",), version=2)
    wait_for_version(zones, 2)
    configure(zones, (name,), version=3)
    # Read after the configuration, in the same order as it was written.
    zones.evacuate("hall-z")
    waiting.until(
        lambda: "hall-z" in zones.node.eligibility.evacuations.zones, TIMEOUT_S
    )
    assert zones.node.feeds.configuration_version() == 2
    assert zones.call("/status/x", "GET").status == 200
    assert reached(zones) == {"c"}
