"""Handling of replies to heartbeats."""

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
    local_agent = state.LocalAgent("a", "rumoi", "127.0.0.1:1", ())
    table = tables.Table(local_agent, cells.whole_zone, LIMIT_S, clock)
    return replies.ReplyHandler(table, freshnesses.Freshness(LIMIT_S, clock))


def test_reply_is_dated_by_when_its_heartbeat_was_sent(handler, clock):
    """A process that was suspended after sending a heartbeat reads the reply
    when it resumes: the peer was alive then, and may be gone since.
    """
    sent_at = clock()
    clock.now_s += 60
    handler.freshness.record_tick()
    handler.apply_about(PEER, sent_at)
    assert handler.table.records["b"].silent_s(clock()) == 60
    assert not handler.freshness.is_fresh(has_peers=True)


def test_reply_of_another_incarnation_is_no_contact(handler, clock):
    handler.apply_about(PEER, clock())
    clock.now_s += 1
    handler.apply_alive("b", PEER.incarnation + 1, clock())
    assert handler.table.records["b"].silent_s(clock()) == 1
    handler.apply_alive("b", PEER.incarnation, clock())
    assert handler.table.records["b"].silent_s(clock()) == 0


def test_superseded_process_is_not_fresh_until_next_reply(handler, clock):
    """A suspended process resumes after its replacement has started.  It must
    not decide about requests by its outdated view.
    """
    handler.freshness.record_tick()
    handler.apply_about(PEER, clock())
    handler.apply_superseded()
    assert not handler.freshness.is_fresh(has_peers=True)
    handler.apply_about(PEER, clock())
    assert handler.freshness.is_fresh(has_peers=True)


def test_agent_reported_by_peer_has_no_contact_yet(handler):
    handler.apply_peers(messages.Peers((PEER,)))
    assert handler.table.records["b"].last_contact_at is None


def test_heartbeats_are_counted_by_outcome(handler):
    for answered in (True, False, True):
        handler.count_heartbeat(answered)
    assert (handler.heartbeats_answered, handler.heartbeats_failed) == (2, 1)
