from __future__ import annotations

import collections
import dataclasses

import msgpack
import msgspec
import pytest
import structlog

from briarseam.crashes import loss_counts
from briarseam.crashes import loss_decisions
from briarseam.crashes import loss_keys
from briarseam.crashes import pending_losses
from briarseam.crashes import suspicion
from briarseam.discovery import model
from briarseam.metrics import registry
from briarseam.reachability import tracker
from tests import clocks

DIGEST = loss_keys.key_of_request("/status/1", "north", b"")


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
def counts(clock):
    return loss_counts.LossCounts(clock)


class Entries:
    """Endpoints' entries that are read all the time."""

    def __init__(self, endpoints, clock):
        self.endpoints = endpoints
        self.clock = clock

    def is_read(self):
        return True

    def is_known(self, endpoint_id):
        return any(one.id == endpoint_id for one in self.endpoints)

    def observed_s(self, endpoint_id, since_s):
        known = self.is_known(endpoint_id)
        return self.clock() - since_s if known else 0.0


@pytest.fixture
def entries(endpoints, clock):
    return Entries(endpoints, clock)


@pytest.fixture
def losses(counts, reachability, entries, clock):
    return pending_losses.PendingLosses(counts, reachability, entries, clock)


def is_counted(counts):
    """Return whether the request is suspected by losses that count."""
    return counts.suspects((DIGEST,)) == (DIGEST,)


def is_suspect(losses):
    """Return whether the request is suspected, also by undecided losses."""
    return DIGEST in losses.suspects((DIGEST,))


def lose(losses, endpoints):
    for endpoint in endpoints[: suspicion.LOST_ENDPOINTS_LIMIT]:
        losses.add(DIGEST, endpoint)
    losses.review()


def test_request_lost_with_the_path_is_not_refused(
    losses, counts, reachability, endpoints, clock
):
    """Guards against a cut that is taken for requests that crash endpoints."""
    lose(losses, endpoints)
    for endpoint in endpoints:
        reachability.record_unreached(endpoint)
    clock.now_s += 10.0
    losses.review()
    assert not is_counted(counts)
    assert losses.pending == []


def test_request_lost_with_a_path_that_is_back_is_not_refused(
    losses, counts, reachability, endpoints, clock
):
    lose(losses, endpoints)
    for endpoint in endpoints:
        reachability.record_unreached(endpoint)
    clock.now_s += 0.1
    reachability.record_service_reached("portal")
    reachability.record_heard("portal")
    losses.review()
    assert not is_counted(counts)


def test_request_that_crashes_endpoints_is_refused_once_others_answer(
    losses, counts, reachability, endpoints, clock
):
    lose(losses, endpoints)
    assert not is_counted(counts)
    clock.now_s += loss_decisions.SETTLE_S
    reachability.record_heard("portal")
    losses.review()
    assert is_counted(counts)


def test_request_that_crashes_endpoints_is_refused_without_other_traffic(
    losses, counts, endpoints, clock
):
    lose(losses, endpoints)
    clock.now_s += loss_decisions.MAX_PENDING_S
    losses.review()
    assert is_counted(counts)


def test_answer_that_was_on_its_way_settles_nothing(
    losses, counts, reachability, endpoints, clock
):
    """Guards against the last answer before a cut that proves the path."""
    lose(losses, endpoints)
    clock.now_s += 0.01
    reachability.record_heard("portal")
    losses.review()
    assert not is_counted(counts)
    assert len(losses.pending) == suspicion.LOST_ENDPOINTS_LIMIT


def test_path_is_checked_while_a_loss_is_pending(
    losses, reachability, endpoints
):
    lose(losses, endpoints)
    assert reachability.services_in_doubt() == {"portal"}


def test_request_lost_at_endpoints_that_go_on_is_not_refused(
    losses, counts, reachability, endpoints, clock
):
    """Guards against condemning requests whose answers were broken off."""
    lose(losses, endpoints)
    clock.now_s += loss_decisions.SETTLE_S
    for endpoint in endpoints:
        reachability.record_heard_from(endpoint)
    reachability.record_heard("portal")
    losses.review()
    assert not is_counted(counts)
    assert losses.pending == []


def test_bytes_on_their_way_do_not_show_that_an_endpoint_goes_on(
    losses, counts, reachability, endpoints, clock
):
    """Guards against missing a crash whose last bytes come after a loss."""
    lose(losses, endpoints)
    clock.now_s += 0.01
    for endpoint in endpoints:
        reachability.record_heard_from(endpoint)
    clock.now_s += loss_decisions.SETTLE_S
    reachability.record_heard("portal")
    losses.review()
    assert is_counted(counts)


