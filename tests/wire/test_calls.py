from __future__ import annotations

import concurrent.futures
import socket
import struct
import threading
import time

import pytest
from tests.wire import sample

from briarseam import changes
from briarseam.testing import waiting
from briarseam.timeline import clock as clocks
from briarseam.wire import client as clients
from briarseam.wire import codec
from briarseam.wire import connection as connections
from briarseam.wire import hello
from briarseam.wire import server as servers

SHORT_TIMEOUT_S = 0.3


def test_call_returns_the_reply(start_server, make_client):
    client = make_client(start_server().address)
    assert client.call(sample.Query("x", 7), 2.0) == sample.Answer("x", 7)
    assert client.bytes_sent > 0
    assert client.bytes_received > 0


def test_concurrent_calls_each_get_their_own_reply(
    start_server, make_client, router
):
    # Sixteen concurrent requests use one client.  If they shared a
    # connection, a caller could receive the reply to another request.
    all_arrived = threading.Barrier(16, timeout=10)

    def answer(peer, query):
        all_arrived.wait()
        return sample.Answer(query.text, query.count)

    router.handlers[sample.Query] = answer
    client = make_client(start_server().address, max_idle=4)
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        queries = [sample.Query(f"a{n}", n) for n in range(16)]
        replies = list(
            pool.map(lambda query: client.call(query, 10.0), queries)
        )
    assert replies == [
        sample.Answer(query.text, query.count) for query in queries
    ]
    assert len(client.idle) <= 4


@pytest.mark.parametrize(
    ("message", "kind", "detail"),
    [
        pytest.param(
            sample.Unhandled("x"), "unhandled", "Unhandled", id="no handler"
        ),
        pytest.param(sample.Query("bad"), "error", "bad", id="handler raises"),
    ],
)
def test_unhandled_message_gets_failed_reply(
    start_server, make_client, router, message, kind, detail
):
    # A newer entry sends an older agent a message that it doesn't handle, or
    # a handler raises.  Without a reply the caller would wait until its
    # timeout.
    def answer(peer, query):
        raise RuntimeError(f"cannot answer {query.text}")

    router.handlers[sample.Query] = answer
    client = make_client(start_server().address)
    reply = client.call(message, 2.0)
    assert isinstance(reply, codec.Failed)
    assert reply.kind == kind
    assert detail in reply.detail


@pytest.mark.parametrize(
    "reply",
    [
        pytest.param(None, id="nothing"),
        pytest.param(
            sample.Answer("x" * codec.MAX_FRAME_BYTES, 0), id="too large"
        ),
    ],
)
def test_reply_that_cannot_be_encoded_becomes_failed_reply(
    start_server, make_client, router, reply
):
    # A handler returns a reply that can't be encoded.  The caller must get a
    # failure at once instead of a closed connection, which it would handle
    # as a lost call.
    router.handlers[sample.Query] = lambda peer, query: reply
    client = make_client(start_server().address)
    assert isinstance(client.call(sample.Query("x"), 2.0), codec.Failed)
    assert len(client.idle) == 1


def test_refused_connection_raises_not_sent(make_client):
    # The agent is down.  Its entry may report that nothing ran.
    with socket.create_server(("127.0.0.1", 0)) as gone:
        port = gone.getsockname()[1]
    with pytest.raises(clients.NotSentError):
        make_client(f"127.0.0.1:{port}").call(sample.Query("x"), 2.0)


def test_too_large_message_raises_not_sent(start_server, make_client):
    # The caller learns that nothing ran, and the connection stays usable.
    client = make_client(start_server().address)
    huge = sample.Query("x", blob=b"x" * codec.MAX_FRAME_BYTES)
    with pytest.raises(clients.NotSentError):
        client.call(huge, 2.0)
    assert client.call(sample.Query("x"), 2.0) == sample.Answer("x", 0)
    assert len(client.idle) == 1


def test_reply_timeout_raises_call_lost(start_server, make_client, router):
    # The message took effect but its reply came after the timeout.  If that
    # were reported as not sent, a booking could be made twice.
    took_effect = threading.Event()
    release = threading.Event()

    def answer(peer, query):
        took_effect.set()
        release.wait(10)
        return sample.Answer("late", 0)

    router.handlers[sample.Query] = answer
    client = make_client(start_server().address)
    with pytest.raises(clients.CallLostError):
        client.call(sample.Query("x"), SHORT_TIMEOUT_S)
    assert took_effect.is_set()
    # The next call must not receive the late reply.
    assert client.idle == []
    router.handlers[sample.Query] = lambda peer, query: sample.Answer(
        "next", 1
    )
    release.set()
    assert client.call(sample.Query("y"), 2.0) == sample.Answer("next", 1)


def test_connection_closed_before_reply_raises_call_lost(
    start_server, make_client, router
):
    # The server stops while it handles the message.
    server = start_server()
    router.handlers[sample.Query] = lambda peer, query: server.stop()
    with pytest.raises(clients.CallLostError):
        make_client(server.address).call(sample.Query("x"), 2.0)


def test_connection_closed_between_calls_is_not_reused(
    start_server, make_client
):
    # The agent is replaced between two calls.  On the closed connection the
    # second call would be reported as lost although it was never sent.
    first = start_server()
    client = make_client(first.address)
    client.call(sample.Query("x"), 2.0)
    (idle,) = client.idle
    first.stop()
    wait_for_end(idle)
    start_server(listen=first.address)
    assert client.call(sample.Query("y"), 2.0) == sample.Answer("y", 0)


def wait_for_end(connection):
    """Wait until the peer has closed the connection."""
    connection.sock.settimeout(5)
    assert connection.sock.recv(1, socket.MSG_PEEK) == b""


