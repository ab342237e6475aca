"""Entries that another writer left among those of endpoints."""

from __future__ import annotations

import json

import pytest

from briarseam.discovery import registry
from briarseam.feeds import records
from briarseam.platform import endpoints as decoders
from tests import clocks

GOOD = {
    "service": "portal",
    "address": "127.0.0.1:8080",
    "zone": "a",
    "slots": 4,
    "state": "ready",
}
# Deeper than any parser of this process goes.
DEPTH = 100_000


def without(field):
    return {name: value for name, value in GOOD.items() if name != field}


def encoded(**changes):
    return json.dumps(GOOD | changes).encode()


BAD = {
    "no JSON": b"ready",
    "no object": b"[]",
    "cut short": encoded()[:-5],
    "no UTF-8": encoded().replace(b"portal", b"\xff\xfe"),
    "nested deeply": b'{"x":' + b"[" * DEPTH + b"]" * DEPTH + b"}",
    **{f"no {field}": json.dumps(without(field)).encode() for field in GOOD},
    **{f"{field} a list": encoded(**{field: [1]}) for field in GOOD},
    **{f"{field} null": encoded(**{field: None}) for field in GOOD},
    "service of a megabyte": encoded(service="x" * 10**6),
    "seq a text": encoded(seq="7"),
    "time to go a text": encoded(coldRemainingMs="soon"),
    "unknown state": encoded(state="paused"),
    "state in capitals": encoded(state="READY"),
    "address without a port": encoded(address="127.0.0.1"),
    "address of no machine": encoded(address="nowhere:80"),
    "port too large": encoded(address="127.0.0.1:70000"),
    "slots a bool": encoded(slots=True),
    "slots below zero": encoded(slots=-1),
    "slots beyond 64 bits": encoded(slots=10**40),
    "slots not a number": encoded().replace(b" 4,", b" NaN,"),
    "models no rows": encoded(models={"m": 1}),
    "version of a model below zero": encoded(
        models=[{"name": "m", "version": -1}]
    ),
    "version of a model beyond 64 bits": encoded(
        models=[{"name": "m", "version": 10**30}]
    ),
}


@pytest.fixture
def gone():
    return []


@pytest.fixture
def endpoints(gone):
    return registry.EndpointRegistry(
        decoders.decode_endpoint, gone.append, clocks.ManualClock()
    )


def change(key, value=None):
    return records.KeyedRecord(key, encoded() if value is None else value)


def ids(endpoints):
    return sorted(item.id for item in endpoints.serving("portal"))


@pytest.mark.parametrize("value", BAD.values(), ids=BAD)
def test_entry_that_cannot_be_read_names_no_endpoint_and_the_others_hold(
    endpoints, value
):
    """Another writer leaves an entry with a field missing.

    Entries behind it in the same read were never taken in: their endpoints
    got no requests, and those that were leaving got new ones.
    """
    endpoints.apply_all([change("a"), change("bad", value), change("b")])
    assert ids(endpoints) == ["a", "b"]
    endpoints.apply_changes(
        [change("worse", value), change("a", encoded(state="draining"))]
    )
    assert ids(endpoints) == ["b"]


@pytest.mark.parametrize("take", ["apply_all", "apply_changes"])
def test_entry_that_is_overwritten_by_a_bad_one_names_no_endpoint(
    endpoints, gone, take
):
    """Another writer overwrites the entry of an endpoint.

    The endpoint stayed known as it was, so it got requests for as long as
    the bad entry stood.
    """
    endpoints.apply_all([change("a"), change("b")])
    getattr(endpoints, take)([change("a", b"{}"), change("b")])
    assert ids(endpoints) == ["b"]
    assert gone == [frozenset({"a"})]


def test_bad_entry_is_not_held_like_one_that_lapsed_in_an_outage(
    endpoints, gone
):
    """The store was away, and another writer overwrites an entry just then.

    Entries that lapse in an outage are held for seconds, since their
    endpoints write them again.  This one did not lapse: it says nothing.
    """
    endpoints.apply_all([change("a")])
    endpoints.store_lost()
    endpoints.apply_changes([change("a", b"{}")])
    assert ids(endpoints) == []
    assert gone == [frozenset({"a"})]


def test_bad_entry_ends_the_hold_of_one_that_lapsed(endpoints, gone):
    """An entry lapses in an outage, and a bad one comes back in its place."""
    endpoints.apply_all([change("a")])
    endpoints.store_lost()
    endpoints.apply_changes([records.KeyedRecord("a", None)])
    assert ids(endpoints) == ["a"]
    endpoints.apply_changes([change("a", b"{}")])
    assert ids(endpoints) == []
    assert gone == [frozenset({"a"})]


def test_endpoint_is_known_again_by_its_next_good_entry(endpoints):
    endpoints.apply_all([change("a")])
    endpoints.apply_changes([change("a", b"{}"), change("a")])
    assert ids(endpoints) == ["a"]


def test_field_that_is_not_known_does_no_harm(endpoints):
    endpoints.apply_all([change("a", encoded(flavour={"of": ["pear"]}))])
    assert ids(endpoints) == ["a"]


def test_entry_of_a_service_that_nobody_asks_for_is_never_given(endpoints):
    endpoints.apply_all([change("a"), change("b", encoded(service="other"))])
    assert ids(endpoints) == ["a"]
    assert [item.id for item in endpoints.serving("other")] == ["b"]


@pytest.mark.parametrize(
    "key",
    [
        pytest.param("", id="empty"),
        pytest.param("a\r\nTenant: north", id="line breaks"),
        pytest.param("størrelse-中", id="beyond ASCII"),
    ],
)
def test_key_that_cannot_stand_in_a_header_names_no_endpoint(endpoints, key):
    """Another writer leaves a whole entry under a key with a line break.

    Requests name the endpoint they are meant for in a header, so each that
    was sent there ended as an error of ours.
    """
    endpoints.apply_all([change(key), change("a")])
    assert ids(endpoints) == ["a"]


def test_spaces_around_an_address_do_not_make_it_another(endpoints):
    endpoints.apply_all([change("a", encoded(address=" 127.0.0.1:8080 "))])
    assert [item.address for item in endpoints.all()] == [GOOD["address"]]
