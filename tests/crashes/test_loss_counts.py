from __future__ import annotations

import msgpack
import pytest

from briarseam.crashes import loss_counts
from briarseam.crashes import suspicion
from briarseam.forwarding import calls
from briarseam.forwarding import crash_checks
from tests import clocks

CRASHING = b"crashing"
FIRST = b"first"
SUBJECT = b"subject"
LIMIT = suspicion.LOST_ENDPOINTS_LIMIT
ANSWERED_LIMIT = suspicion.ANSWERED_ENDPOINTS_LIMIT


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def losses(clock):
    return loss_counts.LossCounts(clock)


def names(count, first=0):
    return [f"e{number}" for number in range(first, first + count)]


def lose(losses, parts, endpoints):
    """Lose a prompt at endpoints, one after the other."""
    for endpoint in endpoints:
        for part in losses.blamed(parts):
            losses.record_loss(part, endpoint, losses.clock())


def tell(losses, peer, member="peer"):
    """Have a heartbeat of an instance arrive at a peer."""
    peer.consume(member, losses.provide())
    peer.consume_clearings(member, losses.provide_clearings())


def test_part_lost_at_three_endpoints_is_suspected(losses):
    """Guards against counting only repeats of a whole request."""
    lose(losses, (CRASHING,), names(LIMIT - 1))
    assert losses.suspects((CRASHING,)) == ()
    lose(losses, (CRASHING,), names(LIMIT))
    assert losses.suspects((CRASHING,)) == (CRASHING,)


def test_lost_prompt_speaks_against_its_unanswered_parts(losses, clock):
    """Guards against refusing all that shares a caller's first part."""
    losses.record_answer((FIRST, SUBJECT), clock())
    clock.now_s += 1
    assert losses.blamed((FIRST, SUBJECT, CRASHING)) == (CRASHING,)
    assert losses.blamed((FIRST, SUBJECT)) == (FIRST, SUBJECT)
    lose(losses, (FIRST, SUBJECT, CRASHING), names(8))
    assert losses.suspects((FIRST, SUBJECT, CRASHING)) == (CRASHING,)


def test_answer_clears_the_losses_before_it(losses, clock):
    lose(losses, (FIRST,), names(LIMIT))
    clock.now_s += 1
    losses.record_answer((FIRST,), clock())
    assert losses.suspects((FIRST,)) == ()
    assert losses.endpoints_of(FIRST) == frozenset()


def test_answer_that_began_before_a_loss_does_not_clear_it(losses, clock):
    """Guards against old answers that clear what crashes endpoints now."""
    began_s = clock()
    clock.now_s += 1
    lose(losses, (CRASHING,), names(LIMIT))
    losses.record_answer((CRASHING,), began_s)
    assert losses.endpoints_of(CRASHING) == frozenset(names(LIMIT))


def test_part_that_was_answered_lately_has_a_higher_limit(losses, clock):
    losses.record_answer((FIRST,), clock())
    clock.now_s += 1
    lose(losses, (FIRST,), names(ANSWERED_LIMIT - 1))
    assert losses.suspects((FIRST,)) == ()
    lose(losses, (FIRST,), names(ANSWERED_LIMIT))
    assert losses.suspects((FIRST,)) == (FIRST,)


def test_part_that_began_to_crash_endpoints_is_suspected(losses, clock):
    """Guards against trusting for ever a part that was answered once."""
    losses.record_answer((FIRST, CRASHING), clock())
    for number in range(ANSWERED_LIMIT):
        clock.now_s += 1
        lose(losses, (FIRST, CRASHING), names(1, number))
        if number < ANSWERED_LIMIT - 1:
            losses.record_answer((FIRST,), clock() + 0.5)
    assert losses.suspects((FIRST, CRASHING)) == (CRASHING,)


