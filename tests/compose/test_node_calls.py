from __future__ import annotations

import types

import pytest

from briarseam.compose import node_calls
from briarseam.forwarding import loss_sharing
from briarseam.membership import state
from briarseam.placement import cell_loads
from briarseam.placement import shared_watch
from briarseam.placement import store_messages
from briarseam.wire import connection
from briarseam.wire import replies

ALIVE = state.MemberState.ALIVE
ASKED = store_messages.StoresAsked((), 0.0)


def member(name, cell, how=ALIVE):
    return state.Member(name, "north", cell, f"{name}:1", (), how)


MEMBERS = [
    member("a1", "a"),
    member("a2", "a"),
    member("b1", "b"),
    member("b2", "b"),
    member("c1", "c", state.MemberState.SUSPECT),
]
WEIGHTS = {"b2": 1000.0, "a1": 1000.0}


class Peer:
    """Answers each call with what it is given."""

    def __init__(self, reply):
        self.reply = reply

    def call(self, message, timeout_s):
        if isinstance(self.reply, Exception):
            raise self.reply
        return self.reply


def calls(own_name="a1", reply=None):
    service = types.SimpleNamespace(
        local_member=member(own_name, "a"),
        members=lambda: MEMBERS[:2],
        client=lambda name: Peer(reply),
        identity=connection.Identity("agent", own_name),
        key=b"key",
    )
    instances = types.SimpleNamespace(
        own_name=own_name,
        membership=service,
        all=lambda: MEMBERS,
        names_in_cell=lambda: ["a1", "a2"],
        weight_of=lambda name: WEIGHTS.get(name, 1.0),
    )
    return node_calls.PeerCalls(instances)


def test_strongest_of_a_cell_speaks_for_it():
    assert calls("a1").is_speaker()
    assert not calls("a2").is_speaker()


def test_one_live_instance_of_each_other_cell_is_told():
    assert calls().addresses() == ["b2:1"]


def test_nobody_is_told_or_asked_before_peers_are_met():
    made = calls()
    made.instances.membership = None
    with pytest.raises(replies.NoReplyError):
        made.send_losses("b2:1", loss_sharing.RequestsLost(()))
    with pytest.raises(replies.NoReplyError):
        made.publish_load("b2:1", cell_loads.CellLoad("a", 2, ()))
    with pytest.raises(shared_watch.ReaderUnavailableError):
        made.read_stores("a2", ASKED, 1.0)
    assert made.name() == ""


@pytest.mark.parametrize(
    "reply",
    [
        pytest.param(connection.WireError("cut"), id="no answer"),
        pytest.param(loss_sharing.RequestsLostNoted(), id="another answer"),
    ],
)
def test_answer_that_is_none_is_told_apart(reply):
    with pytest.raises(shared_watch.ReaderUnavailableError):
        calls(reply=reply).read_stores("a2", ASKED, 1.0)


def test_answer_is_handed_on():
    told = store_messages.StoresTold(True, ())
    assert calls(reply=told).read_stores("a2", ASKED, 1.0) == told
