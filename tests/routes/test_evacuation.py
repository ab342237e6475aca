from __future__ import annotations

import json

import pytest

from briarseam.feeds import records
from briarseam.platform import documents
from briarseam.routes import evacuation
from briarseam.routes import following
from tests import clocks


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def released():
    return []


@pytest.fixture
def evacuations(released, clock):
    return evacuation.Evacuations(released.append, clock)


@pytest.fixture
def feed(evacuations):
    return following.OperatorFeed(
        documents.OperatorDocuments(),
        lambda configuration: None,
        evacuations=evacuations,
    )


def record(zone, value=b"{}"):
    return records.KeyedRecord(f"evacuate/{zone}", value)


CONFIGURATION = records.KeyedRecord(
    "config", json.dumps({"version": 1}).encode()
)


def test_record_begins_an_evacuation_and_its_deletion_ends_it(
    feed, evacuations, released
):
    feed.apply_changes([record("a"), record("b")])
    assert evacuations.zones == {"a", "b"}
    feed.apply_changes([record("a", None)])
    assert evacuations.zones == {"b"}
    assert released == ["a"]


def test_evacuation_without_a_zone_is_ignored(feed, evacuations):
    feed.apply_changes([record("")])
    assert evacuations.zones == frozenset()


def test_evacuation_is_not_kept_if_its_deletion_was_missed(
    feed, evacuations, released
):
    """Guards against an evacuation that never ends: the store has dropped
    the history with the deletion, and all records are read anew.
    """
    feed.apply_changes([record("a"), record("b")])
    feed.apply_all([CONFIGURATION, record("b")])
    assert evacuations.zones == {"b"}
    assert released == ["a"]


def test_evacuation_is_known_from_a_complete_read(feed, evacuations):
    """Guards against requests to an evacuated zone by a process that has
    just started, or whose store has dropped the history.
    """
    feed.apply_all([record("a"), CONFIGURATION])
    assert evacuations.zones == {"a"}


def test_evacuation_is_held_while_a_restored_store_lacks_its_record(
    feed, evacuations, clock
):
    """Guards against requests to an evacuated zone after a restore: the
    store's copy is older than the evacuation, which operators write again
    only some seconds later.
    """
    feed.apply_changes([record("a")])
    feed.store_lost()
    feed.apply_all([CONFIGURATION])
    assert evacuations.zones == {"a"}
    clock.now_s += 1.0
    feed.apply_changes([record("a")])
    clock.now_s += 2 * evacuation.RESTORE_HOLD_S
    feed.apply_changes([])
    assert evacuations.zones == {"a"}


def test_evacuation_that_is_not_written_again_ends(
    feed, evacuations, clock, released
):
    feed.apply_changes([record("a")])
    feed.store_lost()
    feed.apply_all([CONFIGURATION])
    clock.now_s += evacuation.RESTORE_HOLD_S
    feed.apply_changes([])
    assert evacuations.zones == frozenset()
    assert released == ["a"]


def test_deletion_after_an_outage_ends_an_evacuation_at_once(
    feed, evacuations
):
    feed.apply_changes([record("a")])
    feed.store_lost()
    feed.apply_changes([record("a", None)])
    assert evacuations.zones == frozenset()


def test_repeated_record_releases_nothing(feed, evacuations, released):
    feed.apply_changes([record("a"), record("a")])
    feed.apply_changes([record("b", None)])
    assert evacuations.zones == {"a"}
    assert released == []


def test_peers_evacuations_count_until_the_store_was_read(feed, evacuations):
    """Guards against requests to an evacuated zone by a process that starts
    while the store is unavailable and gets its configuration from a peer.
    """
    feed.apply_peer_configuration(CONFIGURATION.value, ["a"])
    assert feed.version() == 1
    assert evacuations.zones == {"a"}
    feed.apply_all([CONFIGURATION])
    assert evacuations.zones == frozenset()
    feed.apply_peer_configuration(CONFIGURATION.value, ["a"])
    assert evacuations.zones == frozenset()
