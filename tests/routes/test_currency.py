from __future__ import annotations

import msgspec
import pytest

from briarseam.routes import currency
from tests import clocks

APPLY_S = 2.0
NOW_S = 100.0


class Instance:
    """What one instance knows of the configuration."""

    def __init__(self, clock):
        self.read_until_s = currency.NEVER_S
        self.has_peers = False
        self.currency = currency.ConfigurationCurrency(
            lambda: self.read_until_s,
            APPLY_S,
            lambda: self.has_peers,
            clock,
        )

    def hear(self, other):
        """Get a heartbeat of another instance."""
        self.currency.consume("other", other.currency.provide())


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


def test_nothing_is_current_before_anything_was_heard(instance):
    assert not instance.currency.is_current()


@pytest.mark.parametrize("age_s", [0.0, 1.7, 1.9, 60.0])
def test_word_of_the_store_is_enough_until_a_change_can_be_due(
    instance, age_s
):
    instance.read_until_s = NOW_S - age_s
    assert instance.currency.is_current() is (age_s < 0.9 * APPLY_S)


def test_peer_that_reaches_the_store_is_enough(instance, peer, clock):
    """Guards against prompts computed again where the store is cut off."""
    peer.read_until_s = NOW_S - 1.0
    instance.hear(peer)
    assert instance.currency.is_current()
    clock.now_s += 0.9
    assert not instance.currency.is_current()


def test_peers_that_do_not_reach_the_store_keep_nobody_current(
    instance, peer, clock
):
    """Guards against instances that confirm each other what is outdated."""
    peer.read_until_s = NOW_S
    for _ in range(20):
        instance.hear(peer)
        peer.hear(instance)
        clock.now_s += 0.1
    assert not instance.currency.is_current()
    assert not peer.currency.is_current()


def test_word_of_the_store_is_not_enough_before_peers_are_heard(
    instance, peer
):
    """Guards against a store that has lost a change which peers know."""
    instance.read_until_s = NOW_S
    instance.has_peers = True
    assert not instance.currency.is_current()
    instance.hear(peer)
    assert instance.currency.is_current()


def test_peers_that_are_never_heard_are_not_waited_for(instance, clock):
    instance.has_peers = True
    clock.now_s += currency.PEERS_WAIT_S
    instance.read_until_s = clock.now_s
    assert instance.currency.is_current()


@pytest.mark.parametrize("age_ms", [None, -5000, 10**12])
def test_peer_that_knows_nothing_changes_nothing(instance, age_ms):
    instance.currency.consume("peer", msgspec.msgpack.encode(age_ms))
    assert not instance.currency.is_current()


@pytest.mark.parametrize("content", [b"", b"\xc1", b"\xa1x"])
def test_malformed_content_of_a_peer_changes_nothing(instance, content):
    with pytest.raises(msgspec.MsgspecError):
        instance.currency.consume("peer", content)
    assert not instance.currency.is_current()