def test_former_start_of_an_endpoint_stays_lost(
    losses, counts, reachability, endpoints, clock
):
    """Guards against a restarted endpoint that hides its crash."""
    lose(losses, [dataclasses.replace(e, id=f"{e.id}@1") for e in endpoints])
    clock.now_s += loss_decisions.SETTLE_S
    for endpoint in endpoints:
        restarted = dataclasses.replace(endpoint, id=f"{endpoint.id}@2")
        reachability.record_heard_from(restarted)
    reachability.record_heard("portal")
    losses.review()
    assert is_counted(counts)


def test_decisions_on_losses_are_logged_and_counted(
    counts, reachability, entries, endpoints, clock
):
    """Guards against losses of which no log line tells why they count."""
    decisions = registry.Registry().counters(
        "losses_total", "Losses", ("decision",)
    )
    losses = pending_losses.PendingLosses(
        counts, reachability, entries, clock, decisions=decisions
    )
    with structlog.testing.capture_logs() as lines:
        lose(losses, endpoints)
        clock.now_s += loss_decisions.MAX_PENDING_S
        losses.review()
    counted = [one for one in lines if one["event"] == "loss_counted"]
    assert [one["endpoint"] for one in counted] == ["e0", "e1", "e2"]
    assert {one["reason"] for one in counted} == {"no endpoint has answered"}
    assert decisions.labelled("counted").value == len(counted)


def cut_off(reachability, endpoints):
    """Have connections to all endpoints refused."""
    for endpoint in endpoints:
        reachability.record_unreached(endpoint)


def restart(endpoints):
    """Replace all endpoints by others, as their entries do."""
    endpoints[:] = [
        dataclasses.replace(one, id=f"{one.id}-next") for one in endpoints
    ]


@pytest.mark.parametrize("count", [1, 2, 3, 4, 6])
@pytest.mark.parametrize("gap_s", [0.0, 0.1, 0.4, 2.0])
@pytest.mark.parametrize("down_s", [1.2, 3.1])
def test_request_that_crashes_whole_services_is_refused(
    losses, counts, reachability, endpoints, clock, count, gap_s, down_s
):
    """Guards against repeats that crash a small service again and again."""
    del endpoints[count:]
    crashed = 0
    for _wave in range(12):
        down = []
        for endpoint in list(endpoints):
            if is_suspect(losses):
                break
            losses.add(DIGEST, endpoint)
            reachability.record_unreached(endpoint)
            down.append(endpoint)
            if len(down) < len(endpoints):
                reachability.record_heard("portal")
            clock.now_s += gap_s
            losses.review()
        crashed += len(down)
        clock.now_s += down_s
        restart(endpoints)
        reachability.record_service_reached("portal")
        losses.review()
        reachability.record_heard("portal")
    at_once = count if gap_s < loss_decisions.SETTLE_S else 0
    assert crashed <= max(suspicion.LOST_ENDPOINTS_LIMIT, at_once) + 1
    assert is_counted(counts)


def test_loss_is_held_while_no_endpoint_can_be_reached(
    losses, counts, reachability, endpoints, clock
):
    lose(losses, endpoints)
    cut_off(reachability, endpoints)
    clock.now_s += loss_decisions.MAX_PENDING_S
    losses.review()
    assert not is_counted(counts)
    assert is_suspect(losses)


def test_held_loss_counts_once_the_endpoint_has_ended(
    losses, counts, reachability, endpoints, clock
):
    lose(losses, endpoints)
    cut_off(reachability, endpoints)
    losses.review()
    clock.now_s += 3.0
    restart(endpoints)
    losses.review()
    assert is_counted(counts)
    assert losses.pending == []


def test_held_loss_counts_however_late_the_entry_goes(
    losses, counts, reachability, entries, endpoints, clock, monkeypatch
):
    """Guards against a crash that an outage of the store hides."""
    monkeypatch.setattr(entries, "observed_s", lambda *_: 0.0)
    lose(losses, endpoints)
    cut_off(reachability, endpoints)
    clock.now_s += 3 * losses.rules.expiry_s
    losses.review()
    assert is_suspect(losses)
    restart(endpoints)
    losses.review()
    assert is_counted(counts)


def test_held_loss_is_dropped_when_the_endpoint_answers_again(
    losses, counts, reachability, endpoints, clock
):
    lose(losses, endpoints)
    cut_off(reachability, endpoints)
    losses.review()
    clock.now_s += 2.0
    reachability.record_service_reached("portal")
    for endpoint in endpoints:
        reachability.record_heard_from(endpoint)
    losses.review()
    assert not is_suspect(losses)
    clock.now_s += losses.rules.expiry_s
    losses.review()
    assert not is_counted(counts)


