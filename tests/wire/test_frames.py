"""Frames that a peer sends by drops."""

from __future__ import annotations

import contextlib
import socket
import time

import pytest
from tests.wire import sample

from briarseam.testing import waiting
from briarseam.wire import client as clients
from briarseam.wire import codec
from briarseam.wire import connection as connections
from briarseam.wire import frames

FRAME_S = 0.4
SLACK_S = 0.3
TIMEOUT_S = 10.0


@pytest.fixture
def server(start_server, monkeypatch):
    monkeypatch.setattr(frames, "FRAME_TIMEOUT_S", FRAME_S)
    return start_server()


@pytest.fixture
def connection(server, key):
    identity = connections.Identity("entry", "entry-1")
    connection = clients.connect(server.address, identity, key)
    yield connection
    connection.close()


def is_closed(sock):
    """Return whether the other side has closed a connection."""
    sock.setblocking(False)
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True


@pytest.mark.parametrize("pause_s", [0.02, 100.0])
def test_frame_that_does_not_end_closes_its_connection(
    server, connection, pause_s
):
    """Guards against peers whose incomplete frames are kept for good."""
    begun_s = time.monotonic()
    connection.sock.sendall(codec.LENGTH.pack(codec.MAX_FRAME_BYTES))
    while not is_closed(connection.sock):
        assert time.monotonic() - begun_s < FRAME_S + SLACK_S
        if pause_s < FRAME_S:
            with contextlib.suppress(OSError):
                connection.sock.send(b"x")
        time.sleep(0.02)
    waiting.until(lambda: not server.open_connections, TIMEOUT_S)


def test_connection_may_be_idle_between_frames(connection):
    """Guards against a time that counts pauses between messages."""
    for _ in range(3):
        connection.sock.settimeout(TIMEOUT_S)
        connection.send(sample.Query("x", 7))
        assert connection.receive() == sample.Answer("x", 7)
        time.sleep(FRAME_S)


def test_frame_may_come_in_pieces_within_its_time(connection):
    frame = codec.encode(sample.Query("x", 7), 0)
    for byte in frame:
        connection.sock.sendall(bytes([byte]))
        time.sleep(FRAME_S / 4 / len(frame))
    connection.sock.settimeout(TIMEOUT_S)
    assert connection.receive() == sample.Answer("x", 7)