def test_suspected_part_explains_what_was_lost_with_it(losses, clock):
    """Guards against blaming prompts that crashes take along."""
    losses.record_answer((FIRST,), clock())
    clock.now_s += 1
    lose(losses, (FIRST,), names(ANSWERED_LIMIT))
    assert losses.suspects((FIRST,)) == (FIRST,)
    lose(losses, (FIRST, CRASHING), names(ANSWERED_LIMIT))
    assert losses.suspects((FIRST, CRASHING)) == (CRASHING,)
    explained = losses.current().causes[CRASHING]
    assert explained == frozenset(names(ANSWERED_LIMIT))


def test_companion_of_a_crashing_part_is_freed_by_further_crashes(losses):
    """Guards against blaming a part that came along with some crashes."""
    lose(losses, (SUBJECT, CRASHING), names(LIMIT))
    assert losses.suspects((SUBJECT, CRASHING)) == (SUBJECT, CRASHING)
    lose(losses, (CRASHING,), names(1, LIMIT))
    assert losses.suspects((SUBJECT, CRASHING)) == (CRASHING,)


def test_two_crashing_parts_are_both_suspected(losses):
    lose(losses, (CRASHING,), names(LIMIT + 1))
    lose(losses, (SUBJECT,), names(LIMIT, 10))
    assert set(losses.suspects((CRASHING, SUBJECT))) == {CRASHING, SUBJECT}


def test_losses_of_several_instances_add_up(losses, clock):
    """Guards against a part that each instance has lost once only."""
    peers = [loss_counts.LossCounts(clock) for _ in range(LIMIT)]
    for number, peer in enumerate(peers):
        lose(peer, (CRASHING,), names(1, number))
        tell(peer, losses, f"peer-{number}")
    assert losses.suspects((CRASHING,)) == (CRASHING,)


def test_answer_at_one_instance_clears_a_part_at_its_peers(losses, clock):
    """Guards against a part that stays refused where it was not answered."""
    peer = loss_counts.LossCounts(clock)
    lose(losses, (FIRST,), names(LIMIT))
    tell(losses, peer)
    assert peer.suspects((FIRST,)) == (FIRST,)
    clock.now_s += 1
    cleared = []
    losses.on_cleared = lambda: cleared.append(clock())
    losses.record_answer((FIRST,), clock())
    assert cleared == [clock()]
    tell(losses, peer)
    assert peer.suspects((FIRST,)) == ()


def test_answer_clears_what_another_instance_has_lost(losses, clock):
    """Guards against losses that a third instance goes on to tell."""
    loser = loss_counts.LossCounts(clock)
    lose(loser, (FIRST,), names(LIMIT))
    peer = loss_counts.LossCounts(clock)
    for other in (losses, peer):
        tell(loser, other, "loser")
    clock.now_s += 1
    losses.record_answer((FIRST,), clock())
    tell(losses, peer, "answered")
    tell(loser, peer, "loser")
    assert peer.suspects((FIRST,)) == ()


def test_clearing_is_applied_once(losses, clock):
    """Guards against an old answer that clears the losses after it."""
    peer = loss_counts.LossCounts(clock)
    lose(losses, (FIRST,), names(LIMIT))
    tell(losses, peer)
    clock.now_s += 1
    losses.record_answer((FIRST,), clock())
    tell(losses, peer)
    clock.now_s += 1
    lose(peer, (FIRST,), names(ANSWERED_LIMIT, 10))
    tell(losses, peer)
    assert peer.suspects((FIRST,)) == (FIRST,)


def test_losses_expire(losses, clock):
    lose(losses, (CRASHING,), names(LIMIT))
    clock.now_s += loss_counts.LOSS_TTL_S
    losses.forget_expired()
    assert losses.suspects((CRASHING,)) == ()
    assert losses.local == {}