def test_answers_of_the_next_start_do_not_hide_a_crash(
    losses, counts, reachability, endpoints, clock
):
    """Guards against a restart that is known only after its answers."""
    lose(losses, endpoints)
    clock.now_s += 1.0
    for endpoint in endpoints:
        reachability.record_heard_from(endpoint)
    losses.review()
    assert not is_counted(counts)
    clock.now_s += 1.0
    restart(endpoints)
    losses.review()
    assert is_counted(counts)


def test_counted_loss_is_withdrawn_when_the_start_is_back(
    losses, counts, reachability, endpoints, clock
):
    """Guards against condemning for endpoints that were cut off, too."""
    endpoints[:] = [
        dataclasses.replace(one, id=f"{one.id}@1") for one in endpoints
    ]
    behind_the_cut = list(endpoints)
    lose(losses, behind_the_cut)
    cut_off(reachability, endpoints)
    clock.now_s += 3.0
    endpoints.clear()
    losses.review()
    assert is_counted(counts)
    clock.now_s += 5.0
    endpoints.extend(behind_the_cut)
    for endpoint in endpoints:
        reachability.record_heard_from(endpoint)
    losses.review()
    assert not is_counted(counts)


def test_counted_loss_stays_where_starts_cannot_be_told_apart(
    losses, counts, reachability, endpoints, clock
):
    """Guards against a restart under the same id without a birth."""
    lose(losses, endpoints)
    clock.now_s += loss_decisions.MAX_PENDING_S
    losses.review()
    for endpoint in endpoints:
        reachability.record_heard_from(endpoint)
    clock.now_s += losses.rules.expiry_s
    losses.review()
    assert is_counted(counts)


def test_endpoint_that_ends_long_after_a_loss_has_not_crashed_by_it(
    losses, counts, reachability, endpoints, clock
):
    lose(losses, endpoints)
    cut_off(reachability, endpoints)
    clock.now_s += losses.rules.expiry_s + 0.1
    losses.review()
    restart(endpoints)
    losses.review()
    assert not is_counted(counts)
    assert losses.tracked == collections.deque()


def test_losses_that_were_counted_are_published_at_once(losses, clock):
    published = []
    losses.on_decided = lambda: published.append(clock.now_s)
    losses.add(DIGEST, model.Endpoint("gone", "portal", "10.0.0.9:1", "a", 8))
    losses.review()
    losses.review()
    assert published == [clock.now_s]


@pytest.fixture
def peer(clock, reachability, entries):
    return pending_losses.PendingLosses(
        loss_counts.LossCounts(clock), reachability, entries, clock
    )


def test_losses_of_an_instance_that_ends_count_at_its_peers(
    losses, peer, reachability, endpoints, clock
):
    """Guards against held losses that a restart of their instance forgets."""
    lose(losses, endpoints)
    cut_off(reachability, endpoints)
    losses.review()
    peer.consume("ends", losses.provide())
    peer.consume("ends", losses.provide())
    assert len(peer.tracked) == suspicion.LOST_ENDPOINTS_LIMIT
    clock.now_s += 3.0
    restart(endpoints)
    peer.review()
    assert is_counted(peer.counts)


def test_losses_that_peers_tell_are_logged_once(
    losses, peer, reachability, endpoints
):
    """Guards against sends of which no log tells what was known of peers."""
    lose(losses, endpoints)
    cut_off(reachability, endpoints)
    losses.review()
    with structlog.testing.capture_logs() as lines:
        peer.consume("other", losses.provide())
        peer.consume("third", losses.provide())
    told = [one for one in lines if one["event"] == "loss_at_peer"]
    assert [one["endpoint"] for one in told] == ["e0", "e1", "e2"]
    assert {one["peer"] for one in told} == {"other"}


def test_losses_of_peers_do_not_make_a_request_suspect(
    losses, peer, reachability, endpoints, clock
):
    """Guards against refusing at all instances what one lost with its path."""
    lose(losses, endpoints)
    cut_off(reachability, endpoints)
    losses.review()
    peer.consume("cut off", losses.provide())
    peer.review()
    clock.now_s += loss_decisions.MAX_PENDING_S
    peer.review()
    assert not is_suspect(peer)
    assert not is_counted(peer.counts)
    clock.now_s += peer.rules.expiry_s
    peer.review()
    assert peer.tracked == collections.deque()


def tell_of(peer, member, endpoints, age_ms=500):
    """Have a peer tell that it has lost the request at endpoints."""
    rows = [
        pending_losses.PublishedLoss(DIGEST, one.id, "portal", age_ms)
        for one in endpoints
    ]
    peer.consume(member, msgspec.msgpack.encode(rows))
    peer.review()


