from __future__ import annotations

import pytest

from briarseam.wire import connection as connections
from briarseam.wire import datagrams

KEY = b"k" * 32


def test_content_comes_back():
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
def test_what_was_not_made_with_the_key_is_refused(datagram):
    """Somebody who can send to an instance's port but holds no key makes
    engines look idle or full, and all prompts go to one of them.
    """
    with pytest.raises(connections.WireError):
        datagrams.unseal(KEY, datagram)


def test_more_than_a_datagram_holds_is_refused():
    with pytest.raises(datagrams.TooLargeError):
        datagrams.seal(KEY, bytes(datagrams.MAX_DATAGRAM_BYTES))


def test_sent_and_received_at_an_address():
    with datagrams.open_socket("127.0.0.1:0") as receiver:
        with datagrams.open_socket("127.0.0.1:0") as sender:
            sender.sendto(b"news", receiver.getsockname())
        receiver.settimeout(5)
        assert receiver.recv(100) == b"news"
