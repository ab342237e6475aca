"""Bounds of what is read from connections, in bytes and time.

Whoever is at the other end may send without end, fast or a few bytes at a
time.  What is read has parts, such as a head or an event, that must come to
an end before their reader can go on.  A meter below all readers bounds the
part that is being read, so that each loop that reads ends, in this program
and in its libraries.
"""

from __future__ import annotations

import contextlib
import io
import select
import socket
import typing

from briarseam import clocks

UNLIMITED_BYTES = 1 << 62
UNLIMITED_S = float("inf")
# Chunks of a part cost processor time, whatever their size.  Beyond some they
# must be of this size on average.
MAX_CHUNKS = 4096
MIN_CHUNK_BYTES = 64
# Beyond the first bytes a part may take as long as it does at this rate: an
# instance may have a link of a few Mbit/s, shared by all its connections.
MIN_BYTES_PER_S = 131072
FREE_BYTES = 262144
# Keep-alive comments come at intervals.  What comes more often is bounded like
# any part.
KEEP_ALIVE_PAUSE_S = 0.5
MS = 1000


class LimitExceededError(OSError):
    """A part has more bytes, or comes more slowly, than is allowed."""


class TooManyBytesError(LimitExceededError):
    """A part has more bytes or chunks than is allowed."""


class TooSlowError(LimitExceededError):
    """Bytes of a part arrive, but not the whole of it in time."""


class Meter:
    """Bounds the part that is being read from a connection.

    Unless silence is bounded as well, only bytes that arrive exceed the time
    of a part: a sound sender may pause.

    Parameters
    ----------
    clock
        Seconds.

    Attributes
    ----------
    check
        Called before each read; raises if reading must stop.
    recheck
        The same after each read: a connection that another thread has shut
        down reads as ended.
    deadline_s
        When reads fail, by the clock.
    bounds_silence
        Whether the time of a part ends reads although nothing arrives.
    is_spoiled
        Whether something follows the last answer that was not read, so that
        the connection must not be used again.
    """

    def __init__(
        self, clock: typing.Callable[[], float] = clocks.boot_clock
    ) -> None:
        self.clock = clock
        self.check: typing.Callable[[], None] = do_nothing
        self.recheck: typing.Callable[[], None] = do_nothing
        self.deadline_s = UNLIMITED_S
        self.bounds_silence = False
        self.is_spoiled = False
        self.begin()

    def stop_checking(self) -> None:
        """Let nothing but limits and the deadline end reads."""
        self.check = self.recheck = do_nothing

    def begin(
        self,
        max_bytes: int = UNLIMITED_BYTES,
        max_s: float = UNLIMITED_S,
    ) -> None:
        """Begin a part; its time counts from its first byte.

        Parameters
        ----------
        max_bytes
            Maximum number of its bytes, framing included.
        max_s
            Maximum time in which it must come, in seconds.
        """
        self.max_bytes = max_bytes
        self.max_s = max_s
        self.bytes = 0
        self.chunks = 0
        self.begun_s: float | None = None
        self.arrived_s = -UNLIMITED_S
        # Time between the last two arrivals.
        self.pause_s = UNLIMITED_S

    @contextlib.contextmanager
    def waiting(self, max_wait_s: float) -> typing.Iterator[None]:
        """Let reads fail after a time that may be shorter than allowed."""
        deadline_s = self.deadline_s
        self.deadline_s = min(deadline_s, self.clock() + max_wait_s)
        try:
            yield
        finally:
            self.deadline_s = deadline_s

    def accept_keep_alive(self) -> None:
        """Count the time anew if what has arrived came after a pause."""
        if self.pause_s >= KEEP_ALIVE_PAUSE_S:
            self.begun_s = None

    def transfer_s(self) -> float:
        """Return the time that the part's bytes may take in addition."""
        return max(0, self.bytes - FREE_BYTES) / MIN_BYTES_PER_S

    def wait_s(self) -> float:
        """Return for how long a read may wait, in seconds.

        It is 0 once the time is over: what has arrived while this machine was
        suspended is read all the same.
        """
        end_s = self.deadline_s
        if self.bounds_silence and self.begun_s is not None:
            end_s = min(end_s, self.begun_s + self.max_s)
        if end_s == UNLIMITED_S:
            return end_s
        return max(0.0, end_s + self.transfer_s() - self.clock())

    def add(self, count: int) -> None:
        """Count bytes that have arrived.

        Raises
        ------
        LimitExceededError
            If the part exceeds a limit.
        """
        self.bytes += count
        if self.bytes > self.max_bytes:
            raise TooManyBytesError(f"more than {self.max_bytes} bytes")
        if self.max_s == UNLIMITED_S:
            return
        now_s = self.clock()
        self.pause_s, self.arrived_s = now_s - self.arrived_s, now_s
        if self.begun_s is None:
            self.begun_s = now_s
            return
        took_s = now_s - self.begun_s - self.transfer_s()
        if took_s > self.max_s and not self.bounds_silence:
            raise TooSlowError(f"not complete after {self.max_s:.3g} s")

    def add_chunk(self) -> None:
        """Count a chunk of a body.

        Raises
        ------
        TooManyBytesError
            If the part has too many small ones.
        """
        self.chunks += 1
        if self.chunks > MAX_CHUNKS + self.bytes // MIN_CHUNK_BYTES:
            raise TooManyBytesError(f"{self.chunks} chunks are too small")


class MeteredReader(io.RawIOBase):
    """Reads from a socket; a meter counts and bounds what is read.

    Parameters
    ----------
    raw
        Reads from the socket.
    sock
        The socket.
    meter
        The meter.

    Attributes
    ----------
    paused
        Whether reads return only what is buffered above this reader.
    """

    def __init__(
        self, raw: io.RawIOBase, sock: socket.socket, meter: Meter
    ) -> None:
        super().__init__()
        self.raw = raw
        self.sock = sock
        self.meter = meter
        self.paused = False

    def readable(self) -> bool:
        """Return that this can be read."""
        return True

    def readinto(self, buffer: typing.Any) -> int | None:
        """Read what has arrived, and wait for it if there is nothing.

        Raises
        ------
        LimitExceededError
            If the part that is read exceeds a limit.
        TimeoutError
            If the deadline passes.
        """
        if self.paused:
            return None
        meter = self.meter
        meter.check()
        wait_s = meter.wait_s()
        if wait_s != UNLIMITED_S:
            self.wait_readable(wait_s)
        count: int | None = self.raw.readinto(buffer)
        meter.recheck()
        if count:
            meter.add(count)
        return count

    def wait_readable(self, timeout_s: float) -> None:
        """Wait until there is something to read, or the end.

        Raises
        ------
        TimeoutError
            If nothing has come in time.
        """
        poller = select.poll()
        poller.register(self.sock, select.POLLIN)
        if not poller.poll(timeout_s * MS):
            raise TimeoutError("timed out")

    def close(self) -> None:
        """Close, but not the socket."""
        if not self.closed:
            self.raw.close()
        super().close()


def do_nothing() -> None:
    """Do nothing; the default of the check."""
