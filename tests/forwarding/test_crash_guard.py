from __future__ import annotations

import msgpack
import pytest

from briarseam.forwarding import crash_guard
from tests import clocks

DIGEST = crash_guard.digest_of("/draft/x", "north", b"body")


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def guard(clock):
    return crash_guard.CrashGuard(clock)


def lose(guard, *endpoints):
    for endpoint in endpoints:
        guard.record_loss(DIGEST, endpoint)


def test_request_lost_at_three_endpoints_is_refused(guard):
    """One prompt crashes each engine that runs it, and its caller sends it
    again and again.  Engines are lost with all that they run.
    """
    lose(guard, "e1", "e2")
    assert not guard.is_refused(DIGEST)
    lose(guard, "e3")
    assert guard.is_refused(DIGEST)


def test_losses_at_one_endpoint_count_once(guard):
    lose(guard, "e1", "e1", "e1", "e1")
    assert not guard.is_refused(DIGEST)


def test_losses_that_peers_saw_count(guard, clock):
    """The caller sends it to another instance each time."""
    peer = crash_guard.CrashGuard(clock)
    lose(peer, "e1", "e2")
    guard.consume("peer", peer.provide())
    assert not guard.is_refused(DIGEST)
    lose(guard, "e3")
    assert guard.is_refused(DIGEST)


def test_losses_of_a_peer_that_is_gone_count_on_for_their_time(guard, clock):
    """The peer that saw a request lost at two endpoints stops.

    Forgotten at once, the request would take down three more; kept for
    ever, peers that come and go would fill the memory.
    """
    peer = crash_guard.CrashGuard(clock)
    lose(peer, "e1", "e2", "e3")
    guard.consume("peer", peer.provide())
    clock.now_s += crash_guard.LOSS_TTL_S - 1
    guard.forget_expired()
    assert guard.is_refused(DIGEST)
    clock.now_s += 2
    guard.forget_expired()
    assert not guard.is_refused(DIGEST)
    assert guard.by_peer == {}


def test_answered_request_is_none_of_these(guard):
    lose(guard, "e1", "e2")
    guard.record_answer(DIGEST)
    lose(guard, "e3")
    assert not guard.is_refused(DIGEST)


def test_losses_are_forgotten_with_time(guard, clock):
    lose(guard, "e1", "e2", "e3")
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
    lose(guard, "e1", "e2", "e3")
    assert not guard.is_refused(other)


@pytest.mark.parametrize(
    "row",
    [
        pytest.param([1_000_000, ["engine-1"]], id="digest a number"),
        pytest.param([b"digest", [1]], id="endpoint a number"),
        pytest.param([b"digest"], id="too short"),
    ],
)
def test_malformed_losses_of_a_peer_keep_its_earlier_ones(row):
    """A peer of another make tells a number in place of a digest.

    It was taken for a length, and as many bytes were allocated.
    """
    guard = crash_guard.CrashGuard()
    guard.consume("peer", msgpack.packb([[b"digest", ["engine-1"]]]))
    with pytest.raises(ValueError):
        guard.consume("peer", msgpack.packb([row]))
    assert guard.by_peer["peer"].losses == {b"digest": frozenset({"engine-1"})}
