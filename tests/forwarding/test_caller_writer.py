from __future__ import annotations

import random
import socket
import threading
import time

import pytest

from briarseam.clients import budget as budgets
from briarseam.clients import connections
from briarseam.forwarding import caller_writer

TIMEOUT_S = 20.0


@pytest.fixture
def pair():
    listener = socket.create_server(("127.0.0.1", 0))
    caller = socket.create_connection(listener.getsockname(), TIMEOUT_S)
    served, _ = listener.accept()
    served.settimeout(TIMEOUT_S)
    with listener, caller, served:
        yield served, caller


def test_all_parts_arrive_in_order_in_partial_sends(pair):
    """Guards against bytes repeated or lost where a send is cut."""
    served, caller = pair
    numbers = random.Random(5)
    sizes = [0, 1, 70_000, 3, 9_000_000, 0, *range(40)]
    parts = [numbers.randbytes(size) for size in sizes]
    received = []

    def read():
        while data := caller.recv(50_000):
            received.append(data)

    thread = threading.Thread(target=read)
    thread.start()
    writer = caller_writer.CallerWriter(served)
    assert writer.write(*parts) == sum(sizes)
    assert writer.bytes_written == sum(sizes)
    served.shutdown(socket.SHUT_WR)
    thread.join(TIMEOUT_S)
    assert b"".join(received) == b"".join(parts)


def test_unsent_bytes_are_reported_when_nothing_is_read(pair):
    served, _caller = pair
    unsent = []
    writer = caller_writer.CallerWriter(served, 0.3, unsent.append)
    size = 32 * 2**20
    with pytest.raises(caller_writer.NotReadingError):
        writer.write(b"a" * size)
    assert unsent == [size - writer.bytes_written]


def test_caller_that_has_left_is_a_broken_connection(pair):
    """Guards against a wait for a caller whose connection has ended."""
    served, caller = pair
    caller.close()
    writer = caller_writer.CallerWriter(served, TIMEOUT_S)
    with pytest.raises(ConnectionError):
        writer.write(b"a" * (32 * 2**20))


def test_stalled_caller_that_gives_way_sees_no_orderly_end(pair):
    """Guards against answers of unknown length that look complete."""
    served, caller = pair
    budget = budgets.Budget()
    account = budgets.Account()
    share = budgets.Share(budget, account)
    not_reading = []
    writer = caller_writer.CallerWriter(
        served, TIMEOUT_S, not_reading.append, share
    )

    def evict():
        while account.state is not budgets.State.STALLED:
            time.sleep(0.01)
        account.is_evicted = True
        connections.interrupt(served, account)

    thread = threading.Thread(target=evict)
    thread.start()
    with pytest.raises(caller_writer.NotReadingError):
        writer.write(b"x" * 50_000_000)
    thread.join(TIMEOUT_S)
    assert not_reading
    caller.settimeout(0.2)
    with pytest.raises(TimeoutError):
        while caller.recv(1 << 20):
            pass
