from __future__ import annotations

import socket
import threading

import pytest

from briarseam import bounded_reads
from briarseam.clients import budget as budgets
from briarseam.clients import reader as readers

HEAD = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
LIMIT = 100


@pytest.fixture
def pair():
    client, server = socket.socketpair()
    server.setblocking(False)
    with client, server:
        yield client, server


@pytest.fixture
def client(pair):
    return pair[0]


@pytest.fixture
def account():
    return budgets.Account()


@pytest.fixture
def reader(pair, account):
    return readers.ClientReader(pair[1], bounded_reads.Meter(), account)


def test_head_is_complete_with_its_empty_line(client, reader):
    assert not reader.receive()
    for byte in HEAD[:-1]:
        client.sendall(bytes([byte]))
        assert reader.receive()
        assert not reader.has_head(LIMIT)
    client.sendall(HEAD[-1:] + b"body")
    reader.receive()
    assert reader.has_head(LIMIT)
    assert reader.take_head(LIMIT) == HEAD
    assert reader.take(10) == b"body"


@pytest.mark.parametrize(
    "sent",
    [b"GET /x HTTP/1.1\n", b"\n", b"GET / HTTP/1.1\r\nA: b\n", b"x" * 101],
)
def test_malformed_or_large_head_is_not_waited_for(client, reader, sent):
    client.sendall(sent)
    reader.receive()
    assert reader.has_head(LIMIT)
    assert reader.take_head(LIMIT) is None


def test_end_is_not_waited_for(client, reader):
    client.close()
    assert reader.receive()
    assert reader.has_ended
    assert reader.has_head(LIMIT)


def test_empty_line_before_a_head_is_left_to_the_parser(client, reader):
    client.sendall(b"\r\n" + HEAD)
    reader.receive()
    assert reader.readline() == b"\r\n"
    assert reader.take_head(LIMIT) == HEAD


def test_read_waits_for_what_is_missing(client, reader):
    def send():
        for _ in range(5):
            client.sendall(b"x" * 100_000)

    thread = threading.Thread(target=send)
    thread.start()
    assert reader.read(450_000) == b"x" * 450_000
    assert len(reader.read(50_000)) == 50_000
    thread.join()


def test_read_ends_with_the_connection(client, reader):
    client.sendall(b"abc")
    client.close()
    assert reader.read(10) == b"abc"
    assert reader.read(10) == b""


@pytest.mark.parametrize(
    ("size", "line"), [(None, b"ab\n"), (2, b"ab"), (3, b"ab\n"), (9, b"ab\n")]
)
def test_line_is_read_as_far_as_the_size_allows(client, reader, size, line):
    client.sendall(b"ab\ncd")
    assert reader.readline(size) == line


def test_line_without_an_end_is_read_to_the_end(client, reader):
    client.sendall(b"ab")
    client.close()
    assert reader.readline() == b"ab"


def test_read_fails_when_its_time_is_over(reader):
    with reader.meter.waiting(0.01), pytest.raises(TimeoutError):
        reader.read(1)


def test_nothing_is_read_of_a_connection_that_gave_way(
    client, reader, account
):
    client.sendall(b"abc")
    account.is_evicted = True
    with pytest.raises(budgets.EvictedError):
        reader.read(3)


def test_fields_and_items_of_a_head_weigh_more_than_their_bytes(
    client, reader
):
    client.sendall(b"GET / HTTP/1.1\r\nA: 1,2,3\r\n\r\nbody,\n,\n")
    reader.receive()
    own = reader.weight() - len(reader.buffer)
    assert own == budgets.FIELD_BYTES + 2 * budgets.ITEM_BYTES
