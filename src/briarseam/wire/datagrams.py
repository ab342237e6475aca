"""Authenticated datagrams between the processes of the system.

Datagrams carry small updates that are outdated within a second: they aren't
acknowledged, and the next one replaces a lost one.  Each has a MAC made with
the key that all processes share.  There is no replay protection: the receiver
detects old datagrams by their content.
"""

from __future__ import annotations

import hashlib
import hmac
import socket

from briarseam.wire import connection as connections

MAC_BYTES = 16
# Separates these MACs from those of handshakes, which use the same key.
MAC_LABEL = b"briarseam-datagram"
# Limit of the payload of UDP over IPv4.
MAX_DATAGRAM_BYTES = 65_507


class TooLargeError(connections.WireError):
    """The content doesn't fit into a datagram."""


def seal(key: bytes, content: bytes) -> bytes:
    """Return a datagram with some content and its MAC.

    Raises
    ------
    TooLargeError
        When the content does not fit.
    """
    if len(content) + MAC_BYTES > MAX_DATAGRAM_BYTES:
        raise TooLargeError(f"{len(content)} bytes do not fit into a datagram")
    return compute_mac(key, content) + content


def unseal(key: bytes, datagram: bytes) -> bytes:
    """Verify a datagram and return its content.

    Raises
    ------
    WireError
        When it was not made with the key.
    """
    mac, content = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
    if not hmac.compare_digest(mac, compute_mac(key, content)):
        raise connections.WireError(
            "the MAC of a datagram does not match the shared key"
        )
    return content


def compute_mac(key: bytes, content: bytes) -> bytes:
    """Return the MAC of a datagram's content."""
    digest = hashlib.blake2b(MAC_LABEL, key=key[:64], digest_size=MAC_BYTES)
    digest.update(content)
    return digest.digest()


def open_socket(address: str) -> socket.socket:
    """Return a UDP socket bound to an address."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.bind(connections.parse_address(address))
    return bound
