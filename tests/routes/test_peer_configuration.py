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
        self.asked = []

    def query_configuration(self, name):
        self.asked.append(name)
        if name not in self.known:
            raise replies.NoReplyError("is gone")
        asked = peer_configuration.ConfigurationAsked()
        return self.known[name].answer(asked)


@pytest.fixture
def peers():
    return Peers()


@pytest.fixture
def clock():
    return clocks.ManualClock()


def instance(peers, clock, version):
    """Return an instance with this version in force."""
    feed = following.OperatorFeed(
        documents.OperatorDocuments(), lambda _found: None
    )
    made = peer_configuration.PeerConfiguration(feed, peers, clock)
    write(made, version)
    return made


def write(made, version):
    """Let an instance read a version from the store."""
    data = json.dumps({"version": version}).encode()
    made.feed.apply_changes([records.KeyedRecord("config", data)])


def tell(made, peers, clock, name, version):
    """Let an instance hear the heartbeat of a peer with this version."""
    peers.known[name] = instance(peers, clock, version)
    made.consume(name, peers.known[name].provide())


def review_for(made, clock, seconds):
    for _second in range(seconds):
        made.review()
        clock.now_s += 1
    made.review()


def test_newer_configuration_of_a_peer_is_fetched(peers, clock):
    """Guards against the older configuration of a store's copy."""
    newcomer = instance(peers, clock, 3)
    tell(newcomer, peers, clock, "a", 5)
    review_for(newcomer, clock, 3)
    assert newcomer.feed.version() == 5
    assert newcomer.feed.current().configuration.version == 5


def test_what_the_store_is_about_to_tell_is_not_fetched(peers, clock):
    """Guards against a call of each instance for each change."""
    reader = instance(peers, clock, 3)
    tell(reader, peers, clock, "a", 5)
    review_for(reader, clock, 2)
    write(reader, 5)
    review_for(reader, clock, 5)
    assert not peers.asked


def test_each_change_has_its_own_time(peers, clock):
    """Guards against frequent changes that look like one long delay."""
    reader = instance(peers, clock, 1)
    for version in range(2, 8):
        tell(reader, peers, clock, "a", version)
        review_for(reader, clock, 2)
        write(reader, version - 1)
        write(reader, version)
        tell(reader, peers, clock, "a", version + 1)
        reader.review()
    assert not peers.asked


def test_older_configuration_of_a_peer_changes_nothing(peers, clock):
    """Guards against peers that lag behind."""
    holder = instance(peers, clock, 5)
    tell(holder, peers, clock, "a", 3)
    review_for(holder, clock, 5)
    assert not peers.asked
    assert holder.feed.version() == 5


def test_another_peer_is_asked_when_one_is_gone(peers, clock):
    """Guards against a newcomer that waits for a lost peer."""
    newcomer = instance(peers, clock, 3)
    tell(newcomer, peers, clock, "a", 6)
    tell(newcomer, peers, clock, "b", 5)
    del peers.known["a"]
    review_for(newcomer, clock, 5)
    assert peers.asked == ["a", "b"]
    assert newcomer.feed.version() == 5


def test_versions_of_instances_that_are_gone_are_forgotten(peers, clock):
    """Guards against calls to a lost peer for ever."""
    newcomer = instance(peers, clock, 3)
    tell(newcomer, peers, clock, "a", 6)
    newcomer.keep_only({"b"})
    review_for(newcomer, clock, 5)
    assert not peers.asked


def test_malformed_configuration_of_a_peer_changes_nothing(peers, clock):
    """Guards against a peer whose configuration can't be read."""
    newcomer = instance(peers, clock, 3)
    tell(newcomer, peers, clock, "a", 6)
    peers.known["a"].feed.content = b"{"
    review_for(newcomer, clock, 5)
    assert peers.asked == ["a"]
    assert newcomer.feed.version() == 3
