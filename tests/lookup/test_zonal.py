from __future__ import annotations

import pytest

from briarseam.lookup import zonal
from briarseam.membership import state

ALIVE = state.MemberState.ALIVE
ZONES = {"a1": "a", "a2": "a", "b1": "b", "c1": "c"}


def member(name, member_state=ALIVE):
    return state.Member(
        name, "region", "region/0", "", (f"{name}:1",), member_state
    )


def addresses(zone, *members):
    lookup = zonal.ZonalLookup(lambda: members, lambda name: ZONES[name])
    return lookup.addresses(zone, "10.9.0.1")


def test_callers_get_all_instances_of_their_zone():
    found = addresses("a", member("a1"), member("a2"), member("b1"))
    assert found == ["a1:1", "a2:1"]


def test_callers_of_a_zone_with_too_few_get_instances_of_other_zones():
    found = addresses("b", member("a1"), member("a2"), member("b1"))
    assert found == ["b1:1", "a1:1", "a2:1"]


@pytest.mark.parametrize(
    "member_state",
    [
        member_state
        for member_state in state.MemberState
        if member_state is not ALIVE
    ],
)
def test_only_live_instances_are_returned(member_state):
    found = addresses(
        "a", member("a1", member_state), member("a2"), member("c1")
    )
    assert found == ["a2:1", "c1:1"]


def large_zone(weight_of=lambda name: 1.0):
    members = [member(f"a{number}") for number in range(40)]
    return zonal.ZonalLookup(lambda: members, lambda name: "a", weight_of)


def test_caller_of_a_large_zone_gets_the_same_subset_each_time():
    lookup = large_zone()
    found = lookup.addresses("a", "10.9.0.1")
    assert len(set(found)) == zonal.MAX_ADDRESSES
    assert lookup.addresses("a", "10.9.0.1") == found
    assert lookup.addresses("a", "10.9.0.2") != found


def test_stronger_instances_are_returned_to_more_callers():
    """If instances with half a core get as many callers as those with two
    cores, they answer late while the others idle.
    """
    lookup = large_zone(lambda name: 8.0 if name in ("a0", "a1") else 1.0)
    callers = [f"10.9.0.{number}" for number in range(200)]
    answers = [lookup.addresses("a", caller) for caller in callers]
    strong = sum("a0:1" in answer for answer in answers)
    weak = sum("a9:1" in answer for answer in answers)
    assert strong > 2.5 * weak > 0


def regional_lookup(*members):
    return zonal.ZonalLookup(
        lambda: members,
        lambda name: ZONES[name],
        region_of={"a": "north", "b": "north", "c": "south"}.get,
    )


def test_callers_get_instances_of_their_own_region():
    """Guards against requests that must not leave a region being sent to an
    instance elsewhere because the caller's zone has only one.
    """
    lookup = regional_lookup(member("a1"), member("b1"), member("c1"))
    assert lookup.addresses("b", "x", "north") == ["b1:1", "a1:1"]
    assert lookup.addresses("c", "x", "south") == ["c1:1"]


def test_callers_of_a_region_without_instances_get_others():
    lookup = regional_lookup(member("a1"), member("b1"))
    assert lookup.addresses("c", "x", "south") == ["a1:1", "b1:1"]


def with_lost_paths(*names):
    """Return the addresses for a caller of zone a while some are cut off."""
    members = [member(name) for name in ZONES]
    lookup = zonal.ZonalLookup(
        lambda: members,
        lambda name: ZONES[name],
        has_paths=lambda name: name not in names,
    )
    return lookup.addresses("a", "10.9.0.1")


def test_callers_are_directed_to_instances_with_a_path_to_endpoints():
    assert with_lost_paths("a1") == ["a2:1", "b1:1", "c1:1"]
    assert with_lost_paths("a1", "a2") == ["b1:1", "c1:1"]


def test_the_last_instances_with_a_path_do_not_get_all_callers():
    """Guards against a crowd while most instances are cut off."""
    assert with_lost_paths("a1", "a2", "b1") == ["a1:1", "a2:1"]
    assert with_lost_paths(*ZONES) == ["a1:1", "a2:1"]
