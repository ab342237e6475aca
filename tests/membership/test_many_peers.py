from __future__ import annotations

import threading

import pytest

from briarseam.membership import messages
from briarseam.membership import replies
from briarseam.membership import service
from briarseam.membership import state
from briarseam.testing import waiting
from briarseam.wire import connection as connections
from briarseam.wire import event_loop
from briarseam.wire import server
from tests.membership import nodes as helpers

PEERS = 200
MAX_THREADS = 10
TIMEOUT_S = 60.0


def peer_about(name, address):
    return messages.About(name, "rumoi", address, (), 1, False)


class Peer:
    """A peer that replies to heartbeats, on an event loop shared by all."""

    def __init__(self, name, loop):
        self.name = name
        self.heartbeats = 0
        self.router = server.Router()
        self.router.on_nonblocking(messages.Introduction, self.on_introduction)
        self.router.on_nonblocking(messages.Heartbeat, self.on_heartbeat)
        me = connections.Identity("agent", name)
        self.server = server.Server(
            "127.0.0.1:0", me, helpers.KEY, self.router, loop=loop
        )
        self.server.start()

    def on_introduction(self, peer, message):
        return messages.Introduced(
            peer_about(self.name, self.server.address), 0
        )

    def on_heartbeat(self, peer, message):
        self.heartbeats += 1
        return messages.Alive(1, 0)


@pytest.fixture
def loop():
    made = event_loop.EventLoop("many-peers")
    made.start()
    yield made
    made.stop()


@pytest.fixture
def peers(loop, listing):
    made = [Peer(f"peer-{number}", loop) for number in range(PEERS)]
    for peer in made:
        listing.put(peer.name, peer.server.address)
    yield made
    for peer in made:
        peer.server.stop()


def test_threads_do_not_grow_with_peers(listing, peers, loop):
    """An instance must be able to start in a large deployment.

    With a thread for the heartbeats to each peer and one for each connection
    from a peer, the machine reaches its limit of threads, and the thread that
    connects to peers fails.
    """
    before = threading.active_count()
    router = server.Router()
    me = connections.Identity("agent", "me")
    listener = server.Server("127.0.0.1:0", me, helpers.KEY, router, loop=loop)
    membership = service.Membership(
        state.LocalAgent("me", "rumoi", listener.address, ()),
        listing,
        helpers.KEY,
        heartbeat_interval_s=0.5,
        suspect_after_s=20.0,
        list_interval_s=helpers.INTERVAL_S,
        loop=loop,
    )
    membership.register(router)
    listener.start()
    membership.start()
    try:
        waiting.until(
            lambda: all(peer.heartbeats for peer in peers),
            TIMEOUT_S,
            "heartbeats",
        )
        assert len(membership.live()) == PEERS + 1
        assert threading.active_count() - before <= MAX_THREADS
    finally:
        membership.stop()
        listener.stop()


def test_error_while_handling_reply_does_not_end_heartbeats(
    listing, start, monkeypatch
):
    """An unexpected error while handling a reply, such as one of a section,
    must not end the heartbeats: two instances would consider each other gone.
    """
    failures = [ZeroDivisionError()]
    apply_about = replies.ReplyHandler.apply_about

    def fail_once(self, about, sent_at):
        if failures:
            raise failures.pop()
        apply_about(self, about, sent_at)

    monkeypatch.setattr(replies.ReplyHandler, "apply_about", fail_once)
    one, other = start("a"), start("b")
    waiting.until(lambda: one.names() == other.names() == {"a", "b"})
    assert failures == []
    pairs = [(one, "b"), (other, "a")]
    before = [
        node.membership.heartbeat_senders[name].heartbeats_answered
        for node, name in pairs
    ]
    waiting.until(
        lambda: all(
            node.membership.heartbeat_senders[name].heartbeats_answered > count
            for (node, name), count in zip(pairs, before, strict=True)
        )
    )
