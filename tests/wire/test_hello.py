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
    """Run the server's half of the hello on a socket."""

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
    """Run both halves of the hello; return what each of them raised."""
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


def test_peers_learn_each_others_proven_names(pair, key):
    # A handler may act on who asks, so the name must be the proven one.
    assert run_handshake(pair, key, key) == ["", ""]
    dialled, accepted = pair
    assert dialled.peer == AGENT
    assert accepted.peer == ENTRY


def test_server_refuses_a_client_with_another_key(pair, key):
    # A stranger on the network dials an agent.  Nothing it sends may be
    # handled, and it must not get a proof that it could use elsewhere.
    client, server = run_handshake(pair, b"another key", key)
    assert "client does not hold" in server
    assert "closed" in client or "failed" in client


def test_client_refuses_a_server_with_another_key(pair, key):
    # An address was taken over by a stranger that accepts every hello.
    # The client must not hand it requests.
    dialled, accepted = pair

    def stranger():
        accepted.set_timeout(5)
        accepted.send(make_challenge())
        received = accepted.receive()
        # The best it can do without the key: reflect the client's MAC.
        accepted.send(hello.Welcome("agent-1", received.mac))

    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        pool.submit(stranger)
        with pytest.raises(connections.WireError, match="server does not"):
            hello.client_handshake(dialled, ENTRY, key)


def make_challenge(version=codec.WIRE_VERSION):
    return hello.Challenge(version, b"n" * hello.NONCE_BYTES)


def test_hello_of_one_name_does_not_open_another(pair, key):
    # An entry's hello, overheard and replayed with the agent's name in it,
    # must not pass: the MAC covers role and name.
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
def test_nothing_but_a_hello_of_our_version_opens(pair, key, first):
    # Another release, a scanner or a confused client dials in.
    dialled, accepted = pair
    dialled.send(first)
    with pytest.raises(connections.WireError):
        server_handshake(accepted, AGENT, key)


def test_stranger_cannot_make_us_buffer(pair, key):
    # Before the hello a frame may announce as much as one after it; its
    # length alone must end the connection.
    dialled, accepted = pair
    dialled.sock.sendall(struct.pack("!I", codec.MAX_FRAME_BYTES))
    with pytest.raises(connections.WireError, match="too large"):
        server_handshake(accepted, AGENT, key)


def test_stranger_cannot_move_the_clock(start_server, make_client, key):
    # The stamp in a hello is read before the key is checked.  Were it
    # taken over, anybody could push the order of all events.
    clock = clocks.HybridClock()
    address = start_server(clock=clock).address
    before = clock.last
    with pytest.raises(clients.NotSentError):
        make_client(address, key=b"another", clock=clocks.HybridClock()).call(
            sample.Query("x"), 2.0
        )
    assert clock.last == before
