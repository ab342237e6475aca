from __future__ import annotations

import msgpack
import pytest

from briarseam.forwarding import answered_requests
from briarseam.forwarding import crash_guard
from tests import clocks

DIGEST = crash_guard.digest_of("/draft/x", "north", b"body")


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def guard(clock):
    return crash_guard.CrashGuard(clock)


def record_losses(guard, *endpoints):
    for endpoint in endpoints:
        guard.record_loss(DIGEST, endpoint)


def test_request_lost_at_three_endpoints_is_refused(guard):
    """A prompt crashes each engine that runs it, and its caller repeats it,
    so that engines are lost with everything else that they run.
    """
    record_losses(guard, "e1", "e2")
    assert not guard.is_refused(DIGEST)
    record_losses(guard, "e3")
    assert guard.is_refused(DIGEST)


def test_losses_at_one_endpoint_count_once(guard):
    record_losses(guard, "e1", "e1", "e1", "e1")
    assert not guard.is_refused(DIGEST)


def test_losses_of_peers_count(guard, clock):
    """The caller sends the request to another instance each time."""
    peer = crash_guard.CrashGuard(clock)
    record_losses(peer, "e1", "e2")
    guard.consume("peer", peer.provide())
    assert not guard.is_refused(DIGEST)
    record_losses(guard, "e3")
    assert guard.is_refused(DIGEST)


def test_many_losses_do_not_crowd_out_a_request_that_is_refused(guard, clock):
    """Guards against peers that forget a request when others are lost."""
    record_losses(guard, "e1", "e2", "e3")
    clock.now_s += 1
    for number in range(crash_guard.MAX_PUBLISHED_LOSSES):
        other = crash_guard.digest_of(f"/draft/{number}", "north", b"")
        guard.record_loss(other, "e4")
    peer = crash_guard.CrashGuard(clock)
    peer.consume("guard", guard.provide())
    assert peer.is_refused(DIGEST)


def test_losses_of_a_peer_that_is_gone_count_until_they_expire(guard, clock):
    """A peer that recorded losses of a request stops.

    If its losses were forgotten immediately, the request would crash three
    more endpoints.  If they were kept forever, memory use would grow with
    each peer that stops.
    """
    peer = crash_guard.CrashGuard(clock)
    record_losses(peer, "e1", "e2", "e3")
    guard.consume("peer", peer.provide())
    clock.now_s += crash_guard.LOSS_TTL_S - 1
    guard.forget_expired()
    assert guard.is_refused(DIGEST)
    clock.now_s += 2
    guard.forget_expired()
    assert not guard.is_refused(DIGEST)
    assert guard.by_peer == {}


def test_answer_clears_the_losses_of_a_request(guard):
    record_losses(guard, "e1", "e2")
    guard.record_answer(DIGEST)
    record_losses(guard, "e3")
    assert not guard.is_refused(DIGEST)


def test_request_that_is_answered_now_and_then_is_served_on(guard, clock):
    """Guards against refusing what was lost beside a request that crashes."""
    guard.record_answer(DIGEST)
    record_losses(guard, "e1", "e2", "e3")
    assert not guard.is_refused(DIGEST)
    record_losses(guard, "e4", "e5", "e6")
    assert guard.is_refused(DIGEST)


def test_answer_long_ago_does_not_raise_the_limit(guard, clock):
    guard.record_answer(DIGEST)
    clock.now_s += crash_guard.LOSS_TTL_S
    record_losses(guard, "e1", "e2", "e3")
    assert guard.is_refused(DIGEST)


def test_number_of_remembered_answers_is_bounded(guard, monkeypatch):
    monkeypatch.setattr(answered_requests, "MAX_ANSWERED", 2)
    for number in range(4):
        guard.record_answer(bytes([number]))
    assert list(guard.answered.answered_s) == [b"\2", b"\3"]


def test_answers_at_peers_raise_the_limit(guard, clock):
    """Guards against an instance that has just started and hears losses."""
    peer = crash_guard.CrashGuard(clock)
    peer.record_answer(DIGEST)
    record_losses(peer, "e1", "e2", "e3")
    guard.consume("peer", peer.provide())
    assert guard.is_refused(DIGEST)
    guard.answered.consume("peer", peer.answered.provide())
    assert not guard.is_refused(DIGEST)
    guard.answered.keep_only(())
    assert guard.is_refused(DIGEST)


def test_answers_of_requests_without_losses_are_not_published(guard):
    guard.record_answer(DIGEST)
    assert guard.answered.provide() == msgpack.packb([])


def test_losses_expire(guard, clock):
    record_losses(guard, "e1", "e2", "e3")
    clock.now_s += crash_guard.LOSS_TTL_S
    assert not guard.is_refused(DIGEST)
    guard.forget_expired()
    assert guard.local == {}


@pytest.mark.parametrize(
    "other",
    [
        crash_guard.digest_of("/draft/y", "north", b"body"),
        crash_guard.digest_of("/draft/x", "south", b"body"),
        crash_guard.digest_of("/draft/x", "north", b"other"),
        crash_guard.digest_of("/draft/", "xnorth", b"body"),
    ],
)
def test_other_requests_are_not_refused(guard, other):
    record_losses(guard, "e1", "e2", "e3")
    assert not guard.is_refused(other)


@pytest.mark.parametrize(
    "row",
    [
        pytest.param([1_000_000, ["engine-1"]], id="digest is a number"),
        pytest.param([b"digest", [1]], id="endpoint is a number"),
        pytest.param([b"digest"], id="too short"),
    ],
)
def test_malformed_losses_of_a_peer_keep_its_earlier_ones(row):
    """A peer that runs another implementation sends a number instead of a
    digest.  Taken for a length, it would allocate that number of bytes.
    """
    guard = crash_guard.CrashGuard()
    guard.consume("peer", msgpack.packb([[b"digest", ["engine-1"]]]))
    with pytest.raises(ValueError):
        guard.consume("peer", msgpack.packb([row]))
    assert guard.by_peer["peer"].losses == {b"digest": frozenset({"engine-1"})}
