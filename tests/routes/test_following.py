from __future__ import annotations

import json

import pytest

from briarseam.feeds import records
from briarseam.platform import documents
from briarseam.routes import following
from briarseam.weights import goals


@pytest.fixture
def announced():
    return []


@pytest.fixture
def feed(announced):
    return following.OperatorFeed(
        documents.OperatorDocuments(), announced.append
    )


def change(key, **document):
    return records.KeyedRecord(key, json.dumps(document).encode())


def test_older_version_does_not_replace_a_newer_one(feed, announced):
    """Guards against an older configuration in force after the records are
    read again from a store that lags behind: requests of a route that was
    added would be refused with 404 again.
    """
    feed.apply_changes([change("config", version=9)])
    feed.apply_all([change("config", version=5)])
    assert feed.current().configuration.version == 9
    assert [configuration.version for configuration in announced] == [9]


def test_configuration_is_announced_before_it_is_in_force(feed, announced):
    in_force = []
    feed.on_change = lambda changed: in_force.append(feed.current())
    feed.apply_changes([change("config", version=1)])
    assert in_force == [None]
    assert feed.loaded.is_set()


def test_newest_target_weights_are_kept_for_each_model(feed):
    feed.apply_changes(
        [
            change("version/a", model="a", version=3),
            change("version/a", model="a", version=2),
            change("version/b", model="b", version=1),
        ]
    )
    newest = {goal.model: goal.version for goal in feed.goals.newest.values()}
    assert newest == {"a": 3, "b": 1}


def test_unknown_documents_and_deleted_keys_are_ignored(feed):
    feed.apply_changes([change("config", version=1)])
    feed.apply_changes(
        [records.KeyedRecord("config", None), change("other", x=1)]
    )
    feed.store_lost()
    assert feed.current().configuration.version == 1


GOAL = {"model": "a", "version": 3}


@pytest.mark.parametrize(
    "key, value",
    [
        pytest.param("config", b"{", id="truncated configuration"),
        pytest.param("config", b'{"version":"9"}', id="version is a string"),
        pytest.param("config", b'{"routes":[]}', id="no version"),
        pytest.param(
            "config", b'{"version":9,"routes":[{}]}', id="empty route"
        ),
        pytest.param(
            "config", b"[" * 100_000, id="deeply nested configuration"
        ),
        pytest.param("version/b", b"\xff", id="goal is not UTF-8"),
        pytest.param(
            "version/b", b'{"model":"b","version":-1}', id="negative goal"
        ),
        pytest.param(
            "version/b",
            b'{"model":"b","version":99999999999999999999999}',
            id="goal exceeds 64 bits",
        ),
    ],
)
def test_malformed_document_is_ignored_and_the_others_are_applied(
    feed, key, value
):
    """Guards against a malformed document that hides a weight goal after it:
    new requests would still begin on weights that are no longer allowed.
    """
    feed.apply_changes([change("config", version=5)])
    feed.apply_changes(
        [records.KeyedRecord(key, value), change("version/a", **GOAL)]
    )
    assert feed.current().configuration.version == 5
    assert {
        name: goal.version for name, goal in feed.goals.newest.items()
    } == {"a": 3}
    feed.apply_all(
        [records.KeyedRecord(key, value), change("config", version=6)]
    )
    assert feed.current().configuration.version == 6


def test_each_reading_of_the_whole_topic_is_counted(feed):
    """Guards against times that go on though the store was restored."""
    feed.apply_all([change("config", version=5)])
    feed.apply_changes([change("config", version=6)])
    assert feed.readings == 1
    feed.apply_all([change("config", version=5)])
    assert feed.readings == 2


def test_weights_that_operators_do_not_name_exclude_none(feed):
    """Another writer has left the time of weights that were never set."""
    feed.goals.restore(goals.WeightGoal("a", 2**53), 1000.0)
    feed.apply_all([change("version/a", model="a", version=3)])
    assert feed.goals.oldest_allowed("a", 0.0) == 3
    assert feed.goals.newest["a"].version == 3


def configuration_isolating(version, *names):
    tenants = [
        {"name": name, "key": f"key-{name}", "isolated": True}
        for name in names
    ]
    return change("config", version=version, tenants=tenants)


def test_isolation_that_a_restored_store_names_is_told_apart(announced):
    """Guards against taking the configuration in force for what instances
    read that start beside a restored store.
    """
    named = []
    feed = following.OperatorFeed(
        documents.OperatorDocuments(),
        announced.append,
        on_named=lambda configuration: named.append(configuration.version),
    )
    feed.apply_all([configuration_isolating(9, "chain", "kitchens")])
    assert feed.named_isolated == {"chain", "kitchens"}
    feed.apply_all([configuration_isolating(5, "chain")])
    assert feed.named_isolated == {"chain"}
    assert feed.current().configuration.isolated == {"chain", "kitchens"}
    assert named == [9, 5]
    feed.apply_all([])
    assert feed.named_isolated == frozenset()


def test_organisation_is_isolated_until_a_change_that_the_store_names(feed):
    """Guards against parts that are freed while others still share them."""
    feed.apply_all([configuration_isolating(3, "chain", "kitchens")])
    feed.apply_changes([configuration_isolating(4, "chain")])
    assert feed.named_isolated == {"chain"}


def test_configuration_from_a_peer_is_not_named_by_the_store(feed):
    data = configuration_isolating(9, "chain").value
    feed.apply_peer_configuration(data)
    assert feed.named_isolated == frozenset()