def test_frozen_server_does_not_delay_call_beyond_its_timeout(make_client):
    # The kernel accepts connections for a frozen process, so the connect
    # succeeds and the handshake blocks.  An entry that waited seconds for its
    # agent would give its caller the final answer that much later.
    with socket.create_server(("127.0.0.1", 0)) as frozen:
        host, port = frozen.getsockname()
        client = make_client(f"{host}:{port}")
        began = time.monotonic()
        with pytest.raises(clients.NotSentError):
            client.call(sample.Query("x"), SHORT_TIMEOUT_S)
        assert time.monotonic() - began < hello.HANDSHAKE_TIMEOUT_S / 2


def test_slow_frame_does_not_outlast_the_timeout(pair):
    # A bad link delivers one byte at a time.  Each byte arrives within the
    # timeout, the complete frame doesn't.
    reader, writer = pair
    stop = threading.Event()

    def trickle():
        writer.sock.sendall(struct.pack("!I", 100))
        for _ in range(100):
            if stop.wait(SHORT_TIMEOUT_S / 10):
                return
            writer.sock.sendall(b"\x00")

    thread = threading.Thread(target=trickle)
    thread.start()
    reader.set_timeout(SHORT_TIMEOUT_S)
    with pytest.raises(connections.WireTimeoutError):
        reader.receive()
    stop.set()
    thread.join()


def test_too_large_frame_closes_only_its_connection(start_server, key):
    # A faulty peer announces a frame of 4 GB.  Other connections must still
    # work.
    server = start_server()
    identity = connections.Identity("entry", "entry-1")
    connection = clients.connect(server.address, identity, key)
    connection.sock.sendall(struct.pack("!I", 2**32 - 1))
    with pytest.raises(connections.WireError):
        connection.receive()
    clients.connect(server.address, identity, key).close()


def test_unknown_tag_closes_only_its_connection(start_server, key):
    # A newer release sends a message that this one doesn't know.
    server = start_server()
    identity = connections.Identity("entry", "entry-1")
    connection = clients.connect(server.address, identity, key)
    payload = codec.encode(sample.Query("x")).replace(
        b"test-query", b"test-other"
    )
    connection.sock.sendall(payload)
    with pytest.raises(connections.WireError):
        connection.receive()
    clients.connect(server.address, identity, key).close()


def test_clocks_advance_to_received_stamps(start_server, make_client):
    # The agent's wall clock is ten seconds behind the entry's.  The stamp of
    # its grant must still be greater than that of the entry's request, and
    # the entry's next stamp greater than that of the grant.
    now = time.time_ns()
    behind = clocks.HybridClock(lambda: now - 10_000_000_000)
    ahead = clocks.HybridClock(lambda: now)
    client = make_client(start_server(clock=behind).address, clock=ahead)
    request_stamp = ahead.now()
    client.call(sample.Query("x"), 2.0)
    assert behind.last > request_stamp
    assert ahead.now() > behind.last


def test_server_accepts_again_after_a_failed_accept(start_server, make_client):
    # A burst of connections exhausts the file descriptors, and accept fails
    # once.  A server that doesn't retry seems to run but never accepts again.
    failures = [OSError(24, "Too many open files")]

    class Listener(socket.socket):
        def accept(self):
            if failures:
                raise failures.pop()
            return super().accept()

    def prepare(server):
        server.listener = Listener(fileno=server.listener.detach())
        server.listener.setblocking(False)

    client = make_client(start_server(prepare=prepare).address)
    assert client.call(sample.Query("x"), 2.0) == sample.Answer("x", 0)
    assert failures == []


def test_call_gets_overloaded_reply_when_no_thread_can_start(
    start_server, make_client, monkeypatch
):
    # The machine is at its limit of threads for a moment.  The caller gets a
    # reply at once, and its connection stays usable for the next call.
    failures = [RuntimeError("can't start new thread")]
    start = threading.Thread.start

    def start_or_fail(thread):
        if failures and thread.name == "wire-handler":
            raise failures.pop()
        start(thread)

    server = start_server()
    monkeypatch.setattr(threading.Thread, "start", start_or_fail)
    client = make_client(server.address)
    refused = client.call(sample.Query("x"), 5.0)
    assert isinstance(refused, codec.Failed)
    assert refused.kind == "overloaded"
    assert client.call(sample.Query("x"), 5.0) == sample.Answer("x", 0)
    assert len(client.idle) == 1


def test_waiting_calls_and_idle_connections_occupy_no_thread(
    start_server, make_client, router
):
    """Guards against an instance that fails because it runs out of threads.

    It serves forty others, each of which keeps several connections open and
    has calls that wait for updates.
    """
    change = changes.Change()
    published = []

    async def wait(request):
        await change.reached(lambda: bool(published), 10.0)

    router.on(
        sample.Unhandled, lambda peer, query: sample.Answer("x", 0), wait
    )
    server = start_server()
    client = make_client(server.address)
    client.call(sample.Query("x"), 5.0)
    before = threading.active_count()
    with concurrent.futures.ThreadPoolExecutor(100) as pool:
        calls = [
            pool.submit(client.call, sample.Unhandled("x"), 10.0)
            for _ in range(100)
        ]
        waiting.until(lambda: len(server.open_connections) >= 100)
        assert threading.active_count() - before <= 100
        with change:
            published.append(True)
            change.notify_all()
        assert {call.result() for call in calls} == {sample.Answer("x", 0)}


def test_second_handler_of_a_message_is_rejected():
    # One of two handlers for the same message would never be called.
    router = servers.Router()
    router.on(sample.Query, lambda peer, query: sample.Answer("", 0))
    with pytest.raises(ValueError, match="already has a handler"):
        router.on(sample.Query, lambda peer, query: sample.Answer("", 0))
