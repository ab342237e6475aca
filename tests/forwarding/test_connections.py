from __future__ import annotations

import contextlib
import socket

import pytest

from briarseam import clocks
from briarseam.forwarding import connections


@pytest.fixture
def listener():
    with socket.create_server(("127.0.0.1", 0)) as made:
        yield made


@pytest.fixture
def pool():
    return connections.Pool()


def address_of(listener):
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"


def test_kept_connection_is_used_again(pool, listener):
    address = address_of(listener)
    first = pool.acquire("e1", address)
    pool.release("e1", address, first, "timeout=5")
    assert pool.acquire("e1", address) is first


def test_connection_is_not_used_for_another_endpoint_at_its_address(
    pool, listener
):
    """An endpoint is gone and its address is given to one of another
    service.  A request on the old connection would reach a stranger.
    """
    address = address_of(listener)
    first = pool.acquire("e1", address)
    pool.release("e1", address, first, "timeout=5")
    assert pool.acquire("e2", address) is not first


@pytest.mark.parametrize("sent", [b"", b"HTTP/1.1 200 OK\r\n\r\n"])
def test_connection_that_ended_or_spoke_unasked_is_not_used(
    pool, listener, sent
):
    """An endpoint sends a second answer after a whole one, or closes the
    connection.  The next request on it would get what is not its own.
    """
    address = address_of(listener)
    first = pool.acquire("e1", address)
    accepted, _ = listener.accept()
    pool.release("e1", address, first, "timeout=5")
    with contextlib.closing(accepted):
        accepted.sendall(sent)
        if not sent:
            accepted.shutdown(socket.SHUT_WR)
        first.sock.settimeout(5)
        first.sock.recv(1, socket.MSG_PEEK)
        assert pool.acquire("e1", address) is not first


def test_connection_is_not_used_when_the_endpoint_may_close_it(
    pool, listener, monkeypatch
):
    address = address_of(listener)
    first = pool.acquire("e1", address)
    pool.release("e1", address, first, "timeout=3")
    later_s = clocks.boot_clock() + 2.1
    monkeypatch.setattr(clocks, "boot_clock", lambda: later_s)
    assert pool.acquire("e1", address) is not first


def test_endpoint_that_is_gone_keeps_no_connection(pool, listener):
    address = address_of(listener)
    first = pool.acquire("e1", address)
    pool.release("e1", address, first, "timeout=5")
    pool.forget({"e1"})
    assert pool.idle == {}
    assert first.sock is None


def test_nothing_that_listens_is_unreachable(pool, listener):
    address = address_of(listener)
    listener.close()
    with pytest.raises(connections.UnreachableError):
        pool.acquire("e1", address)


@pytest.mark.parametrize(
    ("header", "idle_s"),
    [
        pytest.param("timeout=5", 4.0, id="said"),
        pytest.param("timeout=5, max=100", 4.0, id="with-more"),
        pytest.param("timeout=0", 0.0, id="at-once"),
        pytest.param("", connections.DEFAULT_IDLE_S, id="unsaid"),
        pytest.param("timeout=x", connections.DEFAULT_IDLE_S, id="no-number"),
    ],
)
def test_idle_time_is_what_the_endpoint_says_less_a_margin(header, idle_s):
    assert connections.idle_s(header) == idle_s
