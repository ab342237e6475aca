from __future__ import annotations

import pytest

from briarseam import malformed
from briarseam.eligibility import regions
from briarseam.routes import model as routes

NORTH = frozenset({"north"})
SOUTH = frozenset({"south"})


@pytest.fixture
def region_map():
    return regions.RegionMap({"a": "north", "b": "north", "c": "south"})


@pytest.mark.parametrize(
    "route, organisation, expected",
    [
        pytest.param(None, None, None, id="no restriction"),
        pytest.param(NORTH, None, NORTH, id="route only"),
        pytest.param(None, SOUTH, SOUTH, id="organisation only"),
        pytest.param(NORTH | SOUTH, SOUTH, SOUTH, id="both"),
        pytest.param(NORTH, SOUTH, frozenset(), id="none in common"),
    ],
)
def test_route_and_organisation_both_restrict(route, organisation, expected):
    assert regions.intersection(route, organisation) == expected


def test_zone_of_an_unknown_region_is_allowed_without_restriction_only(
    region_map,
):
    assert region_map.allows(None, "z")
    assert not region_map.allows(NORTH, "z")
    assert region_map.allows(NORTH, "b")
    assert not region_map.allows(SOUTH, "b")


def configuration(route_regions=None, organisation_regions=None):
    route = routes.Route(
        "draft",
        "h",
        "/",
        routes.Repeat.SAFE,
        (routes.Share("s"),),
        1.0,
        1.0,
        1,
        regions=route_regions,
    )
    organisation = routes.Organisation("x", regions=organisation_regions)
    return routes.Configuration(
        1, (route,), {}, {"key": organisation}, routes.CallerLimits()
    )


@pytest.mark.parametrize(
    "changes, owner",
    [
        ({"route_regions": frozenset({"nort"})}, "route draft"),
        ({"organisation_regions": frozenset({"nort"})}, "organisation x"),
    ],
)
def test_unknown_region_is_an_error_that_names_it(region_map, changes, owner):
    with pytest.raises(malformed.MalformedError) as caught:
        region_map.check(configuration(**changes))
    assert str(caught.value) == (
        f"{owner}: unknown region 'nort'; known are north, south"
    )


def test_known_regions_are_accepted(region_map):
    region_map.check(configuration(NORTH, SOUTH))
    regions.RegionMap({}).check(configuration(NORTH, SOUTH))
