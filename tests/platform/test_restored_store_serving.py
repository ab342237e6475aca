"""An instance goes on serving when the store returns from an older copy."""

from __future__ import annotations

import pytest

from briarseam.platform import names
from briarseam.testing import waiting
from tests.platform import system as systems


@pytest.fixture
def restored(cold_system):
    """A system whose store has lost all that was written before."""
    empty = cold_system.store.copy()
    cold_system.add_worker("plain-1", "portal")
    cold_system.configure(version=5)
    cold_system.start()
    waiting.until(lambda: "one" in members(cold_system))
    cold_system.store.restore(empty)
    return cold_system


def members(system):
    """Return what lies on the store of the system's instances."""
    return system.store.newest_of(names.MEMBERS_TOPIC)


def version(system):
    """Return the version of the configuration in force."""
    return system.node.feeds.configuration_version()


def test_callers_are_served_while_entries_are_missing(restored):
    """Guards against losing configuration and endpoints with the store."""
    waiting.until(lambda: not restored.node.feeds.registry.all())
    assert restored.call("/status/x", "GET").status == 200


def test_instance_writes_itself_and_the_secret_again(restored):
    """Guards against an instance that newcomers neither find nor trust."""
    waiting.until(lambda: len(members(restored)) == 2)


def test_configuration_does_not_go_back_and_follows_the_next_one(restored):
    """Guards against an older configuration that the copy holds."""
    restored.configure(version=3)
    restored.write_entry("plain-1", "portal")
    waiting.until(lambda: restored.node.feeds.registry.all())
    assert version(restored) == 5
    keys = [{"name": "north", "apiKeys": [systems.KEY, "more"]}]
    restored.configure(version=6, tenants=keys)
    waiting.until(lambda: version(restored) == 6)
    assert restored.call("/status/x", "GET", key="more").status == 200
