from __future__ import annotations

import pytest

from briarseam.configuration import values
from briarseam.endpoints import engine_orders
from briarseam.orders import goals
from briarseam.orders import offers
from briarseam.orders import state


def report(version: str | None, *adapters: str) -> state.Report:
    loaded = engine_orders.ModelState(version, adapters=adapters)
    return state.Report(
        engine_orders.EngineState("boot", {"draft": loaded}), 1.0
    )


def offered(desired: values.Model, former=None, **reports):
    targets = [
        goals.Target(name, "127.0.0.1:1", "z", ("draft",))
        for name in (*reports, "silent")
    ]
    return offers.offers_of("draft", desired, targets, reports, former)


def test_other_versions_are_offered_until_the_floor_is_reached():
    desired = values.Model("v2", floor=2)
    found = offered(desired, a=report("v2"), b=report("v1"))
    assert found == {"a": state.Offer("v2", ""), "b": state.Offer("v1", "")}


def test_only_desired_version_is_offered_once_the_floor_reports_it():
    desired = values.Model("v2", floor=2)
    found = offered(desired, a=report("v2"), b=report("v1"), c=report("v2"))
    assert set(found) == {"a", "c"}


def test_engine_without_weights_offers_nothing():
    assert offered(values.Model("v2"), a=report(None)) == {}


@pytest.mark.parametrize(
    ("former", "expected"),
    [("x", {"a": "y", "b": "x"}), (None, {"a": "y"})],
    ids=["known", "unknown"],
)
def test_former_adapter_is_offered_until_the_new_one_is_loaded(
    former, expected
):
    found = offered(
        values.Model("v1", "y", floor=2),
        former,
        a=report("v1", "x", "y"),
        b=report("v1", "x"),
    )
    assert {name: offer.adapter for name, offer in found.items()} == expected
