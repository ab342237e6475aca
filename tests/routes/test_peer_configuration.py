from __future__ import annotations

import json

import pytest

from briarseam.feeds import records
from briarseam.platform import documents
from briarseam.routes import following
from briarseam.routes import peer_configuration
from briarseam.wire import replies
from tests import clocks


class Peers:
    """Other instances in memory, by name."""

    def __init__(self):
        self.known = {}
        self.queried = []

    def query_configuration(self, name):
        self.queried.append(name)
        if name not in self.known:
            raise replies.NoReplyError("is gone")
        query = peer_configuration.ConfigurationAsked()
        return self.known[name].answer(query)


@pytest.fixture
def peers():
    return Peers()


@pytest.fixture
def clock():
    return clocks.ManualClock()


def instance(peers, clock, version):
    """Return an instance that has this version in force."""
    feed = following.OperatorFeed(
        documents.OperatorDocuments(), lambda _changed: None
    )
    made = peer_configuration.PeerConfiguration(feed, peers, clock)
    write(made, version)
    return made


def write(made, version):
    """Make an instance read a version from the store."""
    data = json.dumps({"version": version}).encode()
    made.feed.apply_changes([records.KeyedRecord("config", data)])


def receive_heartbeat(made, peers, clock, name, version):
    """Make an instance receive a heartbeat of a peer with this version."""
    peers.known[name] = instance(peers, clock, version)
    made.consume(name, peers.known[name].provide())


def review_for(made, clock, seconds):
    for _second in range(seconds):
        made.review()
        clock.now_s += 1
    made.review()


def test_newer_configuration_of_a_peer_is_fetched(peers, clock):
    """Guards against a newcomer that keeps the older configuration of a store
    restored from a copy.
    """
    newcomer = instance(peers, clock, 3)
    receive_heartbeat(newcomer, peers, clock, "a", 5)
    review_for(newcomer, clock, 3)
    assert newcomer.feed.version() == 5
    assert newcomer.feed.current().configuration.version == 5


def test_change_that_arrives_from_the_store_is_not_fetched(peers, clock):
    """Guards against a call by each instance for each change."""
    reader = instance(peers, clock, 3)
    receive_heartbeat(reader, peers, clock, "a", 5)
    review_for(reader, clock, 2)
    write(reader, 5)
    review_for(reader, clock, 5)
    assert not peers.queried


def test_fetch_delay_starts_again_with_each_change(peers, clock):
    """Guards against frequent changes that are mistaken for one long delay
    of the store.
    """
    reader = instance(peers, clock, 1)
    for version in range(2, 8):
        receive_heartbeat(reader, peers, clock, "a", version)
        review_for(reader, clock, 2)
        write(reader, version - 1)
        write(reader, version)
        receive_heartbeat(reader, peers, clock, "a", version + 1)
        reader.review()
    assert not peers.queried


def test_older_configuration_of_a_peer_is_ignored(peers, clock):
    """Guards against a return to the older version of a peer that lags."""
    holder = instance(peers, clock, 5)
    receive_heartbeat(holder, peers, clock, "a", 3)
    review_for(holder, clock, 5)
    assert not peers.queried
    assert holder.feed.version() == 5


def test_another_peer_is_queried_when_one_is_gone(peers, clock):
    """Guards against a newcomer that waits for a lost peer."""
    newcomer = instance(peers, clock, 3)
    receive_heartbeat(newcomer, peers, clock, "a", 6)
    receive_heartbeat(newcomer, peers, clock, "b", 5)
    del peers.known["a"]
    review_for(newcomer, clock, 5)
    assert peers.queried == ["a", "b"]
    assert newcomer.feed.version() == 5


def test_versions_of_instances_that_are_gone_are_removed(peers, clock):
    """Guards against endless calls to a lost peer."""
    newcomer = instance(peers, clock, 3)
    receive_heartbeat(newcomer, peers, clock, "a", 6)
    newcomer.keep_only({"b"})
    review_for(newcomer, clock, 5)
    assert not peers.queried


def test_malformed_configuration_of_a_peer_is_ignored(peers, clock):
    """Guards against an error in the review or a lost version when a peer's
    configuration can't be decoded.
    """
    newcomer = instance(peers, clock, 3)
    receive_heartbeat(newcomer, peers, clock, "a", 6)
    peers.known["a"].feed.content = b"{"
    review_for(newcomer, clock, 5)
    assert peers.queried == ["a"]
    assert newcomer.feed.version() == 3
