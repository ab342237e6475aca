"""Entries that another writer adds to the topic of endpoints."""

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
# Deeper than any parser of this process supports.
DEPTH = 100_000


def without(field):
    return {name: value for name, value in GOOD.items() if name != field}


def encoded(**changes):
    return json.dumps(GOOD | changes).encode()


BAD = {
    "not JSON": b"ready",
    "not an object": b"[]",
    "truncated": encoded()[:-5],
    "not UTF-8": encoded().replace(b"portal", b"\xff\xfe"),
    "deeply nested": b'{"x":' + b"[" * DEPTH + b"]" * DEPTH + b"}",
    **{
        f"without {field}": json.dumps(without(field)).encode()
        for field in GOOD
    },
    **{f"{field} is a list": encoded(**{field: [1]}) for field in GOOD},
    **{f"{field} is null": encoded(**{field: None}) for field in GOOD},
    "service of a megabyte": encoded(service="x" * 10**6),
    "seq is a string": encoded(seq="7"),
    "coldRemainingMs is a string": encoded(coldRemainingMs="soon"),
    "unknown state": encoded(state="paused"),
    "state in upper case": encoded(state="READY"),
    "address without a port": encoded(address="127.0.0.1"),
    "address without an IP address": encoded(address="nowhere:80"),
    "port too large": encoded(address="127.0.0.1:70000"),
    "slots is a bool": encoded(slots=True),
    "negative slots": encoded(slots=-1),
    "slots beyond 64 bits": encoded(slots=10**40),
    "slots not a number": encoded().replace(b" 4,", b" NaN,"),
    "models is not a list": encoded(models={"m": 1}),
    "negative model version": encoded(models=[{"name": "m", "version": -1}]),
    "model version beyond 64 bits": encoded(
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
def test_malformed_entry_is_ignored_and_others_are_applied(endpoints, value):
    """Guards against a malformed entry that hides those after it.

    Endpoints whose entries follow it in the same read would get no
    requests, and those that are leaving would get new ones.
    """
    endpoints.apply_all([change("a"), change("bad", value), change("b")])
    assert ids(endpoints) == ["a", "b"]
    endpoints.apply_changes(
        [change("worse", value), change("a", encoded(state="draining"))]
    )
    assert ids(endpoints) == ["b"]


@pytest.mark.parametrize("apply", ["apply_all", "apply_changes"])
def test_endpoint_whose_entry_becomes_malformed_is_gone(
    endpoints, gone, apply
):
    """Guards against requests to an endpoint with a malformed entry.

    If the endpoint kept its former state, it would get requests for as
    long as the malformed entry stays in the store.
    """
    endpoints.apply_all([change("a"), change("b")])
    getattr(endpoints, apply)([change("a", b"{}"), change("b")])
    assert ids(endpoints) == ["b"]
    assert gone == [frozenset({"a"})]


def test_endpoint_with_malformed_entry_is_not_held_after_an_outage(
    endpoints, gone
):
    """Another writer overwrites an entry during an outage of the store.

    Endpoints whose entries lapse in an outage are held for seconds, since
    they write them again.  A malformed entry did not lapse.
    """
    endpoints.apply_all([change("a")])
    endpoints.store_lost()
    endpoints.apply_changes([change("a", b"{}")])
    assert ids(endpoints) == []
    assert gone == [frozenset({"a"})]


def test_malformed_entry_removes_a_lapsed_endpoint(endpoints, gone):
    """An entry lapses in an outage and is replaced by a malformed one."""
    endpoints.apply_all([change("a")])
    endpoints.store_lost()
    endpoints.apply_changes([records.KeyedRecord("a", None)])
    assert ids(endpoints) == ["a"]
    endpoints.apply_changes([change("a", b"{}")])
    assert ids(endpoints) == []
    assert gone == [frozenset({"a"})]


def test_endpoint_returns_with_its_next_valid_entry(endpoints):
    endpoints.apply_all([change("a")])
    endpoints.apply_changes([change("a", b"{}"), change("a")])
    assert ids(endpoints) == ["a"]


def test_unknown_field_is_ignored(endpoints):
    endpoints.apply_all([change("a", encoded(flavour={"of": ["pear"]}))])
    assert ids(endpoints) == ["a"]


def test_endpoint_of_another_service_is_not_returned(endpoints):
    endpoints.apply_all([change("a"), change("b", encoded(service="other"))])
    assert ids(endpoints) == ["a"]
    assert [item.id for item in endpoints.serving("other")] == ["b"]


@pytest.mark.parametrize(
    "key",
    [
        pytest.param("", id="empty"),
        pytest.param("a\r\nTenant: north", id="line breaks"),
        pytest.param("størrelse-中", id="not ASCII"),
    ],
)
def test_entry_whose_key_is_invalid_in_a_header_is_ignored(endpoints, key):
    """Guards against endpoint ids that can't be sent in a header.

    Requests name their endpoint in a header, so each request to an endpoint
    with a line break in its id would fail with an internal error.
    """
    endpoints.apply_all([change(key), change("a")])
    assert ids(endpoints) == ["a"]


def test_spaces_around_an_address_are_ignored(endpoints):
    endpoints.apply_all([change("a", encoded(address=" 127.0.0.1:8080 "))])
    assert [item.address for item in endpoints.all()] == [GOOD["address"]]


@pytest.mark.parametrize("odd", [2**53, 10**16 // 2])
def test_start_far_in_the_future_does_not_hide_later_entries(endpoints, odd):
    """Guards against an endpoint that is out for ever after one odd entry.

    Its sound entries would all count as those of an earlier start.
    """
    sound = 1_700_000_000_000
    endpoints.apply_changes([change("a", encoded(born=odd))])
    endpoints.apply_changes(
        [change("a", encoded(born=sound, address="127.0.0.1:9"))]
    )
    (found,) = endpoints.serving("portal")
    assert found.start.born_ms == sound
    assert found.address == "127.0.0.1:9"
    endpoints.apply_changes(
        [change("a", encoded(born=sound, state="draining"))]
    )
    assert not endpoints.serving("portal")


@pytest.mark.parametrize("seq", [2**53, 10**300, -1, 0])
def test_sequence_number_of_an_entry_hides_no_later_one(endpoints, seq):
    """Guards against one huge number that outdates all later entries."""
    endpoints.apply_changes([change("a", encoded(seq=seq))])
    endpoints.apply_changes([change("a", encoded(seq=1, state="draining"))])
    assert not endpoints.serving("portal")
    endpoints.apply_changes([change("a", encoded(seq=2))])
    assert ids(endpoints) == ["a"]
