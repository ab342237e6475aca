from __future__ import annotations

import pytest

from briarseam.configuration import values
from briarseam.endpoints import engine_orders
from briarseam.orders import goals
from briarseam.orders import offers
from briarseam.orders import state


def reading(version: str | None, *adapters: str) -> state.Reading:
    loaded = engine_orders.ModelState(version, adapters=adapters)
    return state.Reading(
        engine_orders.EngineState("boot", {"draft": loaded}), 1.0
    )


def offered(wanted: values.Model, former=None, **readings):
    targets = [
        goals.Target(name, "127.0.0.1:1", "z", ("draft",))
        for name in (*readings, "silent")
    ]
    return offers.offers_of("draft", wanted, targets, readings, former)


def test_others_serve_on_until_the_floor_is_reached():
    wanted = values.Model("v2", floor=2)
    found = offered(wanted, a=reading("v2"), b=reading("v1"))
    assert found == {"a": state.Offer("v2", ""), "b": state.Offer("v1", "")}


def test_only_the_wanted_version_once_the_floor_reports_it():
    wanted = values.Model("v2", floor=2)
    found = offered(wanted, a=reading("v2"), b=reading("v1"), c=reading("v2"))
    assert set(found) == {"a", "c"}


def test_engine_without_weights_offers_nothing():
    assert offered(values.Model("v2"), a=reading(None)) == {}


@pytest.mark.parametrize(
    ("former", "expected"),
    [("x", {"a": "y", "b": "x"}), (None, {"a": "y"})],
    ids=["known", "unknown"],
)
def test_former_adapter_serves_until_the_new_one_is_there(former, expected):
    found = offered(
        values.Model("v1", "y", floor=2),
        former,
        a=reading("v1", "x", "y"),
        b=reading("v1", "x"),
    )
    assert {name: offer.adapter for name, offer in found.items()} == expected
