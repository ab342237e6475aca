"""Authenticated datagrams between the system's processes.

For small news that is out of date within a second: nothing waits for an
answer, and one that is lost is made up for by the next.  A datagram bears a
MAC made with the key that all processes share; whoever reads it tells old
from new by what it carries.
"""

from __future__ import annotations

import hashlib
import hmac
import socket

from briarseam.wire import connection as connections

MAC_BYTES = 16
# Set apart from the MACs of connections, which are made with the same key.
MAC_LABEL = b"briarseam-datagram"
# The most that UDP carries over IPv4.
MAX_DATAGRAM_BYTES = 65_507


class TooLargeError(connections.WireError):
    """More than a datagram holds."""


def seal(key: bytes, content: bytes) -> bytes:
    """Return a datagram that carries some content.

    Raises
    ------
    TooLargeError
        If it does not fit.
    """
    if len(content) + MAC_BYTES > MAX_DATAGRAM_BYTES:
        raise TooLargeError(f"{len(content)} bytes for a datagram")
    return compute_mac(key, content) + content


def unseal(key: bytes, datagram: bytes) -> bytes:
    """Return the content of a datagram.

    Raises
    ------
    WireError
        If it was not made with the key.
    """
    mac, content = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
    if not hmac.compare_digest(mac, compute_mac(key, content)):
        raise connections.WireError("a datagram with another key")
    return content


def compute_mac(key: bytes, content: bytes) -> bytes:
    """Return the MAC of some content."""
    digest = hashlib.blake2b(MAC_LABEL, key=key[:64], digest_size=MAC_BYTES)
    digest.update(content)
    return digest.digest()


def open_socket(address: str) -> socket.socket:
    """Return a socket that receives datagrams at an address."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.bind(connections.parse_address(address))
    return bound
