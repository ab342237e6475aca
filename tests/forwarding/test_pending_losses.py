from __future__ import annotations

import dataclasses

import pytest
import structlog

from briarseam.discovery import model
from briarseam.forwarding import crash_guard
from briarseam.forwarding import pending_losses
from briarseam.metrics import registry
from briarseam.reachability import tracker
from tests import clocks

DIGEST = crash_guard.digest_of("/status/1", "north", b"")


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def endpoints():
    return [
        model.Endpoint(f"e{n}", "portal", f"10.0.0.{n}:1", "a", 8)
        for n in range(4)
    ]


@pytest.fixture
def reachability(clock, endpoints):
    return tracker.Reachability(lambda service: endpoints, clock)


@pytest.fixture
def guard(clock):
    return crash_guard.CrashGuard(clock)


@pytest.fixture
def losses(guard, reachability, clock):
    return pending_losses.PendingLosses(guard, reachability, clock)


def lose(losses, endpoints):
    for endpoint in endpoints[: crash_guard.LOST_ENDPOINTS_LIMIT]:
        losses.add(DIGEST, endpoint)
    losses.review()


def test_request_lost_with_the_path_is_not_refused(
    losses, guard, reachability, endpoints, clock
):
    """Guards against a cut that is taken for requests that crash endpoints."""
    lose(losses, endpoints)
    for endpoint in endpoints:
        reachability.record_unreached(endpoint)
    clock.now_s += 10.0
    losses.review()
    assert not guard.is_refused(DIGEST)
    assert losses.pending == []


def test_request_lost_with_a_path_that_is_back_is_not_refused(
    losses, guard, reachability, endpoints, clock
):
    lose(losses, endpoints)
    for endpoint in endpoints:
        reachability.record_unreached(endpoint)
    clock.now_s += 0.1
    reachability.record_service_reached("portal")
    reachability.record_heard("portal")
    losses.review()
    assert not guard.is_refused(DIGEST)


def test_request_that_crashes_endpoints_is_refused_once_others_answer(
    losses, guard, reachability, endpoints, clock
):
    lose(losses, endpoints)
    assert not guard.is_refused(DIGEST)
    clock.now_s += pending_losses.SETTLE_S
    reachability.record_heard("portal")
    losses.review()
    assert guard.is_refused(DIGEST)


def test_request_that_crashes_endpoints_is_refused_without_other_traffic(
    losses, guard, endpoints, clock
):
    lose(losses, endpoints)
    clock.now_s += pending_losses.MAX_PENDING_S
    losses.review()
    assert guard.is_refused(DIGEST)


def test_answer_that_was_on_its_way_settles_nothing(
    losses, guard, reachability, endpoints, clock
):
    """Guards against the last answer before a cut that proves the path."""
    lose(losses, endpoints)
    clock.now_s += 0.01
    reachability.record_heard("portal")
    losses.review()
    assert not guard.is_refused(DIGEST)
    assert len(losses.pending) == crash_guard.LOST_ENDPOINTS_LIMIT


def test_path_is_checked_while_a_loss_is_pending(
    losses, reachability, endpoints
):
    lose(losses, endpoints)
    assert reachability.services_in_doubt() == {"portal"}


def test_request_lost_at_endpoints_that_go_on_is_not_refused(
    losses, guard, reachability, endpoints, clock
):
    """Guards against condemning requests whose answers were broken off."""
    lose(losses, endpoints)
    clock.now_s += pending_losses.SETTLE_S
    for endpoint in endpoints:
        reachability.record_heard_from(endpoint)
    reachability.record_heard("portal")
    losses.review()
    assert not guard.is_refused(DIGEST)
    assert losses.pending == []


def test_bytes_on_their_way_do_not_show_that_an_endpoint_goes_on(
    losses, guard, reachability, endpoints, clock
):
    """Guards against missing a crash whose last bytes come after a loss."""
    lose(losses, endpoints)
    clock.now_s += 0.01
    for endpoint in endpoints:
        reachability.record_heard_from(endpoint)
    clock.now_s += pending_losses.SETTLE_S
    reachability.record_heard("portal")
    losses.review()
    assert guard.is_refused(DIGEST)


def test_former_start_of_an_endpoint_stays_lost(
    losses, guard, reachability, endpoints, clock
):
    """Guards against a restarted endpoint that hides its crash."""
    lose(losses, [dataclasses.replace(e, id=f"{e.id}@1") for e in endpoints])
    clock.now_s += pending_losses.SETTLE_S
    for endpoint in endpoints:
        restarted = dataclasses.replace(endpoint, id=f"{endpoint.id}@2")
        reachability.record_heard_from(restarted)
    reachability.record_heard("portal")
    losses.review()
    assert guard.is_refused(DIGEST)


def test_decisions_on_losses_are_logged_and_counted(
    guard, reachability, endpoints, clock
):
    """Guards against losses of which no log line tells why they count."""
    decisions = registry.Registry().counters(
        "losses_total", "Losses", ("decision",)
    )
    losses = pending_losses.PendingLosses(
        guard, reachability, clock, decisions
    )
    with structlog.testing.capture_logs() as lines:
        lose(losses, endpoints)
        clock.now_s += pending_losses.MAX_PENDING_S
        losses.review()
    counted = [one for one in lines if one["event"] == "loss_counted"]
    assert [one["endpoint"] for one in counted] == ["e0", "e1", "e2"]
    assert {one["reason"] for one in counted} == {"no endpoint has answered"}
    assert decisions.labelled("counted").value == len(counted)
