"""An instance keeps serving when the store is restored from a backup."""

from __future__ import annotations

import pytest

from briarseam.platform import names
from briarseam.testing import waiting
from tests.platform import system as systems


@pytest.fixture
def restored(cold_system):
    """A system whose store has lost all records."""
    empty = cold_system.store.copy()
    cold_system.add_worker("plain-1", "portal")
    cold_system.configure(version=5)
    cold_system.start()
    waiting.until(lambda: "one" in members(cold_system))
    cold_system.store.restore(empty)
    return cold_system


def members(system):
    """Return the records of the system's instances in the store."""
    return system.store.newest_of(names.MEMBERS_TOPIC)


def version(system):
    """Return the version of the configuration in force."""
    return system.node.feeds.configuration_version()


def known(node):
    """Return the known versions of configuration and weights."""
    goal = node.feeds.operators.goals.newest.get(systems.MODEL)
    return (
        node.feeds.configuration_version(),
        None if goal is None else goal.version,
    )


def test_callers_are_served_while_entries_are_missing(restored):
    """Guards against losing configuration and endpoints with the store."""
    waiting.until(lambda: not restored.node.feeds.registry.all())
    assert restored.call("/status/x", "GET").status == 200


def test_instance_registers_and_writes_the_secret_again(restored):
    """Guards against an instance that new instances can't find or trust."""
    waiting.until(lambda: len(members(restored)) == 2)


def test_older_configuration_is_ignored_and_the_next_is_applied(restored):
    """Guards against going back to the configuration in the backup."""
    restored.configure(version=3)
    restored.write_entry("plain-1", "portal")
    waiting.until(lambda: restored.node.feeds.registry.all())
    assert version(restored) == 5
    keys = [{"name": "north", "apiKeys": [systems.KEY, "more"]}]
    restored.configure(version=6, tenants=keys)
    waiting.until(lambda: version(restored) == 6)
    assert restored.call("/status/x", "GET", key="more").status == 200


def test_new_instance_gets_missing_records_from_its_peers(cold_system):
    """Guards against a new instance that accepts keys revoked meanwhile."""
    cold_system.configure(version=3)
    cold_system.add_worker("plain-1", "portal")
    cold_system.start()
    waiting.until(lambda: len(members(cold_system)) == 2)
    old = cold_system.store.copy()
    cold_system.configure(version=5)
    goal = {"model": systems.MODEL, "version": 2}
    cold_system.store.write("keyed.op", f"version/{systems.MODEL}", goal)
    waiting.until(lambda: known(cold_system.node) == (5, 2))
    cold_system.store.restore(old)
    newcomer = cold_system.launch_another("two")
    waiting.until(lambda: known(newcomer) == (5, 2), timeout_s=20)