@pytest.mark.parametrize("told_by", [("a", "a", "b"), ("a", "b", "c")])
def test_request_that_several_peers_have_lost_is_suspect(
    peer, endpoints, told_by
):
    """Guards against sending it on until the entries of all have gone."""
    for member, endpoint in zip(told_by, endpoints[:3], strict=True):
        assert not is_suspect(peer)
        tell_of(peer, member, [endpoint])
    assert is_suspect(peer)
    assert not is_counted(peer.counts)


def test_losses_of_a_peer_are_believed_beside_one_that_counts(
    peer, endpoints, clock
):
    """Guards against a lone witness who is not believed."""
    tell_of(peer, "a", endpoints[:3])
    assert not is_suspect(peer)
    ended = endpoints.pop(0)
    peer.review()
    assert not peer.entries.is_known(ended.id)
    assert is_suspect(peer)


def test_losses_of_a_peer_are_believed_where_its_endpoints_fail_here_as_well(
    peer, reachability, endpoints
):
    """Guards against a lone witness of endpoints that are down for all."""
    tell_of(peer, "a", endpoints[:3])
    for endpoint in endpoints[:3]:
        assert not is_suspect(peer)
        reachability.record_unreached(endpoint)
    assert is_suspect(peer)
    reachability.record_unreached(endpoints[3])
    assert not is_suspect(peer)


def test_request_that_peers_lost_at_endpoints_that_go_on_is_not_suspect(
    peer, reachability, endpoints, clock
):
    """Guards against refusing what a zone without paths has lost."""
    tell_of(peer, "a", endpoints[:2])
    tell_of(peer, "b", endpoints[2:3])
    for endpoint in endpoints[:3]:
        reachability.record_heard_from(endpoint)
    peer.review()
    assert not is_suspect(peer)


def test_malformed_losses_of_a_peer_change_nothing(peer):
    with pytest.raises(ValueError):
        peer.consume("other", b"\x91\x01")
    assert peer.tracked == collections.deque()


PART = b"part"


def test_counted_loss_speaks_against_parts_of_its_prompt(
    losses, reachability, endpoints, clock
):
    """Guards against losses that are counted by the whole request only."""
    for number, endpoint in enumerate(endpoints[:3]):
        losses.add(b"%d" % number, endpoint, (PART,))
    clock.now_s += loss_decisions.MAX_PENDING_S
    losses.review()
    assert losses.counts.suspects((PART,)) == (PART,)


def test_withdrawn_loss_speaks_against_no_part(
    losses, reachability, endpoints, clock
):
    endpoints[:] = [
        dataclasses.replace(one, id=f"{one.id}@1") for one in endpoints
    ]
    for number, endpoint in enumerate(endpoints[:3]):
        losses.add(b"%d" % number, endpoint, (PART,))
    clock.now_s += loss_decisions.MAX_PENDING_S
    losses.review()
    for endpoint in endpoints:
        reachability.record_heard_from(endpoint)
    losses.review()
    assert losses.counts.endpoints_of(PART) == frozenset()


def test_peers_know_which_parts_may_crash_endpoints(
    losses, peer, reachability, endpoints, clock
):
    """Guards against a second wave sent by those that lost nothing."""
    for number, endpoint in enumerate(endpoints[:3]):
        losses.add(b"%d" % number, endpoint, (PART,))
    cut_off(reachability, endpoints)
    losses.review()
    peer.consume("other", losses.provide())
    assert len(peer.undecided_s(PART)) == 3
    assert peer.counts.suspects((PART,)) == ()
    clock.now_s += 3.0
    restart(endpoints)
    peer.review()
    assert peer.undecided_s(PART) == {}
    assert peer.counts.suspects((PART,)) == (PART,)


def test_losses_of_peers_that_tell_no_parts_are_tracked(peer):
    """Guards against instances of two versions beside each other."""
    peer.consume("other", msgpack.packb([[DIGEST, "e1", "portal", 10]]))
    assert [loss.parts for loss in peer.tracked] == [()]


def test_repeated_losses_are_told_first(losses, peer, endpoints, clock):
    """Guards against a crowd of sound requests that hides a repeat."""
    for endpoint in endpoints[:2]:
        losses.add(DIGEST, endpoint)
    clock.now_s += 0.1
    for number in range(pending_losses.MAX_PUBLISHED + 10):
        losses.add(b"%d" % number, endpoints[3])
    clock.now_s += loss_decisions.MAX_PENDING_S
    losses.review()
    peer.consume("other", losses.provide())
    told = [loss.endpoint.id for loss in peer.tracked if loss.digest == DIGEST]
    assert sorted(told) == ["e0", "e1"]


def test_broken_off_answers_do_not_make_a_request_suspect(losses, endpoints):
    """Guards against refusing what endpoints that go on have broken off."""
    lose(losses, endpoints)
    assert len(losses.pending) == suspicion.LOST_ENDPOINTS_LIMIT
    assert not is_suspect(losses)
