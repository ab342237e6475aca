"""Endpoints of evacuated availability zones get no new work."""

from __future__ import annotations

import dataclasses

import pytest

from briarseam.configuration import schema
from briarseam.configuration import values
from briarseam.routing import candidates
from briarseam.routing import state
from tests.routing import conftest

EVACUATED = values.Zone(values.ZoneState.EVACUATED)
SERVING = values.Zone(values.ZoneState.SERVING)


@pytest.fixture
def view():
    def endpoint(kind, zone):
        return values.Endpoint(
            kind=kind,
            address="127.0.0.1:1",
            zone=zone,
            models=("draft",),
            services=("renewals",),
        )

    kinds = values.EndpointKind
    return schema.View(
        models={"draft": values.Model("v1")},
        endpoints={
            "engine-a": endpoint(kinds.ENGINE, "a"),
            "engine-b": endpoint(kinds.ENGINE, "b"),
            "portal-a": endpoint(kinds.SERVICE, "a"),
            "portal-b": endpoint(kinds.SERVICE, "b"),
        },
    )


@pytest.mark.parametrize(
    "zones, expected",
    [
        ({}, ("engine-a", "engine-b")),
        ({"a": SERVING}, ("engine-a", "engine-b")),
        ({"a": EVACUATED}, ("engine-b",)),
        ({"a": EVACUATED, "b": EVACUATED}, ()),
        ({"z": EVACUATED}, ("engine-a", "engine-b")),
    ],
)
def test_engines_of_an_evacuated_zone_get_no_runs(view, zones, expected):
    view = dataclasses.replace(view, zones=zones)
    found = candidates.engines_by_model(view)
    assert found.get("draft", ()) == expected


def test_services_of_an_evacuated_zone_get_no_calls(bench, view):
    chooser = bench.chooser
    current = dataclasses.replace(view, zones={"a": EVACUATED})
    chooser.parts = dataclasses.replace(chooser.parts, view=lambda: current)
    query = state.CallQuery("north", "renewals")
    for _ in range(4):
        assert chooser.choose_service(query).endpoint == "portal-b"
    current = dataclasses.replace(view, zones={"a": EVACUATED, "b": EVACUATED})
    refused = chooser.choose_service(query)
    assert isinstance(refused, state.NoChoice)
    assert refused.retry_after_s > 0


def test_waiting_prompt_is_not_sent_to_a_zone_evacuated_meanwhile(bench, view):
    chooser = bench.chooser
    current = view
    chooser.parts = dataclasses.replace(chooser.parts, view=lambda: current)
    query = conftest.prompt_query()
    assert chooser.choose_engine(query).endpoint in {"engine-a", "engine-b"}
    current = dataclasses.replace(view, zones={"b": EVACUATED})
    assert chooser.choose_engine(query).endpoint == "engine-a"
