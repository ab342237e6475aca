"""Frames over one connection of an event loop."""

from __future__ import annotations

import asyncio
import collections
import typing

from briarseam.wire import codec
from briarseam.wire import connection as connections
from briarseam.wire import hello

# Messages that are read ahead of the coroutine that takes them; the other
# side of a call sends the next one after the reply only.
MAX_QUEUED_FRAMES = 4


class AsyncConnection(asyncio.Protocol):
    """A connection whose messages one coroutine takes in order.

    Parameters
    ----------
    opened
        Called with this once the connection is open.

    Attributes
    ----------
    peer
        Who is at the other end, once it has proved that.
    clock
        Stamps what is sent and takes over what comes in.  It is set only
        after the hello, so a stranger's stamp never moves it.
    max_bytes
        Largest frame that is read.
    """

    def __init__(
        self, on_open: typing.Callable[[AsyncConnection], None] | None = None
    ) -> None:
        self.on_open = on_open
        self.peer = connections.Identity(role="", name="")
        self.clock: connections.Clock | None = None
        self.max_bytes = hello.MAX_HANDSHAKE_FRAME_BYTES
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.payloads: collections.deque[bytes] = collections.deque()
        self.waiting_reader: asyncio.Future[None] | None = None
        self.end_reason: str = ""

    # What the loop tells.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin."""
        self.transport = typing.cast("asyncio.Transport", transport)
        if self.on_open is not None:
            self.on_open(self)

    def data_received(self, data: bytes) -> None:
        """Take in bytes."""
        self.buffer += data
        while self.extract_frame():
            pass
        if (
            len(self.payloads) >= MAX_QUEUED_FRAMES
            and self.transport is not None
        ):
            self.transport.pause_reading()
        if self.payloads or self.end_reason:
            self.wake_reader()

    def connection_lost(self, error: Exception | None) -> None:
        """Take note that nothing comes any more."""
        self.mark_ended(str(error) if error else "closed by the other side")

    def extract_frame(self) -> bool:
        """Move a whole frame from the buffer; tell whether there was one."""
        size = codec.LENGTH.size
        if len(self.buffer) < size:
            return False
        (length,) = codec.LENGTH.unpack_from(self.buffer)
        if length > self.max_bytes:
            self.buffer.clear()
            self.mark_ended(f"frame of {length} bytes is too large")
            self.close()
            return False
        if len(self.buffer) < size + length:
            return False
        self.payloads.append(bytes(self.buffer[size : size + length]))
        del self.buffer[: size + length]
        return True

    def mark_ended(self, reason: str) -> None:
        """Let the reader fail once it has taken what has come."""
        self.end_reason = self.end_reason or reason
        self.wake_reader()

    def wake_reader(self) -> None:
        """Let the reader look again."""
        waiting_reader, self.waiting_reader = self.waiting_reader, None
        if waiting_reader is not None and not waiting_reader.done():
            waiting_reader.set_result(None)

    # What the coroutine does.

    async def receive(self, timeout_s: float | None = None) -> codec.Message:
        """Return the next message.

        Raises
        ------
        WireError
            When the connection has ended, or no whole frame came in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                payload = await self.next_payload()
        except TimeoutError as error:
            raise connections.WireTimeoutError("receive timed out") from error
        try:
            frame = codec.decode_frame(payload)
        except codec.CodecError as error:
            raise connections.WireError(str(error)) from error
        if self.clock:
            self.clock.observe(frame.stamp)
        return frame.message

    async def next_payload(self) -> bytes:
        """Wait for the next frame's payload."""
        while not self.payloads:
            if self.end_reason:
                raise connections.WireError(self.end_reason)
            self.waiting_reader = asyncio.get_running_loop().create_future()
            await self.waiting_reader
        payload = self.payloads.popleft()
        if not self.payloads and self.transport is not None:
            self.transport.resume_reading()
        return payload

    def send(self, message: codec.Message) -> None:
        """Send a message, as soon as the link takes it.

        Raises
        ------
        WireError
            When the connection has ended.
        CodecError
            When the message can't be carried; the connection stays good.
        """
        self.send_frame(self.encode(message))

    def encode(self, message: codec.Message) -> bytes:
        """Return a message's frame; may be called by any thread.

        Raises
        ------
        CodecError
            When the message can't be carried.
        """
        return codec.encode(message, self.clock.now() if self.clock else 0)

    def send_frame(self, frame: bytes) -> None:
        """Send a frame, as soon as the link takes it.

        Raises
        ------
        WireError
            When the connection has ended.
        """
        if self.end_reason or self.transport is None:
            raise connections.WireError(f"send failed: {self.end_reason}")
        self.transport.write(frame)

    def close(self) -> None:
        """End the connection, with what was not yet sent."""
        if self.transport is not None:
            self.transport.abort()


async def connect(
    address: str,
    identity: connections.Identity,
    key: bytes,
    timeout_s: float,
    clock: connections.Clock | None = None,
) -> AsyncConnection:
    """Return an authenticated connection.

    Parameters
    ----------
    address
        ``ip:port`` of the server.
    me
        This process.
    key
        The shared key.
    timeout_s
        Bound on the connect and on each answer of the hello.
    clock
        Stamps the frames after the hello.

    Raises
    ------
    WireError
        When no connection could be opened.
    """
    host, port = connections.parse_address(address)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                AsyncConnection, host, port
            )
    except (OSError, TimeoutError) as error:
        raise connections.WireError(f"cannot connect to {address}") from error
    try:
        await client_handshake(connection, identity, key, timeout_s)
    except BaseException:
        connection.close()
        raise
    connection.clock = clock
    return connection


async def client_handshake(
    connection: AsyncConnection,
    identity: connections.Identity,
    key: bytes,
    timeout_s: float,
) -> None:
    """Open a connection from the client's side.

    Raises
    ------
    WireError
        When the other side does not hold the key or speaks another
        version.
    """
    handshake = hello.ClientHandshake(identity, key)
    connection.send(handshake.answer(await connection.receive(timeout_s)))
    connection.peer = handshake.check(await connection.receive(timeout_s))
    connection.max_bytes = codec.MAX_FRAME_BYTES
