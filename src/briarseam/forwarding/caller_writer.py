"""Sends to a caller, and gives up if the caller does not read."""

from __future__ import annotations

import errno
import fcntl
import os
import select
import struct
import termios
import typing

from briarseam import clocks
from briarseam.clients import budget as budgets

if typing.TYPE_CHECKING:
    import socket

# A caller that reads nothing for this long gets nothing more.  Until then it
# holds a thread, a connection to an endpoint, and data.
STALL_TIMEOUT_S = 10.0
# How often progress is checked.  A socket with a large buffer becomes
# writable only when a third of it is free, which takes a slow reader much
# longer than this time-out.
PROGRESS_POLL_MS = 500
# The same while a check may end the send.
CHECK_POLL_MS = 50
MS = 1000
# Some systems limit the number of buffers of one call to 16.
MAX_BUFFERS = 16


class NotReadingError(TimeoutError):
    """The caller has read nothing for too long."""


class CallerWriter:
    """Sends to the socket of a caller.

    Takes the place of cheroot's writer, which copies all unsent data for
    each partial send.

    Parameters
    ----------
    connection
        The socket.
    stall_timeout_s
        Time without progress after which sending fails, in seconds.
    on_not_reading
        Called with the number of unsent bytes when that happens.
    share
        The part of the connection in the budget of what clients hold.

    Attributes
    ----------
    slow_since_s
        Since when the caller has read too slowly for what is sent; ``None``
        if it does not.
    bytes_written
        Number of bytes sent so far.
    check
        Called while a send waits; raises if it must not go on.
    """

    def __init__(
        self,
        connection: socket.socket,
        stall_timeout_s: float = STALL_TIMEOUT_S,
        on_not_reading: typing.Callable[[int], None] = lambda _: None,
        share: budgets.Share | None = None,
    ) -> None:
        self.share = share or budgets.unlimited()
        self.slow_since_s: float | None = None
        self.connection = connection
        self.stall_timeout_s = stall_timeout_s
        self.on_not_reading = on_not_reading
        self.bytes_written = 0
        self.check: typing.Callable[[], None] = go_on

    def write(self, *parts: bytes) -> int:
        """Send bytes; return their number.

        Raises
        ------
        NotReadingError
            If the caller has read nothing for too long.
        OSError
            If the connection is broken.
        """
        views = [memoryview(part) for part in parts if part]
        size = sum(map(len, views))
        unsent = size
        waited = False
        while views:
            try:
                sent = os.writev(self.connection.fileno(), views[:MAX_BUFFERS])
            except BlockingIOError:
                waited = True
                if self.slow_since_s is None:
                    self.slow_since_s = clocks.boot_clock()
                stalled = budgets.State.STALLED
                with self.share.waiting(stalled, self.slow_since_s):
                    self.wait_writable(unsent)
                continue
            unsent -= sent
            self.bytes_written += sent
            views = skip(views, sent)
        if not waited:
            self.slow_since_s = None
        return size

    def wait_writable(self, unsent: int) -> None:
        """Wait until more can be sent.

        Raises
        ------
        NotReadingError
            If the caller has read nothing for too long.
        """
        poller = select.poll()
        poller.register(self.connection, select.POLLOUT)
        queued = unacknowledged(self.connection)
        progress_s = clocks.boot_clock()
        usual_ms = PROGRESS_POLL_MS if self.check is go_on else CHECK_POLL_MS
        poll_ms = min(usual_ms, self.stall_timeout_s * MS)
        while not poller.poll(poll_ms):
            self.check()
            now_s = clocks.boot_clock()
            now_queued = unacknowledged(self.connection)
            if now_queued < queued:
                queued, progress_s = now_queued, now_s
            elif (
                now_s - progress_s >= self.stall_timeout_s
                or self.share.account.is_evicted
            ):
                self.on_not_reading(unsent)
                raise NotReadingError(
                    errno.ETIMEDOUT,
                    f"the caller read nothing for {self.stall_timeout_s:g} s",
                )


def go_on() -> None:
    """Let a send go on; the default of the check."""


def skip(views: list[memoryview], size: int) -> list[memoryview]:
    """Return buffers without their first bytes."""
    for index, view in enumerate(views):
        if size < len(view):
            return [view[size:], *views[index + 1 :]]
        size -= len(view)
    return []


def unacknowledged(connection: socket.socket) -> int:
    """Return the number of bytes that the caller has not received yet."""
    buffer = struct.pack("i", 0)
    packed = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, buffer)
    (count,) = struct.unpack("i", packed)
    return int(count)
