from __future__ import annotations

import contextlib
import socket

import pytest

from briarseam import clocks
from briarseam.forwarding import connections


@pytest.fixture
def listener():
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield server


@pytest.fixture
def pool():
    return connections.Pool()


def address_of(listener):
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"


def test_idle_connection_is_reused(pool, listener):
    address = address_of(listener)
    first = pool.acquire("e1", address)
    pool.release("e1", address, first, "timeout=5")
    assert pool.acquire("e1", address) is first


def test_connection_is_not_reused_for_another_endpoint_at_its_address(
    pool, listener
):
    """If the address of an endpoint that is gone is reused for another
    service, a request on the old connection would reach the wrong endpoint.
    """
    address = address_of(listener)
    first = pool.acquire("e1", address)
    pool.release("e1", address, first, "timeout=5")
    assert pool.acquire("e2", address) is not first


@pytest.mark.parametrize("sent", [b"", b"HTTP/1.1 200 OK\r\n\r\n"])
def test_connection_that_closed_or_has_unread_data_is_not_reused(
    pool, listener, sent
):
    """An endpoint sends a second answer, or closes the connection.  The
    next request on the connection would get an answer that is not its own.
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


def test_connection_is_not_reused_when_the_endpoint_may_close_it(
    pool, listener, monkeypatch
):
    address = address_of(listener)
    first = pool.acquire("e1", address)
    pool.release("e1", address, first, "timeout=3")
    later_s = clocks.boot_clock() + 2.1
    monkeypatch.setattr(clocks, "boot_clock", lambda: later_s)
    assert pool.acquire("e1", address) is not first


def test_connections_of_a_forgotten_endpoint_are_closed(pool, listener):
    address = address_of(listener)
    first = pool.acquire("e1", address)
    pool.release("e1", address, first, "timeout=5")
    pool.forget({"e1"})
    assert pool.idle == {}
    assert first.sock is None


def test_address_without_a_listener_is_unreachable(pool, listener):
    address = address_of(listener)
    listener.close()
    with pytest.raises(connections.UnreachableError):
        pool.acquire("e1", address)


@pytest.mark.parametrize(
    ("header", "idle_s"),
    [
        pytest.param("timeout=5", 4.0, id="given"),
        pytest.param("timeout=5, max=100", 4.0, id="with-other-parameters"),
        pytest.param("timeout=0", 0.0, id="zero"),
        pytest.param("", connections.DEFAULT_IDLE_S, id="missing"),
        pytest.param(
            "timeout=x", connections.DEFAULT_IDLE_S, id="not-a-number"
        ),
        pytest.param(
            "timeout=\xb2", connections.DEFAULT_IDLE_S, id="superscript"
        ),
    ],
)
def test_idle_time_is_the_endpoints_timeout_less_a_margin(header, idle_s):
    assert connections.idle_s(header) == idle_s
