from __future__ import annotations

import asyncio
import concurrent.futures
import struct

import pytest
from tests.wire import sample

from briarseam.timeline import clock as clocks
from briarseam.wire import client as clients
from briarseam.wire import codec
from briarseam.wire import connection as connections
from briarseam.wire import frames
from briarseam.wire import hello
from briarseam.wire import server as servers

ENTRY = connections.Identity("entry", "entry-1")
AGENT = connections.Identity("agent", "agent-1")


def server_handshake(connection, identity, key):
    """Run the server's side of the handshake on a socket."""

    async def run():
        loop = asyncio.get_running_loop()
        _, accepted = await loop.connect_accepted_socket(
            frames.AsyncConnection, connection.sock
        )
        await servers.server_handshake(accepted, identity, key)
        connection.peer = accepted.peer

    connection.sock.setblocking(False)
    asyncio.run(run())


def run_handshake(pair, client_key, server_key):
    """Run both sides of the handshake; return the error text of each."""
    dialled, accepted = pair
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        sides = [
            pool.submit(
                close_on_error,
                hello.client_handshake,
                dialled,
                ENTRY,
                client_key,
            ),
            pool.submit(
                close_on_error, server_handshake, accepted, AGENT, server_key
            ),
        ]
        return [side.result() for side in sides]


def close_on_error(side, connection, identity, key):
    try:
        side(connection, identity, key)
    except connections.WireError as error:
        connection.close()
        return str(error)
    return ""


def test_handshake_sets_the_authenticated_peers(pair, key):
    # Handlers may decide by the name of the peer, so it must be authenticated.
    assert run_handshake(pair, key, key) == ["", ""]
    dialled, accepted = pair
    assert dialled.peer == AGENT
    assert accepted.peer == ENTRY


def test_server_rejects_a_client_with_another_key(pair, key):
    # An unauthenticated process connects to an agent.  None of its messages
    # may be handled, and it must not get a MAC that it could use elsewhere.
    client, server = run_handshake(pair, b"another key", key)
    assert "client does not hold" in server
    assert "closed" in client or "failed" in client


def test_client_rejects_a_server_with_another_key(pair, key):
    # Another process took over an address and accepts every handshake.  The
    # client must not send it requests.
    dialled, accepted = pair

    def attacker():
        accepted.set_timeout(5)
        accepted.send(make_challenge())
        received = accepted.receive()
        # Without the key it can only reflect the MAC of the client.
        accepted.send(hello.Welcome("agent-1", received.mac))

    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        pool.submit(attacker)
        with pytest.raises(connections.WireError, match="server does not"):
            hello.client_handshake(dialled, ENTRY, key)


def make_challenge(version=codec.WIRE_VERSION):
    return hello.Challenge(version, b"n" * hello.NONCE_BYTES)


def test_hello_with_a_changed_identity_is_rejected(pair, key):
    # An attacker intercepts the hello of an entry and replaces its role and
    # name.  The MAC covers both.
    dialled, accepted = pair

    def client():
        dialled.set_timeout(5)
        challenge = dialled.receive()
        nonce = b"m" * hello.NONCE_BYTES
        mac = hello.handshake_mac(
            key, "client", challenge.nonce, nonce, "entry", "entry-1"
        )
        dialled.send(hello.Hello(codec.WIRE_VERSION, "agent", "x", nonce, mac))

    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        pool.submit(client)
        with pytest.raises(connections.WireError, match="client does not"):
            server_handshake(accepted, AGENT, key)


@pytest.mark.parametrize(
    "first",
    [
        pytest.param(sample.Query("no hello"), id="message before hello"),
        pytest.param(
            hello.Hello(99, "entry", "e", b"", b""), id="other version"
        ),
        pytest.param(sample.Query("x" * 2000), id="large frame"),
    ],
)
def test_only_a_hello_of_the_same_version_is_accepted(pair, key, first):
    # Another release, a port scanner or a faulty client connects.
    dialled, accepted = pair
    dialled.send(first)
    with pytest.raises(connections.WireError):
        server_handshake(accepted, AGENT, key)


def test_unauthenticated_peer_cannot_announce_large_frames(pair, key):
    # A length that is allowed after the handshake must close the connection
    # before it, without any of the payload being buffered.
    dialled, accepted = pair
    dialled.sock.sendall(struct.pack("!I", codec.MAX_FRAME_BYTES))
    with pytest.raises(connections.WireError, match="too large"):
        server_handshake(accepted, AGENT, key)


def test_unauthenticated_peer_cannot_advance_the_clock(
    start_server, make_client, key
):
    # The stamp of a hello is decoded before the key is checked.  If the clock
    # observed it, any process could change the order of all events.
    clock = clocks.HybridClock()
    address = start_server(clock=clock).address
    before = clock.last
    with pytest.raises(clients.NotSentError):
        make_client(address, key=b"another", clock=clocks.HybridClock()).call(
            sample.Query("x"), 2.0
        )
    assert clock.last == before
