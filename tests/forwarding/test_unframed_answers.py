"""Answers without a length or chunks, which end with their connection."""

from __future__ import annotations

import contextlib
import socket
import threading

import pytest

from briarseam.forwarding import attempts
from briarseam.forwarding import connections
from briarseam.forwarding import outcomes
from briarseam.platform import requests
from briarseam.routes import model as routes
from tests.forwarding import sending

PATIENCE_S = 10.0
# For the connection that shows that the endpoint lives.
SECOND_CONNECTION_S = 0.5
EVENT = b"id: 1\ndata: a\n\n"
SIGNED = b"Response-Signature: s\r\n"
LEAVING = b"Server-Leaving: 1\r\n"
KINDS = (routes.Repeat.STREAM, routes.Repeat.ONCE)


def accept(listener, answer, crashes):
    """Answer one request and close; a process that crashes listens no more."""
    connection, _ = listener.accept()
    with connection:
        connection.recv(65536)
        connection.sendall(answer)
        if crashes:
            listener.close()
    with contextlib.suppress(OSError):
        listener.settimeout(SECOND_CONNECTION_S)
        listener.accept()


def answer_on(connection):
    """Answer one request on a connection and close it."""
    with connection:
        connection.recv(65536)
        connection.sendall(answer_of())


def send(watch, answer, crashes, repeat):
    """Send a request to an endpoint; return outcome, exchange and pool."""
    listener = socket.create_server(("127.0.0.1", 0))
    host, port = listener.getsockname()[:2]
    thread = threading.Thread(target=accept, args=(listener, answer, crashes))
    thread.start()
    pool = connections.Pool()
    exchange = sending.Exchange()
    sender = attempts.Sender(pool, requests.decode_answer)
    attempt = sending.attempt_to(f"{host}:{port}", watch, exchange, repeat)
    outcome = sender.send(attempt)
    listener.close()
    thread.join(PATIENCE_S)
    return outcome, exchange, pool


def answer_of(headers=b"", body=EVENT):
    """Return an answer."""
    return b"HTTP/1.1 200 OK\r\n" + SIGNED + headers + b"\r\n" + body


@pytest.mark.parametrize("repeat", KINDS)
def test_answer_of_an_endpoint_that_crashed_is_not_complete(watch, repeat):
    """Guards against taking the end of a process for that of an answer."""
    outcome, exchange, _pool = send(
        watch, answer_of(), crashes=True, repeat=repeat
    )
    assert isinstance(outcome, outcomes.Broken)
    assert not exchange.finished


@pytest.mark.parametrize("repeat", KINDS)
def test_answer_of_an_endpoint_that_lives_is_complete(watch, repeat):
    outcome, exchange, pool = send(
        watch, answer_of(), crashes=False, repeat=repeat
    )
    assert outcome == outcomes.Answered(200)
    assert b"".join(exchange.sent) == EVENT
    assert exchange.finished
    # The connection that showed it serves the next request.
    assert pool.opened == 2
    assert sum(map(len, pool.idle.values())) == 1


@pytest.mark.parametrize("repeat", KINDS)
def test_last_answer_of_a_leaving_endpoint_is_complete(watch, repeat):
    """Guards against losing the answer after which a process ends."""
    outcome, exchange, _pool = send(
        watch, answer_of(LEAVING), crashes=True, repeat=repeat
    )
    assert outcome == outcomes.Answered(200)
    assert exchange.finished


@pytest.mark.parametrize("repeat", KINDS)
def test_answer_is_complete_while_other_connections_live(watch, repeat):
    """Guards against a cut behind which only new connections are refused."""
    listener = socket.create_server(("127.0.0.1", 0))
    address = "{}:{}".format(*listener.getsockname()[:2])
    pool = connections.Pool()
    attempt = sending.attempt_to(address, watch, sending.Exchange(), repeat)
    kept = [pool.connect(address), pool.connect(address)]
    peers = [listener.accept()[0] for _ in kept]
    for connection in kept:
        pool.release(attempt.endpoint.id, address, connection, "")
    listener.close()
    # The pool uses the connection that was released last.
    thread = threading.Thread(target=answer_on, args=(peers[1],))
    thread.start()
    sender = attempts.Sender(pool, requests.decode_answer)
    assert sender.send(attempt) == outcomes.Answered(200)
    thread.join(PATIENCE_S)
    peers[0].close()


def test_stream_that_ends_before_any_event_is_not_complete(watch):
    """Guards against passing on an answer whose body never began."""
    outcome, exchange, _pool = send(
        watch,
        answer_of(body=b""),
        crashes=False,
        repeat=routes.Repeat.STREAM,
    )
    assert isinstance(outcome, outcomes.Broken)
    assert not exchange.finished


@pytest.mark.parametrize(
    "headers", [b"Content-Length: 0\r\n", b"Content-Length: 0\r\n" + LEAVING]
)
def test_empty_stream_with_a_length_is_complete(watch, headers):
    outcome, exchange, _pool = send(
        watch,
        answer_of(headers, b""),
        crashes=False,
        repeat=routes.Repeat.STREAM,
    )
    assert outcome == outcomes.Answered(200)
    assert exchange.finished


@pytest.mark.parametrize(
    ("headers", "complete"), [(b"", False), (b"Content-Length: 0\r\n", True)]
)
def test_empty_rest_of_a_resumed_stream_needs_a_length(
    watch, headers, complete
):
    """Guards against a second run that is broken off before its events."""
    listener = socket.create_server(("127.0.0.1", 0))
    host, port = listener.getsockname()[:2]
    thread = threading.Thread(
        target=accept, args=(listener, answer_of(headers, b""), False)
    )
    thread.start()
    exchange = sending.Exchange()
    attempt = sending.attempt_to(
        f"{host}:{port}", watch, exchange, routes.Repeat.STREAM
    )
    attempt.progress.events_sent = True
    sender = attempts.Sender(connections.Pool(), requests.decode_answer)
    outcome = sender.send(attempt)
    assert isinstance(outcome, outcomes.Answered) is complete
    assert exchange.finished is complete
    listener.close()
    thread.join(PATIENCE_S)


@pytest.mark.parametrize(
    "headers", [b"", b"Connection: keep-alive\r\nKeep-Alive: timeout=9\r\n"]
)
def test_connection_of_an_unframed_answer_is_not_used_again(watch, headers):
    """Guards against late bytes that would be the head of another answer."""
    _outcome, _exchange, pool = send(
        watch, answer_of(headers), crashes=False, repeat=routes.Repeat.ONCE
    )
    assert pool.opened == 2
    assert sum(map(len, pool.idle.values())) == 1


def test_stream_of_a_peer_that_is_killed_is_broken(watch):
    """Guards against an orderly close in the middle of a relayed stream."""
    chunk = b"%x\r\n%s\r\n" % (len(EVENT), EVENT)
    answer = answer_of(b"Transfer-Encoding: chunked\r\n", chunk)
    outcome, exchange, _pool = send(
        watch, answer, crashes=True, repeat=routes.Repeat.STREAM
    )
    assert isinstance(outcome, outcomes.Broken)
    assert exchange.sent == [EVENT]
    assert not exchange.finished
