"""The hello that opens a connection.

Both sides prove that they hold the shared key before any message is
handled.  The server sends a nonce, the client answers with its own nonce,
its role and name and a MAC over all of them, and the server returns a MAC
under a different label, so neither answer can be reflected.
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
# A frame before authentication can only be a hello; the cap keeps a
# stranger from making us buffer megabytes.
MAX_HANDSHAKE_FRAME_BYTES = 1024


@codec.message("challenge")
class Challenge(msgspec.Struct, frozen=True):
    """The server's first frame."""

    version: int
    nonce: bytes


@codec.message("hello")
class Hello(msgspec.Struct, frozen=True):
    """The client's answer to the challenge."""

    version: int
    role: str
    name: str
    nonce: bytes
    mac: bytes


@codec.message("welcome")
class Welcome(msgspec.Struct, frozen=True):
    """The server's proof that it holds the key too."""

    name: str
    mac: bytes


class ClientHandshake:
    """The hello of one connection, from the client's side.

    Parameters
    ----------
    me
        This process.
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
            When it is none, or of another version.
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
        """Return who the server has proved to be.

        Raises
        ------
        WireError
            When it does not hold the key.
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
    """The hello of one connection, from the server's side.

    Parameters
    ----------
    me
        This process.
    key
        The shared key.
    """

    def __init__(self, identity: connections.Identity, key: bytes) -> None:
        self.identity = identity
        self.key = key
        self.nonce = secrets.token_bytes(NONCE_BYTES)

    def challenge(self) -> Challenge:
        """Return the server's first message."""
        return Challenge(codec.WIRE_VERSION, self.nonce)

    def check(
        self, received: codec.Message
    ) -> tuple[connections.Identity, Welcome]:
        """Return who the client has proved to be, and what it is told.

        Raises
        ------
        WireError
            When it does not hold the key or speaks another version.
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
    """Open a connection from the client's side.

    Parameters
    ----------
    connection
        Freshly connected.
    me
        This process.
    key
        The shared key.
    timeout_s
        Bound on each of the server's answers.

    Raises
    ------
    WireError
        When the other side does not hold the key or speaks another
        version.
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
    """Return the MAC of a hello's parts under ``label``."""
    mac = hmac.new(key, label.encode(), hashlib.sha256)
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        # The length in front keeps two different splits of the same bytes
        # from having the same MAC.
        mac.update(codec.LENGTH.pack(len(data)) + data)
    return mac.digest()


MessageType = typing.TypeVar("MessageType")


def require_type(value: codec.Message, kind: type[MessageType]) -> MessageType:
    """Return a message if it is of ``kind``, else raise."""
    if not isinstance(value, kind):
        raise connections.WireError(f"expected {kind.__name__} in the hello")
    return value


def check_version(version: int) -> None:
    """Raise :class:`connections.WireError` unless the version is ours."""
    if version != codec.WIRE_VERSION:
        raise connections.WireError(
            f"wire version {version} is not understood"
        )
