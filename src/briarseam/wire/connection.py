"""One connection that a thread reads and writes: frames over a socket."""

from __future__ import annotations

import contextlib
import dataclasses
import socket
import time
import typing

from briarseam.wire import codec


class WireError(Exception):
    """The connection is unusable: cut, timed out, or not authentic."""


class WireTimeoutError(WireError):
    """No whole frame arrived in time."""


class Clock(typing.Protocol):
    """What a connection asks of the process's clock."""

    def now(self) -> int:
        """Return a stamp above all seen before."""
        ...

    def observe(self, remote: int) -> bool:
        """Take over the stamp of a frame that came in."""
        ...


class Observer(typing.Protocol):
    """Sees calls go by; must neither wait nor raise."""

    def on_request(self, request: codec.Message) -> None:
        """See a request before it is sent or handled."""

    def on_reply(self, request: codec.Message, reply: codec.Message) -> None:
        """See a request's reply; ``Failed`` when none came."""


@dataclasses.dataclass(frozen=True)
class Observers:
    """Several observers as one."""

    observers: tuple[Observer, ...]

    def on_request(self, request: codec.Message) -> None:
        """Let each see a request."""
        for observer in self.observers:
            observer.on_request(request)

    def on_reply(self, request: codec.Message, reply: codec.Message) -> None:
        """Let each see a reply."""
        for observer in self.observers:
            observer.on_reply(request, reply)


@dataclasses.dataclass(frozen=True)
class Identity:
    """Who is at one end of a connection.

    Attributes
    ----------
    role
        ``"agent"``, ``"entry"`` or ``"operator"``.
    name
        The instance's or process's name.
    """

    role: str
    name: str


def parse_address(address: str) -> tuple[str, int]:
    """Split ``ip:port``.

    Raises
    ------
    ValueError
        When the port is missing or no number.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


class Deadline:
    """The end of one wait; ``None`` for a wait without an end."""

    def __init__(self, seconds: float | None) -> None:
        self.end_s = None if seconds is None else time.monotonic() + seconds

    def remaining_s(self) -> float | None:
        """Return the seconds that are left, negative when over."""
        return None if self.end_s is None else self.end_s - time.monotonic()


class Connection:
    """Frames over one connected socket.

    Not safe for several threads: whoever holds the connection is its only
    reader and writer.

    Attributes
    ----------
    clock
        Stamps what is sent and takes over what comes in.  It is set only
        after the hello, so a stranger's stamp never moves it.
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
        """Send one message; raise :class:`WireError` when it cannot."""
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
        """Return the next message; raise :class:`WireError` at the end."""
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
        """Return ``count`` bytes or raise :class:`WireError`."""
        buffer = bytearray(count)
        view = memoryview(buffer)
        filled = 0
        while filled < count:
            # The socket's own timeout would start anew with each piece: a
            # frame that trickles in would hold its reader, and a caller's
            # final answer, far beyond the timeout.
            self.set_read_timeout(deadline.remaining_s())
            try:
                count_read = self.sock.recv_into(view[filled:])
            except TimeoutError as error:
                raise WireTimeoutError("receive timed out") from error
            except OSError as error:
                raise WireError(f"receive failed: {error}") from error
            if count_read == 0:
                raise WireError("closed by the other side")
            filled += count_read
        return bytes(buffer)

    def set_read_timeout(self, seconds: float | None) -> None:
        """Let the next read wait this long, unless time is up already."""
        if seconds is None:
            return
        if seconds <= 0:
            raise WireTimeoutError("receive timed out")
        with contextlib.suppress(OSError):
            self.sock.settimeout(seconds)

    def set_timeout(self, seconds: float | None) -> None:
        """Bound each following send and each whole receive."""
        self.timeout_s = seconds
        with contextlib.suppress(OSError):
            self.sock.settimeout(seconds)

    def close(self) -> None:
        """Close the socket so that a reader in another thread wakes."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
