"""Blocking connection: frames over one socket."""

from __future__ import annotations

import contextlib
import dataclasses
import socket
import time
import typing

from briarseam.wire import codec


class WireError(Exception):
    """The connection is unusable: closed, timed out or not authenticated."""


class WireTimeoutError(WireError):
    """A frame was not sent or received completely before the timeout."""


class Clock(typing.Protocol):
    """Interface of the clock that stamps frames."""

    def now(self) -> int:
        """Return a stamp greater than all stamps issued or observed."""
        ...

    def observe(self, remote: int) -> bool:
        """Advance the clock to the stamp of a received frame."""
        ...


class Observer(typing.Protocol):
    """Interface notified of calls; its methods must not block or raise."""

    def on_request(self, request: codec.Message) -> None:
        """Handle a request that is about to be sent or handled."""

    def on_reply(self, request: codec.Message, reply: codec.Message) -> None:
        """Handle the reply to a request, ``Failed`` when there is none."""


@dataclasses.dataclass(frozen=True)
class Observers:
    """Observer that forwards to several others."""

    observers: tuple[Observer, ...]

    def on_request(self, request: codec.Message) -> None:
        """Forward a request to each observer."""
        for observer in self.observers:
            observer.on_request(request)

    def on_reply(self, request: codec.Message, reply: codec.Message) -> None:
        """Forward a reply to each observer."""
        for observer in self.observers:
            observer.on_reply(request, reply)


@dataclasses.dataclass(frozen=True)
class Identity:
    """Identity of the process at one end of a connection.

    Attributes
    ----------
    role
        ``"agent"``, ``"entry"`` or ``"operator"``.
    name
        Name of the instance or process.
    """

    role: str
    name: str


def parse_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an ``ip:port`` address.

    Raises
    ------
    ValueError
        When the port is missing or not a number.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


class Deadline:
    """Deadline of one operation; ``None`` seconds for no deadline."""

    def __init__(self, seconds: float | None) -> None:
        self.end_s = None if seconds is None else time.monotonic() + seconds

    def remaining_s(self) -> float | None:
        """Return the remaining seconds, negative once they have passed."""
        return None if self.end_s is None else self.end_s - time.monotonic()


class Connection:
    """Frames over one connected socket.

    Not thread-safe: one thread at a time may read and write.

    Attributes
    ----------
    clock
        Stamps sent frames and observes the stamps of received ones.  It is
        set after the handshake only, so that the stamp of an
        unauthenticated peer can't advance it.
    """

    def __init__(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self.peer = Identity(role="", name="")
        self.clock: Clock | None = None
        self.timeout_s: float | None = None
        self.bytes_sent = 0
        self.bytes_received = 0

    def send(self, value: codec.Message) -> None:
        """Send one message.

        Raises
        ------
        WireError
            When the connection is unusable.
        CodecError
            When the message can't be encoded.
        """
        stamp = self.clock.now() if self.clock else 0
        frame = codec.encode(value, stamp)
        try:
            self.sock.sendall(frame)
        except TimeoutError as error:
            raise WireTimeoutError("send timed out") from error
        except OSError as error:
            raise WireError(f"send failed: {error}") from error
        self.bytes_sent += len(frame)

    def receive(self, max_bytes: int = codec.MAX_FRAME_BYTES) -> codec.Message:
        """Return the next message.

        Raises
        ------
        WireError
            When the connection is closed or times out, or the frame is too
            large or malformed.
        """
        deadline = Deadline(self.timeout_s)
        header = self.read_exactly(codec.LENGTH.size, deadline)
        (length,) = codec.LENGTH.unpack(header)
        if length > max_bytes:
            raise WireError(f"frame of {length} bytes is too large")
        payload = self.read_exactly(length, deadline)
        self.bytes_received += codec.LENGTH.size + length
        try:
            frame = codec.decode_frame(payload)
        except codec.CodecError as error:
            raise WireError(str(error)) from error
        if self.clock:
            self.clock.observe(frame.stamp)
        return frame.message

    def read_exactly(self, count: int, deadline: Deadline) -> bytes:
        """Read ``count`` bytes; raise :class:`WireError` if it can't."""
        buffer = bytearray(count)
        view = memoryview(buffer)
        filled = 0
        while filled < count:
            # The socket's timeout restarts with each read: a frame received
            # a few bytes at a time would block its reader, and delay the
            # final answer of a caller, far beyond the timeout.
            self.set_read_timeout(deadline.remaining_s())
            try:
                count_read = self.sock.recv_into(view[filled:])
            except TimeoutError as error:
                raise WireTimeoutError("receive timed out") from error
            except OSError as error:
                raise WireError(f"receive failed: {error}") from error
            if count_read == 0:
                raise WireError("closed by the peer")
            filled += count_read
        return bytes(buffer)

    def set_read_timeout(self, seconds: float | None) -> None:
        """Set the timeout of the next read; raise if none remains."""
        if seconds is None:
            return
        if seconds <= 0:
            raise WireTimeoutError("receive timed out")
        with contextlib.suppress(OSError):
            self.sock.settimeout(seconds)

    def set_timeout(self, seconds: float | None) -> None:
        """Set the timeout of each later send and of each complete receive."""
        self.timeout_s = seconds
        with contextlib.suppress(OSError):
            self.sock.settimeout(seconds)

    def close(self) -> None:
        """Close the socket and wake a reader that blocks in another thread."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
