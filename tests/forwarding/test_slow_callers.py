"""Callers that read slowly or not at all, on loopback sockets."""

from __future__ import annotations

import socket
import time

import pytest

from briarseam import clocks
from briarseam.forwarding import outcomes
from briarseam.forwarding import supervision
from briarseam.routes import model as routes
from briarseam.testing import waiting
from tests.forwarding import serving

STALL_TIMEOUT_S = 1.0
TIMEOUT_S = 20.0
# More than the buffers of both sockets hold.
ANSWER_BYTES = 16 * 2**20
EVENT = b"id: 1\ndata: " + b"a" * 4000 + b"\n\n"
STREAM_HEAD = (
    serving.HEAD
    + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
GET = b"GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


def send_stream(connection):
    """Send events without end."""
    connection.recv(65536)
    connection.sendall(STREAM_HEAD)
    while True:
        connection.sendall(b"%x\r\n%s\r\n" % (len(EVENT), EVENT))


def send_whole(connection):
    """Send a large answer, then wait for the end of the connection."""
    connection.recv(65536)
    connection.sendall(
        serving.HEAD + b"Content-Length: %d\r\n\r\n" % ANSWER_BYTES
    )
    connection.sendall(b"a" * ANSWER_BYTES)
    connection.recv(1)


@pytest.fixture
def start():
    started = []

    def start_instance(serve, repeat, stall_timeout_s=STALL_TIMEOUT_S):
        instance = serving.Instance(
            serving.Endpoint(serve), repeat, stall_timeout_s=stall_timeout_s
        )
        started.append(instance)
        return instance

    yield start_instance
    for instance in started:
        instance.stop()


@pytest.mark.parametrize(
    ("serve", "repeat"),
    [
        (send_stream, routes.Repeat.STREAM),
        (send_whole, routes.Repeat.ONCE),
    ],
)
def test_caller_that_never_reads_is_cut_off(start, serve, repeat):
    """Guards against threads, endpoints and data held for such callers."""
    instance = start(serve, repeat)
    started_s = clocks.boot_clock()
    with instance.connect() as caller:
        caller.sendall(GET)
        waiting.until(lambda: instance.results, TIMEOUT_S)
        took_s = clocks.boot_clock() - started_s
        waiting.until(lambda: instance.held.total == 0, TIMEOUT_S)
        # The caller's connection is reset, so that the system holds nothing
        # for it either, and a cut answer does not look complete.
        waiting.until(lambda: is_reset(caller), TIMEOUT_S)
    (ended,) = instance.results
    assert ended.ending is supervision.Ending.CALLER_GONE
    assert STALL_TIMEOUT_S <= took_s < STALL_TIMEOUT_S + 5.0
    assert len(instance.not_reading) == 1


def test_endpoint_is_cut_off_with_a_caller_that_never_reads(start):
    """Guards against an endpoint that produces a stream for nobody."""
    instance = start(send_stream, routes.Repeat.STREAM)
    with instance.connect() as caller:
        caller.sendall(GET)
        assert instance.endpoint.broken_off.wait(TIMEOUT_S)
    assert not sum(map(len, instance.pool.idle.values()))


def is_reset(caller):
    """Return whether a connection was reset."""
    option = caller.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return option != 0


def test_slow_caller_gets_its_whole_answer(start):
    """Guards against a bound on the time that an answer takes in all."""
    instance = start(send_whole, routes.Repeat.ONCE, stall_timeout_s=0.4)
    received = 0
    started_s = clocks.boot_clock()
    with instance.connect(receive_bytes=65536) as caller:
        caller.sendall(GET)
        while data := caller.recv(200_000):
            received += len(data)
            time.sleep(0.02)
    assert received > ANSWER_BYTES
    assert clocks.boot_clock() - started_s > 2 * 0.4
    assert instance.results == [outcomes.Answered(200)]
    assert not instance.not_reading


def test_reads_count_as_progress_before_the_socket_is_writable(start):
    """Guards against callers cut off since a large buffer empties slowly.

    The system calls a socket writable once a third of its buffer is free.
    """
    instance = start(send_whole, routes.Repeat.ONCE, stall_timeout_s=0.4)
    with instance.connect(receive_bytes=4096) as caller:
        caller.sendall(GET)
        # Some seconds, and much less than the system's buffer holds.
        for _ in range(30):
            assert caller.recv(4096)
            time.sleep(0.1)
        assert not instance.not_reading
        assert instance.held.total > ANSWER_BYTES / 2
    waiting.until(lambda: instance.held.total == 0, TIMEOUT_S)


def test_answer_is_counted_while_the_caller_takes_it(start):
    instance = start(send_whole, routes.Repeat.ONCE)
    with instance.connect(receive_bytes=65536) as caller:
        caller.sendall(GET)
        waiting.until(lambda: instance.held.total == ANSWER_BYTES, TIMEOUT_S)
        serving.read_to_end(caller)
    waiting.until(lambda: instance.held.total == 0, TIMEOUT_S)


def test_stream_holds_no_more_than_one_read(start):
    """Guards against data of a stream that piles up for a slow caller."""
    instance = start(send_stream, routes.Repeat.STREAM)
    with instance.connect() as caller:
        caller.sendall(GET)
        waiting.until(lambda: instance.held.total > 0, TIMEOUT_S)
        most = 0
        while not instance.results:
            most = max(most, instance.held.total)
            time.sleep(0.001)
    assert 0 < most <= 65536 + len(EVENT)
    waiting.until(lambda: instance.held.total == 0, TIMEOUT_S)
