from __future__ import annotations

import pytest

from briarseam.lookup import zonal
from briarseam.membership import state

ALIVE = state.MemberState.ALIVE
ZONES = {"a1": "a", "a2": "a", "b1": "b", "c1": "c"}


def member(name, how=ALIVE):
    return state.Member(name, "region", "region/0", "", (f"{name}:1",), how)


def addresses(zone, *members):
    found = zonal.ZonalLookup(lambda: members, lambda name: ZONES[name])
    return found.addresses(zone)


def test_callers_get_all_instances_of_their_zone():
    found = addresses("a", member("a1"), member("a2"), member("b1"))
    assert found == ["a1:1", "a2:1"]


def test_callers_of_a_zone_with_too_few_get_others_too():
    found = addresses("b", member("a1"), member("a2"), member("b1"))
    assert found == ["b1:1", "a1:1", "a2:1"]


@pytest.mark.parametrize(
    "how", [how for how in state.MemberState if how is not ALIVE]
)
def test_only_live_instances_are_named(how):
    found = addresses("a", member("a1", how), member("a2"), member("c1"))
    assert found == ["a2:1", "c1:1"]
