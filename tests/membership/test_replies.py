"""What answers to heartbeats change."""

from __future__ import annotations

import pytest

from briarseam.membership import cells
from briarseam.membership import freshness as freshnesses
from briarseam.membership import messages
from briarseam.membership import replies
from briarseam.membership import state
from briarseam.membership import table as tables
from tests import clocks

LIMIT_S = 3.0
PEER = messages.About("b", "rumoi", "127.0.0.1:2", (), 9, False)


@pytest.fixture
def clock() -> clocks.ManualClock:
    return clocks.ManualClock()


@pytest.fixture
def handler(clock) -> replies.ReplyHandler:
    me = state.LocalAgent("a", "rumoi", "127.0.0.1:1", ())
    table = tables.Table(me, cells.whole_zone, LIMIT_S, clock)
    return replies.ReplyHandler(table, freshnesses.Freshness(LIMIT_S, clock))


def test_answer_read_after_a_freeze_is_as_old_as_its_heartbeat(handler, clock):
    """A process sends a heartbeat and is frozen.  On waking it finds the
    answer: the peer lived then, and may be long gone now.
    """
    sent_at = clock()
    clock.now_s += 60
    handler.freshness.note_tick()
    handler.take_about(PEER, sent_at)
    assert handler.table.records["b"].silent_s(clock()) == 60
    assert not handler.freshness.is_fresh(has_peers=True)


def test_answer_of_another_start_is_no_sign_of_the_known_one(handler, clock):
    handler.take_about(PEER, clock())
    clock.now_s += 1
    handler.take_alive("b", PEER.incarnation + 1, clock())
    assert handler.table.records["b"].silent_s(clock()) == 1
    handler.take_alive("b", PEER.incarnation, clock())
    assert handler.table.records["b"].silent_s(clock()) == 0


def test_superseded_process_is_not_fresh_until_it_is_answered(handler, clock):
    """A frozen process wakes beside its replacement.  What it believes must
    not decide about requests.
    """
    handler.freshness.note_tick()
    handler.take_about(PEER, clock())
    handler.take_superseded()
    assert not handler.freshness.is_fresh(has_peers=True)
    handler.take_about(PEER, clock())
    assert handler.freshness.is_fresh(has_peers=True)


def test_agent_that_a_peer_hears_is_known_and_not_yet_heard(handler):
    handler.take_peers(messages.Peers((PEER,)))
    assert handler.table.records["b"].heard_at is None


def test_heartbeats_are_counted_by_outcome(handler):
    for answered in (True, False, True):
        handler.count_beat(answered)
    assert (handler.heartbeats_answered, handler.heartbeats_failed) == (2, 1)
