"""Losses of a request that its caller repeats."""

from __future__ import annotations

import msgpack
import pytest

from briarseam.crashes import loss_counts
from briarseam.crashes import loss_keys
from tests import clocks

REQUEST = loss_keys.key_of_request("/draft/x", "north", b"body")
OTHER = loss_keys.key_of_request("/draft/y", "north", b"body")
PART = loss_keys.key_of_part("drafts", "", "aa")


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def counts(clock):
    return loss_counts.LossCounts(clock)


def record_losses(counts, *endpoints, key=REQUEST):
    for endpoint in endpoints:
        counts.record_loss(key, endpoint, counts.clock())


def is_refused(counts, key=REQUEST):
    return counts.suspects((key,)) == (key,)


def test_request_lost_at_three_endpoints_is_refused(counts):
    """Guards against a repeat that crashes each engine that runs it."""
    record_losses(counts, "e1", "e2")
    assert not is_refused(counts)
    record_losses(counts, "e3")
    assert is_refused(counts)


def test_losses_at_one_endpoint_count_once(counts):
    record_losses(counts, "e1", "e1", "e1", "e1")
    assert not is_refused(counts)


def test_losses_of_peers_count(counts, clock):
    """Guards against repeats at another instance each time."""
    peer = loss_counts.LossCounts(clock)
    record_losses(peer, "e1", "e2")
    counts.consume("peer", peer.provide())
    assert not is_refused(counts)
    record_losses(counts, "e3")
    assert is_refused(counts)


def test_losses_outlive_the_instances_that_had_them(counts, clock):
    """Guards against instances that are replaced one after the other."""
    peer = loss_counts.LossCounts(clock)
    record_losses(peer, "e1", "e2", "e3")
    counts.is_ended = lambda endpoint: True
    counts.consume("peer", peer.provide())
    counts.consume("peer", loss_counts.LossCounts(clock).provide())
    successor = loss_counts.LossCounts(clock)
    successor.consume("one", counts.provide())
    assert is_refused(counts)
    assert is_refused(successor)


def test_losses_that_a_peer_withdraws_are_dropped(counts, clock):
    """Guards against losses at endpoints that turn out to go on."""
    peer = loss_counts.LossCounts(clock)
    record_losses(peer, "e1", "e2", "e3")
    counts.consume("peer", peer.provide())
    peer.withdraw_loss(REQUEST, "e1")
    counts.consume("peer", peer.provide())
    assert not is_refused(counts)


def test_many_losses_do_not_crowd_out_a_request_that_is_refused(counts, clock):
    """Guards against peers that forget a request when others are lost."""
    record_losses(counts, "e1", "e2", "e3")
    clock.now_s += 1
    for number in range(loss_counts.MAX_PUBLISHED):
        other = loss_keys.key_of_request(f"/draft/{number}", "north", b"")
        record_losses(counts, "e4", key=other)
    peer = loss_counts.LossCounts(clock)
    peer.consume("one", counts.provide())
    assert is_refused(peer)


def test_losses_of_a_peer_that_is_gone_count_until_they_expire(counts, clock):
    """Guards against three more crashes for each peer that stops."""
    peer = loss_counts.LossCounts(clock)
    record_losses(peer, "e1", "e2", "e3")
    counts.consume("peer", peer.provide())
    clock.now_s += loss_counts.LOSS_TTL_S - 1
    counts.forget_expired()
    assert is_refused(counts)
    clock.now_s += 2
    counts.forget_expired()
    assert not is_refused(counts)
    assert counts.by_peer == {}


def test_answer_clears_the_losses_of_a_request(counts, clock):
    record_losses(counts, "e1", "e2")
    clock.now_s += 1
    counts.record_answer((REQUEST,), clock())
    clock.now_s += 1
    record_losses(counts, "e3")
    assert not is_refused(counts)


def test_request_that_was_answered_is_not_blamed_for_another_one(
    counts, clock
):
    """Guards against refusing what was lost beside a request that crashes."""
    counts.record_answer((REQUEST,), clock())
    clock.now_s += 1
    record_losses(counts, "e1", "e2", "e3")
    record_losses(counts, "e1", "e2", "e3", key=OTHER)
    assert is_refused(counts, OTHER)
    assert not is_refused(counts)


@pytest.mark.parametrize("answered", [False, True])
def test_request_that_crashes_on_its_own_is_refused_after_three(
    counts, clock, answered
):
    """Guards against three more crashes since it was answered once."""
    if answered:
        counts.record_answer((REQUEST,), clock())
        clock.now_s += 1
    record_losses(counts, "e1", "e2", "e3")
    assert is_refused(counts)


def test_part_does_not_explain_the_losses_of_an_unanswered_request(counts):
    """Guards against a request that crashes on while its part is tried."""
    record_losses(counts, "e1", "e2", "e3", "e4", key=PART)
    record_losses(counts, "e1", "e2", "e3")
    assert set(counts.suspects((REQUEST, PART))) == {REQUEST, PART}


def test_part_of_other_prompts_explains_what_it_took_along(counts):
    """Guards against trials of all that ran beside a crashing part."""
    record_losses(counts, "e1", "e2", "e3", key=PART)
    record_losses(counts, "e1", "e2", "e3")
    assert not is_refused(counts)
    record_losses(counts, "e4")
    assert is_refused(counts)


def test_losses_expire(counts, clock):
    record_losses(counts, "e1", "e2", "e3")
    clock.now_s += loss_counts.LOSS_TTL_S
    counts.forget_expired()
    assert not is_refused(counts)
    assert counts.local == {}


def test_request_that_comes_once_in_minutes_is_refused(counts, clock):
    """Guards against losses that are forgotten between two repeats."""
    for number in range(3):
        assert not is_refused(counts)
        record_losses(counts, f"e{number}")
        clock.now_s += 600
        counts.forget_expired()
    assert is_refused(counts)


@pytest.mark.parametrize(
    "other",
    [
        OTHER,
        loss_keys.key_of_request("/draft/x", "south", b"body"),
        loss_keys.key_of_request("/draft/x", "north", b"other"),
        loss_keys.key_of_request("/draft/", "xnorth", b"body"),
    ],
)
def test_other_requests_are_not_refused(counts, other):
    record_losses(counts, "e1", "e2", "e3")
    assert not is_refused(counts, other)


@pytest.mark.parametrize(
    "row",
    [
        pytest.param([1_000_000, ["engine-1"]], id="key is a number"),
        pytest.param([REQUEST, [1]], id="endpoint is a number"),
        pytest.param([REQUEST], id="too short"),
    ],
)
def test_malformed_losses_of_a_peer_keep_its_earlier_ones(counts, row):
    """Guards against a number that is taken for a length in memory."""
    counts.consume("peer", msgpack.packb([[REQUEST, ["engine-1"]]]))
    with pytest.raises(ValueError):
        counts.consume("peer", msgpack.packb([row]))
    assert counts.endpoints_of(REQUEST) == {"engine-1"}
