from __future__ import annotations

import collections

import pytest

from briarseam.routes import model
from briarseam.routes import table


def route(name, prefix, host="kitchens.example", **changes):
    values = {
        "name": name,
        "host": host,
        "prefix": prefix,
        "repeat": model.Repeat.SAFE,
        "shares": (model.Share("portal"),),
        "timeout_s": 1.0,
        "target_latency_s": 0.1,
        "max_endpoints": 1,
    }
    return model.Route(**(values | changes))


def configuration(*routes, organisations=None):
    return model.Configuration(
        1, routes, {}, organisations, model.CallerLimits()
    )


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        pytest.param("/a/", "short", id="the-prefix-itself"),
        pytest.param("/a/x", "short", id="below"),
        pytest.param("/a/b/x/y", "long", id="longest-prefix"),
        pytest.param("/a/bc", "short", id="partial-segment"),
        pytest.param("/b/", None, id="other-path"),
        pytest.param("/a", None, id="without-slash"),
        pytest.param("", None, id="empty"),
    ],
)
def test_route_with_the_longest_prefix_is_found(path, expected):
    routes = table.RouteTable(
        configuration(route("short", "/a/"), route("long", "/a/b/"))
    )
    chosen = routes.find("kitchens.example", path)
    assert (chosen.name if chosen else None) == expected


@pytest.mark.parametrize("host", ["Kitchens.Example", "kitchens.example:8080"])
def test_host_matches_without_case_and_port(host):
    routes = table.RouteTable(configuration(route("only", "/")))
    assert routes.find(host, "/x").name == "only"


def test_route_of_another_host_is_not_found():
    routes = table.RouteTable(configuration(route("only", "/")))
    assert routes.find("boats.example", "/x") is None


def test_callers_are_identified_by_key():
    north = model.Organisation("north")
    routes = table.RouteTable(
        configuration(
            route("closed", "/closed/"),
            route("open", "/open/", anonymous=True),
            organisations={"key": north},
        )
    )
    closed = routes.find("kitchens.example", "/closed/")
    anonymous = routes.find("kitchens.example", "/open/")
    assert routes.identify(closed, "key") == table.KnownCaller(north)
    assert routes.identify(closed, "other") == table.UnknownCaller()
    assert routes.identify(closed, "") == table.UnknownCaller()
    assert routes.identify(anonymous, "") == table.AnonymousCaller()
    assert routes.identify(anonymous, "key") == table.KnownCaller(north)


def test_callers_need_no_key_when_no_organisations_are_configured():
    only = route("only", "/")
    assert table.RouteTable(configuration(only)).identify(only, "") == (
        table.AnonymousCaller()
    )


def test_requests_follow_the_weights_and_a_session_keeps_its_service():
    split = route(
        "split",
        "/",
        shares=(model.Share("old", 90), model.Share("new", 10)),
    )
    chosen = collections.Counter(
        table.select_service(split, f"session-{number}")
        for number in range(2000)
    )
    assert 0.05 < chosen["new"] / 2000 < 0.15
    assert (
        len({table.select_service(split, "session") for _ in range(20)}) == 1
    )


def test_share_of_weight_zero_gets_no_requests():
    split = route(
        "split", "/", shares=(model.Share("a", 0), model.Share("b", 1))
    )
    assert {table.select_service(split, str(n)) for n in range(50)} == {"b"}


def test_regions_are_those_of_the_configuration_in_force():
    kept = route("kept", "/kept/", timeout_s=9.0)
    gone = route("gone", "/gone/", regions=frozenset({"north"}))
    now = route("kept", "/kept/", regions=frozenset({"south"}))
    routes = table.RouteTable(configuration(now))
    assert routes.with_regions(kept).regions == {"south"}
    assert routes.with_regions(kept).timeout_s == 9.0
    assert routes.with_regions(gone) == gone


def test_organisation_is_that_of_the_configuration_in_force():
    before = model.Organisation("north", priority=1)
    now = model.Organisation("north", priority=2)
    other = model.Organisation("south")
    routes = table.RouteTable(
        configuration(organisations={"key": now, "moved": other})
    )
    assert routes.newest(before, "key") == now
    assert routes.newest(before, "revoked") == before
    assert routes.newest(before, "moved") == before
    without_keys = table.RouteTable(configuration())
    assert without_keys.newest(before, "key") == before
