from __future__ import annotations

import msgspec
import pytest

from briarseam.routes import freshness
from tests import clocks

APPLY_S = 2.0
NOW_S = 100.0


class Instance:
    """What one instance knows of the configuration."""

    def __init__(self, clock):
        self.read_until_s = freshness.NEVER_S
        self.has_peers = False
        self.freshness = freshness.ConfigurationFreshness(
            lambda: self.read_until_s,
            APPLY_S,
            lambda: self.has_peers,
            clock,
        )

    def hear(self, other):
        """Get a heartbeat of another instance."""
        self.freshness.delays.consume(
            "other", other.freshness.delays.provide()
        )
        self.freshness.consume("other", other.freshness.provide())


@pytest.fixture
def clock():
    clock = clocks.ManualClock()
    clock.now_s = NOW_S
    return clock


@pytest.fixture
def instance(clock):
    return Instance(clock)


@pytest.fixture
def peer(clock):
    return Instance(clock)


def test_nothing_is_fresh_before_anything_was_heard(instance):
    assert not instance.freshness.is_fresh()


@pytest.mark.parametrize("age_s", [0.0, 1.7, 1.9, 60.0])
def test_word_of_the_store_is_enough_until_a_change_can_be_due(
    instance, age_s
):
    instance.read_until_s = NOW_S - age_s
    assert instance.freshness.is_fresh() is (age_s < 0.9 * APPLY_S)


def test_peer_that_reaches_the_store_is_enough(instance, peer, clock):
    """Guards against prompts computed again where the store is cut off."""
    peer.read_until_s = NOW_S - 1.0
    instance.hear(peer)
    assert instance.freshness.is_fresh()
    clock.now_s += 0.9
    assert not instance.freshness.is_fresh()


def test_peers_that_do_not_reach_the_store_keep_nobody_fresh(
    instance, peer, clock
):
    """Guards against instances that confirm each other what is outdated."""
    peer.read_until_s = NOW_S
    for _ in range(20):
        instance.hear(peer)
        peer.hear(instance)
        clock.now_s += 0.1
    assert not instance.freshness.is_fresh()
    assert not peer.freshness.is_fresh()


def test_word_of_the_store_is_not_enough_before_peers_are_heard(
    instance, peer
):
    """Guards against a store that has lost a change which peers know."""
    instance.read_until_s = NOW_S
    instance.has_peers = True
    assert not instance.freshness.is_fresh()
    instance.hear(peer)
    assert instance.freshness.is_fresh()


def test_peers_that_are_never_heard_are_not_waited_for(instance, clock):
    instance.has_peers = True
    clock.now_s += freshness.PEERS_WAIT_S
    instance.read_until_s = clock.now_s
    assert instance.freshness.is_fresh()


@pytest.mark.parametrize("age_ms", [None, -5000, 10**12])
def test_peer_that_knows_nothing_changes_nothing(instance, age_ms):
    instance.freshness.consume("peer", msgspec.msgpack.encode(age_ms))
    assert not instance.freshness.is_fresh()


@pytest.mark.parametrize("content", [b"", b"\xc1", b"\xa1x"])
def test_malformed_content_of_a_peer_changes_nothing(instance, content):
    with pytest.raises(msgspec.MsgspecError):
        instance.freshness.consume("peer", content)
    assert not instance.freshness.is_fresh()


def test_heartbeat_that_arrives_late_counts_from_when_it_was_made(
    instance, peer, clock
):
    """Guards against a message that waited for a suspended process, or for
    the network, and makes old knowledge look new.
    """
    peer.read_until_s = clock()
    instance.hear(peer)
    assert instance.freshness.is_fresh()
    made = peer.freshness.delays.provide()
    age = peer.freshness.provide()
    clock.now_s += 12.0
    instance.freshness.delays.consume("other", made)
    instance.freshness.consume("other", age)
    assert not instance.freshness.is_fresh()
    assert instance.freshness.age_s() >= 12.0


def test_clocks_of_instances_may_differ(instance, peer, clock):
    peer.freshness.delays.clock = lambda: clock() + 5000.0
    for _ in range(3):
        clock.now_s += 1.0
        peer.read_until_s = clock()
        instance.hear(peer)
        assert instance.freshness.is_fresh()
