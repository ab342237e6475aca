"""Callers that read the framing of answers themselves."""

from __future__ import annotations

import socket
import time

from tests.platform import raw_caller
from tests.soak import callers

VERSIONS = ("1.0", "1.1")


class RawConnection:
    """A connection that is opened at its first use."""

    def __init__(self, host: str, port: int) -> None:
        self.address = (host, port)
        self.sock: socket.socket | None = None

    def open(self) -> socket.socket:
        """Return the socket."""
        if self.sock is None:
            self.sock = socket.create_connection(
                self.address, callers.TIMEOUT_S
            )
        return self.sock

    def close(self) -> None:
        """Close it."""
        if self.sock is not None:
            self.sock.close()


class RawCaller(callers.Caller):
    """A caller that speaks either version and trusts no client library."""

    def new_connection(self, host: str, port: int) -> RawConnection:
        """Return a connection to an instance."""
        return RawConnection(host, port)

    def exchange(self, connection: RawConnection, sent: callers.Sent) -> bool:
        """Send and read the answer; tell whether the connection ends."""
        headers, body = self.request_of(sent)
        sent.version = self.random.choice(VERSIONS)
        sock = connection.open()
        kind = sent.kind
        sock.sendall(
            raw_caller.request_bytes(
                kind.method, kind.path, headers, sent.version, body or b""
            )
        )
        if not sock.recv(1, socket.MSG_PEEK):
            sent.ended = sock.dup()
        received = raw_caller.Reader(sock).read()
        sent.answered_s = time.monotonic()
        sent.status = received.status
        sent.echo = received.headers.get("request-id", "")
        sent.signature = received.headers.get("response-signature", "")
        sent.limit = received.headers.get("server-limit", "")
        sent.leaving = "server-leaving" in received.headers
        sent.body = received.body
        sent.whole = received.complete
        if not received.complete:
            sent.detail = "the answer ended early"
        closing = received.headers.get("connection") == "close"
        return closing or not received.complete or sent.version == "1.0"
