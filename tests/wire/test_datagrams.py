from __future__ import annotations

import pytest

from briarseam.wire import connection as connections
from briarseam.wire import datagrams

KEY = b"k" * 32


def test_unseal_returns_the_sealed_content():
    datagram = datagrams.seal(KEY, b"content")
    assert datagrams.unseal(KEY, datagram) == b"content"


@pytest.mark.parametrize(
    "datagram",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"short", id="shorter than a MAC"),
        pytest.param(datagrams.seal(b"other", b"content"), id="other key"),
        pytest.param(
            datagrams.seal(KEY, b"content")[:-1] + b"X", id="changed"
        ),
    ],
)
def test_datagram_with_invalid_mac_is_rejected(datagram):
    """Guards against forged loads from a sender without the key.

    It could make engines look idle or full, so that all prompts are routed to
    one of them.
    """
    with pytest.raises(connections.WireError):
        datagrams.unseal(KEY, datagram)


def test_too_large_content_is_rejected():
    with pytest.raises(datagrams.TooLargeError):
        datagrams.seal(KEY, bytes(datagrams.MAX_DATAGRAM_BYTES))


def test_socket_receives_datagrams_at_its_address():
    with datagrams.open_socket("127.0.0.1:0") as receiver:
        with datagrams.open_socket("127.0.0.1:0") as sender:
            sender.sendto(b"news", receiver.getsockname())
        receiver.settimeout(5)
        assert receiver.recv(100) == b"news"
