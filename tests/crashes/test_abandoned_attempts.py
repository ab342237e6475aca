"""Requests that crash their endpoint after their callers have left."""

from __future__ import annotations

import pytest

from briarseam.crashes import abandoned_attempts
from briarseam.crashes import loss_counts
from briarseam.crashes import loss_decisions
from briarseam.crashes import loss_keys
from briarseam.crashes import pending_losses
from briarseam.discovery import model
from briarseam.reachability import tracker
from tests import clocks

REQUEST = loss_keys.key_of_request("/status/1", "north", b"")
OTHER = loss_keys.key_of_request("/status/2", "north", b"")
PART = loss_keys.key_of_part("drafts", "", "aa")


class Entries:
    """Entries that are read all the time."""

    def __init__(self, endpoints):
        self.ids = {one.id for one in endpoints}

    def is_read(self):
        return True

    def is_known(self, endpoint_id):
        return endpoint_id in self.ids

    def observed_s(self, endpoint_id, since_s):
        return 0.0


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
def entries(endpoints):
    return Entries(endpoints)


@pytest.fixture
def reachability(endpoints, clock):
    return tracker.Reachability(lambda service: endpoints, clock)


@pytest.fixture
def losses(reachability, entries, clock):
    counts = loss_counts.LossCounts(clock)
    return pending_losses.PendingLosses(counts, reachability, entries, clock)


def abandon(losses, endpoints, is_stopping=False):
    for endpoint in endpoints[:3]:
        losses.add_abandoned(REQUEST, endpoint, (PART,), is_stopping)


def counted(losses):
    """Return at how many endpoints the request and its part were lost."""
    losses.review()
    return [len(losses.counts.endpoints_of(key)) for key in (REQUEST, PART)]


def test_request_counts_once_its_endpoints_have_ended(
    losses, endpoints, entries, clock
):
    """Guards against crashes that nobody counts as the callers have left."""
    abandon(losses, endpoints)
    clock.now_s += 3.0
    assert counted(losses) == [0, 0]
    entries.ids.clear()
    assert counted(losses) == [3, 3]


def test_request_counts_once_connections_to_its_endpoints_fail(
    losses, reachability, endpoints, clock
):
    """Guards against a crash that counts only when its entry has gone."""
    abandon(losses, endpoints)
    clock.now_s += 0.1
    for endpoint in endpoints[:3]:
        reachability.record_unreached(endpoint)
    clock.now_s += loss_decisions.SETTLE_S
    reachability.record_heard("portal")
    assert counted(losses) == [3, 3]


def test_request_is_suspected_beside_others_that_are_lost(
    losses, endpoints, clock
):
    """Guards against arrivals until the endpoints' entries have gone."""
    abandon(losses, endpoints)
    clock.now_s += 0.1
    for number, endpoint in enumerate(endpoints[:3]):
        losses.add(b"%d" % number, endpoint)
    assert losses.suspects((REQUEST, PART)).keys() == {REQUEST, PART}


def test_request_does_not_count_as_other_endpoints_answer(
    losses, reachability, endpoints, clock
):
    """Guards against blaming impatient callers for a broken answer."""
    abandon(losses, endpoints)
    clock.now_s += 0.1
    for number, endpoint in enumerate(endpoints[:3]):
        losses.add(b"%d" % number, endpoint)
    clock.now_s += loss_decisions.MAX_PENDING_S
    reachability.record_heard("portal")
    assert counted(losses) == [0, 0]


def test_request_does_not_count_while_its_endpoints_go_on(
    losses, reachability, endpoints, entries, clock
):
    """Guards against blaming what was abandoned long before a crash."""
    abandon(losses, endpoints)
    clock.now_s += abandoned_attempts.RUN_ON_S
    for endpoint in endpoints:
        reachability.record_heard_from(endpoint)
    losses.review()
    assert not losses.abandoned.attempts
    entries.ids.clear()
    assert counted(losses) == [0, 0]


def test_request_whose_endpoints_keep_their_entries_is_forgotten(
    losses, endpoints, entries, clock
):
    abandon(losses, endpoints)
    clock.now_s += abandoned_attempts.MAX_AGE_S
    assert counted(losses) == [0, 0]
    entries.ids.clear()
    assert counted(losses) == [0, 0]


def test_endpoint_that_says_nothing_is_checked_once(
    losses, reachability, endpoints, clock
):
    """Guards against a crash that shows late where few requests come."""
    abandon(losses, endpoints)
    losses.review()
    assert reachability.take_doubted() == []
    clock.now_s += abandoned_attempts.CHECK_AFTER_S
    reachability.record_heard_from(endpoints[0])
    losses.review()
    assert reachability.take_doubted() == endpoints[1:3]
    losses.review()
    assert reachability.take_doubted() == []


def test_peers_of_an_instance_that_stops_hear_what_it_ended(
    losses, reachability, endpoints, entries, clock
):
    """Guards against losses that a stop of the instance forgets."""
    told = []
    losses.on_decided = lambda: told.append(losses.provide())
    abandon(losses, endpoints, is_stopping=True)
    peer = pending_losses.PendingLosses(
        loss_counts.LossCounts(clock), reachability, entries, clock
    )
    peer.consume("stops", told[-1])
    clock.now_s += 3.0
    assert counted(peer) == [0, 0]
    entries.ids.clear()
    assert counted(peer) == [3, 3]


def test_number_of_harmless_requests_is_bounded(
    losses, reachability, endpoints, clock
):
    """Guards against callers who fill the memory with requests."""
    for number in range(abandoned_attempts.MAX_HARMLESS + 10):
        if number % 1000 == 0:
            clock.now_s += abandoned_attempts.RUN_ON_S
            reachability.record_heard_from(endpoints[0])
            losses.review()
        losses.add_abandoned(b"%d" % number, endpoints[0], (), False)
    clock.now_s += abandoned_attempts.RUN_ON_S
    reachability.record_heard_from(endpoints[0])
    losses.review()
    kept = len(losses.abandoned.harmless_s)
    assert kept == abandoned_attempts.MAX_HARMLESS


def test_number_of_attempts_is_bounded(losses, endpoints):
    for _ in range(abandoned_attempts.MAX_ATTEMPTS + 10):
        losses.add_abandoned(OTHER, endpoints[0], (), False)
    kept = len(losses.abandoned.attempts)
    assert kept == abandoned_attempts.MAX_ATTEMPTS