def test_losses_stay_while_prompts_with_the_part_are_refused(losses, clock):
    """Guards against a part that crashes endpoints anew each minute."""
    lose(losses, (CRASHING,), names(LIMIT))
    for _ in range(10):
        clock.now_s += loss_counts.LOSS_TTL_S / 2
        losses.record_refusal((CRASHING,))
        losses.forget_expired()
        assert losses.suspects((CRASHING,)) == (CRASHING,)


def test_refusing_instance_keeps_what_a_peer_has_told(losses, clock):
    """Guards against forgetting with the instance that lost the prompts."""
    peer = loss_counts.LossCounts(clock)
    lose(peer, (CRASHING,), names(LIMIT))
    tell(peer, losses)
    losses.record_refusal((CRASHING,))
    losses.consume("peer", msgpack.packb([]))
    assert losses.suspects((CRASHING,)) == (CRASHING,)


def test_losses_of_a_peer_that_is_gone_count_until_they_expire(losses, clock):
    peer = loss_counts.LossCounts(clock)
    lose(peer, (CRASHING,), names(LIMIT))
    tell(peer, losses)
    clock.now_s += loss_counts.LOSS_TTL_S - 1
    losses.forget_expired()
    assert losses.suspects((CRASHING,)) == (CRASHING,)
    clock.now_s += 2
    losses.forget_expired()
    assert losses.by_peer == {}


def test_withdrawn_loss_counts_no_more(losses):
    lose(losses, (CRASHING,), names(LIMIT))
    losses.withdraw_loss(CRASHING, "e0")
    assert losses.suspects((CRASHING,)) == ()


def test_many_parts_do_not_crowd_out_a_suspected_one(losses, clock):
    """Guards against a caller that invents parts without end."""
    lose(losses, (CRASHING,), names(LIMIT))
    for number in range(loss_counts.MAX_LOST + 100):
        clock.now_s += 0.001
        losses.record_loss(b"%d" % number, "e9", clock())
    assert len(losses.local) <= loss_counts.MAX_LOST
    assert losses.suspects((CRASHING,)) == (CRASHING,)
    peer = loss_counts.LossCounts(clock)
    tell(losses, peer)
    assert peer.suspects((CRASHING,)) == (CRASHING,)


def test_number_of_remembered_answers_is_bounded(losses, monkeypatch):
    monkeypatch.setattr(loss_counts, "MAX_ANSWERED", 2)
    for number in range(4):
        losses.record_answer((bytes([number]),), losses.clock())
    assert list(losses.answered_s) == [b"\2", b"\3"]


def test_heartbeats_change_with_news_only(losses, clock):
    """Guards against heartbeats that carry the same losses each time."""
    lose(losses, (CRASHING,), names(LIMIT))
    before = losses.provide()
    clock.now_s += 10
    assert losses.provide() == before


@pytest.mark.parametrize("row", [[1, ["e1"]], [b"part", [1]], [b"part"]])
def test_malformed_losses_of_a_peer_keep_its_earlier_ones(losses, row):
    losses.consume("peer", msgpack.packb([[CRASHING, ["e1"]]]))
    with pytest.raises(ValueError):
        losses.consume("peer", msgpack.packb([row]))
    assert losses.endpoints_of(CRASHING) == {"e1"}


def prompt(*ids):
    parts = tuple(calls.PromptPart(id, 100) for id in ids)
    return calls.Prompt("drafts", 1000, 50, parts)


def test_last_part_and_requests_without_prompts_have_no_key():
    assert crash_checks.keys_of_parts(None, "") == {}
    assert list(
        crash_checks.keys_of_parts(prompt("aa", "bb"), "").values()
    ) == ["aa"]


def test_isolated_organisation_has_keys_of_its_own():
    """Guards against losses of one that refuse, or tell of, its prompts."""
    shared = crash_checks.keys_of_parts(prompt("aa", "bb"), "").keys()
    north = crash_checks.keys_of_parts(prompt("aa", "bb"), "north").keys()
    south = crash_checks.keys_of_parts(prompt("aa", "bb"), "south").keys()
    assert not shared & north
    assert not north & south
