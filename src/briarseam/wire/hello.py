"""Handshake that authenticates both ends of a connection.

Both sides prove that they hold the shared key before any message is
handled.  The server sends a nonce; the client answers with its own nonce,
its role and name, and a MAC over all of them; the server answers with a MAC
under another label.  The two labels prevent reflection attacks.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
import typing

import msgspec

from briarseam.wire import codec
from briarseam.wire import connection as connections

NONCE_BYTES = 16
HANDSHAKE_TIMEOUT_S = 5.0
# Until a peer is authenticated it sends only small frames; the limit keeps it
# from making this process buffer megabytes.
MAX_HANDSHAKE_FRAME_BYTES = 1024


@codec.message("challenge")
class Challenge(msgspec.Struct, frozen=True):
    """First message of the server."""

    version: int
    nonce: bytes


@codec.message("hello")
class Hello(msgspec.Struct, frozen=True):
    """Answer of the client to the challenge."""

    version: int
    role: str
    name: str
    nonce: bytes
    mac: bytes


@codec.message("welcome")
class Welcome(msgspec.Struct, frozen=True):
    """Answer of the server, which proves that it holds the key."""

    name: str
    mac: bytes


class ClientHandshake:
    """Client's side of the handshake of one connection.

    Parameters
    ----------
    identity
        Identity of this process.
    key
        The shared key.
    """

    def __init__(self, identity: connections.Identity, key: bytes) -> None:
        self.identity = identity
        self.key = key
        self.nonce = secrets.token_bytes(NONCE_BYTES)
        self.challenge = b""

    def answer(self, received: codec.Message) -> Hello:
        """Return the answer to the server's challenge.

        Raises
        ------
        WireError
            When it is not a challenge, or has another version.
        """
        challenge = require_type(received, Challenge)
        check_version(challenge.version)
        self.challenge = challenge.nonce
        mac = handshake_mac(
            self.key,
            "client",
            self.challenge,
            self.nonce,
            self.identity.role,
            self.identity.name,
        )
        return Hello(
            codec.WIRE_VERSION,
            self.identity.role,
            self.identity.name,
            self.nonce,
            mac,
        )

    def check(self, received: codec.Message) -> connections.Identity:
        """Verify the server's answer and return its identity.

        Raises
        ------
        WireError
            When the server does not hold the key.
        """
        welcome = require_type(received, Welcome)
        mac = handshake_mac(
            self.key, "server", self.nonce, self.challenge, welcome.name
        )
        if not hmac.compare_digest(mac, welcome.mac):
            raise connections.WireError(
                "the server does not hold the shared key"
            )
        return connections.Identity(role="agent", name=welcome.name)


class ServerHandshake:
    """Server's side of the handshake of one connection.

    Parameters
    ----------
    identity
        Identity of this process.
    key
        The shared key.
    """

    def __init__(self, identity: connections.Identity, key: bytes) -> None:
        self.identity = identity
        self.key = key
        self.nonce = secrets.token_bytes(NONCE_BYTES)

    def challenge(self) -> Challenge:
        """Return the first message to the client."""
        return Challenge(codec.WIRE_VERSION, self.nonce)

    def check(
        self, received: codec.Message
    ) -> tuple[connections.Identity, Welcome]:
        """Verify a client's hello; return its identity and the answer.

        Raises
        ------
        WireError
            When the client does not hold the key or uses another version.
        """
        hello = require_type(received, Hello)
        check_version(hello.version)
        mac = handshake_mac(
            self.key, "client", self.nonce, hello.nonce, hello.role, hello.name
        )
        if not hmac.compare_digest(mac, hello.mac):
            raise connections.WireError(
                "the client does not hold the shared key"
            )
        welcome = handshake_mac(
            self.key, "server", hello.nonce, self.nonce, self.identity.name
        )
        return connections.Identity(hello.role, hello.name), Welcome(
            self.identity.name, welcome
        )


def client_handshake(
    connection: connections.Connection,
    identity: connections.Identity,
    key: bytes,
    timeout_s: float = HANDSHAKE_TIMEOUT_S,
) -> None:
    """Run the client's side of the handshake.

    Parameters
    ----------
    connection
        New connection.
    identity
        Identity of this process.
    key
        The shared key.
    timeout_s
        Timeout of each receive, in seconds.

    Raises
    ------
    WireError
        When the server does not hold the key or uses another version.
    """
    connection.set_timeout(timeout_s)
    handshake = ClientHandshake(identity, key)
    connection.send(
        handshake.answer(connection.receive(MAX_HANDSHAKE_FRAME_BYTES))
    )
    connection.peer = handshake.check(
        connection.receive(MAX_HANDSHAKE_FRAME_BYTES)
    )


def handshake_mac(key: bytes, label: str, *parts: bytes | str) -> bytes:
    """Return the MAC of the parts of a handshake under ``label``."""
    mac = hmac.new(key, label.encode(), hashlib.sha256)
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        # Without the length prefix, two different splits of the same bytes
        # would have the same MAC.
        mac.update(codec.LENGTH.pack(len(data)) + data)
    return mac.digest()


MessageType = typing.TypeVar("MessageType")


def require_type(value: codec.Message, kind: type[MessageType]) -> MessageType:
    """Return a message of the type ``kind``, or raise ``WireError``."""
    if not isinstance(value, kind):
        raise connections.WireError(
            f"expected {kind.__name__} in the handshake"
        )
    return value


def check_version(version: int) -> None:
    """Raise :class:`connections.WireError` for another wire version."""
    if version != codec.WIRE_VERSION:
        raise connections.WireError(f"wire version {version} is not supported")
