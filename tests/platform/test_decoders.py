"""Decoding fuzzed input returns a result or raises ``MalformedError``."""

from __future__ import annotations

import json

import hypothesis
from hypothesis import strategies
import pytest

from briarseam.discovery import registry
from briarseam.feeds import records
from briarseam.platform import configuration
from briarseam.platform import decoding
from briarseam.platform import documents
from briarseam.platform import endpoints
from briarseam.platform import engines
from briarseam.platform import framing
from briarseam.routes import following
from tests import clocks
from tests.platform import damage

ENTRY = {
    "service": "portal",
    "address": "127.0.0.1:8080",
    "zone": "a",
    "version": "3.1",
    "slots": 4,
    "state": "ready",
    "coldRemainingMs": 0,
    "seq": 7,
    "models": [{"name": "m", "version": 2, "adapters": []}],
}
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "pathPrefix": "/r/",
            "kind": "stream",
            "timeoutMs": 500,
            "targetLatencyMs": 100.5,
            "priority": 1,
            "trafficSplit": [{"service": "s", "weight": 0.5}],
            "maxAttempts": 2,
            "sticky": True,
        }
    ],
    "services": [
        {
            "name": "s",
            "healthPath": "/",
            "maxConnections": 9,
            "engine": {
                "slots": 4,
                "kvCapacityTokens": 900,
                "kvTokenBytes": 8.5,
                "linkMbps": 10,
                "models": [{"name": "m"}],
            },
        },
        {
            "name": "t",
            "kvStoreAddr": "127.0.0.1:1",
            "zone": "a",
            "kvCapacityTokens": 900,
            "linkMbps": 10,
            "managed": True,
            "first_ms": 2.5,
        },
    ],
    "limits": {"maxHeaderBytes": 9, "idleTimeoutMs": 15000},
    "tenants": [{"name": "o", "apiKeys": ["k"], "priority": 1}],
}
GOAL = {"model": "m", "version": 2}
REPORT = {"models": [{"name": "m", "version": 2}], "busy": False, "seq": 3}


@pytest.mark.parametrize(
    "decode, document",
    [
        (lambda data: endpoints.decode_endpoint("a", data), ENTRY),
        (configuration.decode_configuration, CONFIGURATION),
        (configuration.decode_weight_goal, GOAL),
    ],
    ids=["endpoint", "configuration", "goal"],
)
def test_valid_documents_are_decoded(decode, document):
    assert damage.is_bounded(decode(json.dumps(document).encode()))


@damage.QUICK
@hypothesis.given(damage.damaged_documents(ENTRY))
def test_any_entry_is_decoded_or_malformed(data):
    found = damage.decode_or_none(endpoints.decode_endpoint, "a", data)
    assert damage.is_bounded(found)


@damage.QUICK
@hypothesis.given(strategies.text(max_size=300))
def test_any_entry_key_is_valid_in_a_header_or_malformed(key):
    data = json.dumps(ENTRY).encode()
    found = damage.decode_or_none(endpoints.decode_endpoint, key, data)
    assert found is None or (key.isascii() and key.isprintable())


@damage.QUICK
@hypothesis.given(damage.damaged_documents(CONFIGURATION))
def test_any_configuration_is_decoded_or_malformed(data):
    assert damage.is_bounded(
        damage.decode_or_none(configuration.decode_configuration, data)
    )


def test_isolated_organisations_without_a_key_are_decoded():
    tenants = [
        {"name": "o", "apiKeys": [], "isolated": True},
        {"name": "p", "apiKeys": ["k"], "isolated": False},
        {"name": "q", "apiKeys": ["l"], "isolated": True},
    ]
    data = json.dumps({"version": 2, "tenants": tenants}).encode()
    decoded = configuration.decode_configuration(data)
    assert decoded.isolated == {"o", "q"}


@damage.QUICK
@hypothesis.given(damage.damaged_documents(GOAL))
def test_any_goal_is_decoded_or_malformed(data):
    assert damage.is_bounded(
        damage.decode_or_none(configuration.decode_weight_goal, data)
    )


@damage.QUICK
@hypothesis.given(damage.damaged_documents(REPORT))
def test_any_report_is_decoded_or_malformed(data):
    found = damage.decode_or_none(decoding.decode, data, engines.WireReport)
    if found is not None:
        assert damage.is_bounded(
            [found.seq, *(row.version for row in found.models)]
        )


@damage.QUICK
@hypothesis.given(damage.damaged_documents(ENTRY), strategies.integers(0, 3))
def test_valid_entries_are_kept_among_malformed_ones(data, place):
    """A malformed entry stands at any position among valid entries."""
    known = registry.EndpointRegistry(
        endpoints.decode_endpoint, lambda ids: None, clocks.ManualClock()
    )
    good = json.dumps(ENTRY).encode()
    changes = [records.KeyedRecord(f"good-{i}", good) for i in range(3)]
    changes.insert(place, records.KeyedRecord("other", data or None))
    known.apply_all(changes)
    ids = {found.id for found in known.serving("portal")}
    assert ids - {"other"} == {"good-0", "good-1", "good-2"}


@damage.QUICK
@hypothesis.given(
    damage.damaged_documents(CONFIGURATION), damage.damaged_documents(GOAL)
)
def test_valid_documents_are_applied_after_malformed_ones(data, goal):
    """Malformed documents stand before newer, valid ones."""
    feed = following.OperatorFeed(
        documents.OperatorDocuments(), lambda found: None
    )
    newest = CONFIGURATION | {"version": decoding.MAX_NUMBER}
    feed.apply_changes(
        [
            records.KeyedRecord("version/m", goal or None),
            records.KeyedRecord("config", data or None),
            records.KeyedRecord("version/z", b'{"model":"z","version":4}'),
            records.KeyedRecord("config", json.dumps(newest).encode()),
        ]
    )
    assert feed.current().configuration.version == decoding.MAX_NUMBER
    assert feed.goals.newest["z"].version == 4


@pytest.mark.parametrize(
    "model",
    [
        pytest.param("", id="empty"),
        pytest.param("m" * 248, id="too long"),
        pytest.param("\N{SNOWMAN}" * 83, id="too many bytes"),
        pytest.param("m" * 10**6, id="a megabyte"),
    ],
)
def test_goal_whose_model_is_no_key_is_malformed(model):
    """Guards against goals whose times can't be stored.

    The attempt would fail before those of all other models are.
    """
    with pytest.raises(decoding.MalformedError):
        configuration.decode_weight_goal(
            json.dumps({"model": model, "version": 1}).encode()
        )


def test_goal_of_a_model_with_a_long_name_is_decoded():
    data = json.dumps({"model": "m" * 247, "version": 1}).encode()
    goal = configuration.decode_weight_goal(data)
    assert framing.encode_keyed(goal.model, b"1")
