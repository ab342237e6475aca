from __future__ import annotations

import types

import pytest

from briarseam.compose import node_calls
from briarseam.crashes import loss_sharing
from briarseam.membership import state
from briarseam.placement import cell_loads
from briarseam.placement import shared_watch
from briarseam.placement import store_messages
from briarseam.wire import connection
from briarseam.wire import replies

ALIVE = state.MemberState.ALIVE
QUERY = store_messages.StoresAsked((), 0.0)


def member(name, cell, status=ALIVE):
    return state.Member(name, "north", cell, f"{name}:1", (), status)


MEMBERS = [
    member("a1", "a"),
    member("a2", "a"),
    member("b1", "b"),
    member("b2", "b"),
    member("c1", "c", state.MemberState.SUSPECT),
]
WEIGHTS = {"b2": 1000.0, "a1": 1000.0}


class Peer:
    """Answers each call with a given reply, or raises it."""

    def __init__(self, reply):
        self.reply = reply

    def call(self, message, timeout_s):
        if isinstance(self.reply, Exception):
            raise self.reply
        return self.reply


def make_calls(own_name="a1", reply=None):
    membership = types.SimpleNamespace(
        local_member=member(own_name, "a"),
        members=lambda: MEMBERS[:2],
        client=lambda name: Peer(reply),
        identity=connection.Identity("agent", own_name),
        key=b"key",
    )
    instances = types.SimpleNamespace(
        own_name=own_name,
        membership=membership,
        all=lambda: MEMBERS,
        names_in_cell=lambda: ["a1", "a2"],
        weight_of=lambda name: WEIGHTS.get(name, 1.0),
    )
    return node_calls.PeerCalls(instances)


def test_highest_ranked_instance_is_the_speaker_of_its_cell():
    assert make_calls("a1").is_speaker()
    assert not make_calls("a2").is_speaker()


def test_addresses_are_of_one_alive_instance_of_each_other_cell():
    assert make_calls().addresses() == ["b2:1"]


def test_calls_fail_before_peers_are_joined():
    peer_calls = make_calls()
    peer_calls.instances.membership = None
    with pytest.raises(replies.NoReplyError):
        peer_calls.send_losses("b2:1", loss_sharing.KeysLost(()))
    with pytest.raises(replies.NoReplyError):
        peer_calls.publish_load("b2:1", cell_loads.CellLoad("a", 2, ()))
    with pytest.raises(shared_watch.ReaderUnavailableError):
        peer_calls.read_stores("a2", QUERY, 1.0)
    assert peer_calls.name() == ""


@pytest.mark.parametrize(
    "reply",
    [
        pytest.param(connection.WireError("cut"), id="no answer"),
        pytest.param(loss_sharing.KeysLostNoted(), id="another answer"),
    ],
)
def test_missing_or_unexpected_answer_makes_the_reader_unavailable(reply):
    with pytest.raises(shared_watch.ReaderUnavailableError):
        make_calls(reply=reply).read_stores("a2", QUERY, 1.0)


def test_answer_of_the_reader_is_returned():
    answer = store_messages.StoresTold(True, ())
    assert make_calls(reply=answer).read_stores("a2", QUERY, 1.0) == answer
