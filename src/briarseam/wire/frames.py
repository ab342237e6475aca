"""Asynchronous connection: frames over a transport of an event loop."""

from __future__ import annotations

import asyncio
import collections
import typing

from briarseam.wire import codec
from briarseam.wire import connection as connections
from briarseam.wire import hello

# Reading pauses while this many received frames are queued.  A client sends
# its next message only after the reply, so the queue is normally shorter.
MAX_QUEUED_FRAMES = 4
# A frame that has begun comes whole within this time.  Otherwise a sender that
# stalls, or sends by drops, would hold up to a frame's size for good.
FRAME_TIMEOUT_S = 10.0


class AsyncConnection(asyncio.Protocol):
    """A connection whose messages one coroutine receives in order.

    Parameters
    ----------
    on_open
        Called with this object once the connection is open.

    Attributes
    ----------
    peer
        Identity of the peer, set once it is authenticated.
    clock
        Stamps sent frames and observes the stamps of received ones.  It is
        set after the handshake only, so that the stamp of an
        unauthenticated peer can't advance it.
    max_bytes
        Size limit of a received frame's payload.
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
        self.frame_timer: asyncio.TimerHandle | None = None

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the opened connection."""
        self.transport = typing.cast("asyncio.Transport", transport)
        if self.on_open is not None:
            self.on_open(self)

    def data_received(self, data: bytes) -> None:
        """Split received bytes into frames."""
        self.buffer += data
        while self.extract_frame():
            self.stop_frame_timer()
        self.start_frame_timer()
        if (
            len(self.payloads) >= MAX_QUEUED_FRAMES
            and self.transport is not None
        ):
            self.transport.pause_reading()
            self.stop_frame_timer()
        if self.payloads or self.end_reason:
            self.wake_reader()

    def start_frame_timer(self) -> None:
        """Limit the time of the frame that is being received, if any."""
        if self.buffer and self.frame_timer is None:
            self.frame_timer = asyncio.get_running_loop().call_later(
                FRAME_TIMEOUT_S, self.expire_frame
            )

    def stop_frame_timer(self) -> None:
        """Stop the time of the frame that is being received."""
        if self.frame_timer is not None:
            self.frame_timer.cancel()
            self.frame_timer = None

    def expire_frame(self) -> None:
        """Close the connection: a frame has not come whole in time."""
        self.mark_ended(f"incomplete frame after {FRAME_TIMEOUT_S:g} s")
        self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Record that the connection has ended."""
        self.stop_frame_timer()
        self.mark_ended(str(error) if error else "closed by the peer")

    def extract_frame(self) -> bool:
        """Move a complete frame out of the buffer; return whether it could."""
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
        """Let receives fail once the queued frames have been received."""
        self.end_reason = self.end_reason or reason
        self.wake_reader()

    def wake_reader(self) -> None:
        """Wake the coroutine that waits for a frame."""
        waiting_reader, self.waiting_reader = self.waiting_reader, None
        if waiting_reader is not None and not waiting_reader.done():
            waiting_reader.set_result(None)

    # Methods for the coroutine.

    async def receive(self, timeout_s: float | None = None) -> codec.Message:
        """Return the next message.

        Raises
        ------
        WireError
            When the connection has ended, no complete frame was received
            before the timeout, or the frame is malformed.
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
            self.start_frame_timer()
        return payload

    def send(self, message: codec.Message) -> None:
        """Queue a message for sending.

        Raises
        ------
        WireError
            When the connection has ended.
        CodecError
            When the message can't be encoded; the connection stays usable.
        """
        self.send_frame(self.encode(message))

    def encode(self, message: codec.Message) -> bytes:
        """Return the frame of a message; safe to call from any thread.

        Raises
        ------
        CodecError
            When the message can't be encoded.
        """
        return codec.encode(message, self.clock.now() if self.clock else 0)

    def send_frame(self, frame: bytes) -> None:
        """Queue a frame for sending.

        Raises
        ------
        WireError
            When the connection has ended.
        """
        if self.end_reason or self.transport is None:
            raise connections.WireError(f"send failed: {self.end_reason}")
        self.transport.write(frame)

    def close(self) -> None:
        """Abort the connection and drop unsent data."""
        if self.transport is not None:
            self.transport.abort()


async def connect(
    address: str,
    identity: connections.Identity,
    key: bytes,
    timeout_s: float,
    clock: connections.Clock | None = None,
) -> AsyncConnection:
    """Open an authenticated connection.

    Parameters
    ----------
    address
        ``ip:port`` of the server.
    identity
        Identity of this process.
    key
        The shared key.
    timeout_s
        Timeout of the connect and of each receive of the handshake, in
        seconds.
    clock
        Stamps the frames after the handshake.

    Raises
    ------
    WireError
        When the connection or its handshake fails.
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
    """Run the client's side of the handshake.

    Raises
    ------
    WireError
        When the server does not hold the key or uses another version.
    """
    handshake = hello.ClientHandshake(identity, key)
    connection.send(handshake.answer(await connection.receive(timeout_s)))
    connection.peer = handshake.check(await connection.receive(timeout_s))
    connection.max_bytes = codec.MAX_FRAME_BYTES
