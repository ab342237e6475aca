from __future__ import annotations

import collections
import dataclasses

import pytest

from briarseam.testing import instance_list
from tests.testing import calls

ROW = {"role": "engine", "address": "127.0.0.1:1", "zone": "cph-hall-a"}


LAG_MS = 600_000


def age(listing):
    """Let as much time pass for the list as it lags."""
    listing.snapshots = collections.deque(
        dataclasses.replace(snapshot, since=snapshot.since - LAG_MS / 1000)
        for snapshot in listing.snapshots
    )


@pytest.fixture
def listing(running):
    return running(instance_list.InstanceList())


def shown(listing):
    rows = calls.call("GET", listing.address, "/instances").json()
    return [(row["name"], row["state"]) for row in rows["instances"]]


def put(listing, name, **more):
    path = f"/instances/{name}"
    return calls.call("PUT", listing.address, path, ROW | more)


def test_shows_what_is_registered_in_name_order(listing):
    put(listing, "b")
    put(listing, "a")
    put(listing, "b", state="leaving")
    assert shown(listing) == [("a", "live"), ("b", "leaving")]
    calls.call("DELETE", listing.address, "/instances/a")
    assert calls.call("DELETE", listing.address, "/instances/a").status == 204
    assert shown(listing) == [("b", "leaving")]


def test_changes_show_late(listing):
    """An instance leaves, and the list still shows it as live."""
    listing.set(lag_ms=LAG_MS)
    put(listing, "a")
    assert shown(listing) == []
    age(listing)
    assert shown(listing) == [("a", "live")]
    put(listing, "a", state="leaving")
    assert shown(listing) == [("a", "live")]
    age(listing)
    assert shown(listing) == [("a", "leaving")]


@pytest.mark.parametrize(
    "wrong",
    [{"role": "x"}, {"state": "x"}, {"address": "host:1"}, {"zone": None}],
    ids=["role", "state", "address", "zone"],
)
def test_bad_row_answers_400(listing, wrong):
    assert put(listing, "a", **wrong).status == 400
    assert shown(listing) == []
