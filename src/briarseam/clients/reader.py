"""Reading of what a client has sent on its connection."""

from __future__ import annotations

import contextlib
import io
import os
import re
import select
import threading
import typing

from briarseam import bounded_reads
from briarseam import clocks
from briarseam.clients import budget as budgets

if typing.TYPE_CHECKING:
    import socket

RECEIVE_BYTES = 16384
# Bodies are read in larger pieces.
BODY_RECEIVE_BYTES = 65536
# A connection that has to give way notices it while it waits for a turn.
TURN_POLL_S = 0.05
MAX_TURN_WAIT_S = 15.0
MS = 1000
HEAD_END = b"\r\n\r\n"
# A line that does not end as it should: the request is malformed, whatever
# follows.
BARE_LINE_END = re.compile(rb"[^\r]\n|\A\n")


class ClientReader:
    """Buffers what a client has sent.

    It takes the place of cheroot's reader, which waits for each line in the
    thread that reads it and is slow.

    Parameters
    ----------
    sock
        The connection's socket, which has a timeout, so that its descriptor
        does not block.
    meter
        Counts and bounds what is read.
    account
        Of the connection.

    Attributes
    ----------
    buffer
        What was received and not read.
    has_ended
        Whether the client sends nothing more.
    turns
        Given up while something is waited for, if the reader has it.
    """

    def __init__(
        self,
        sock: socket.socket,
        meter: bounded_reads.Meter,
        account: budgets.Account,
    ) -> None:
        self.socket = sock
        self.meter = meter
        self.account = account
        self.buffer = bytearray()
        self.searched = 0
        self.has_ended = False
        self.turns: threading.Lock | None = None

    def receive(self) -> bool:
        """Receive what has arrived, without waiting.

        Returns
        -------
        bool
            Whether something, or the end, was there.

        Raises
        ------
        OSError
            If the connection is broken, or a limit is exceeded.
        """
        data = self.receive_some(RECEIVE_BYTES)
        if data is None:
            return False
        self.buffer += data
        return True

    def receive_some(self, size: int) -> bytes | None:
        """Return some bytes that have arrived; ``None`` if there are none.

        Raises
        ------
        OSError
            If the connection is broken, or a limit is exceeded.
        """
        self.account.check()
        try:
            data = os.read(self.socket.fileno(), size)
        except BlockingIOError:
            return None
        if data:
            self.meter.add(len(data))
        else:
            self.has_ended = True
        return data

    def next_bytes(self, size: int = RECEIVE_BYTES) -> bytes:
        """Return some bytes, waiting for them; none at the end.

        Raises
        ------
        TimeoutError
            If the time is over.
        OSError
            If the connection is broken, or a limit is exceeded.
        """
        meter = self.meter
        while not self.has_ended:
            meter.check()
            data = self.receive_some(size)
            if data is not None:
                meter.recheck()
                return data
            self.wait(meter.wait_s())
        return b""

    def wait(self, timeout_s: float) -> None:
        """Wait until something has arrived.

        Raises
        ------
        TimeoutError
            If nothing has in time.
        """
        if self.turns is None:
            self.poll(timeout_s)
            return
        turns, self.turns = self.turns, None
        turns.release()
        self.poll(timeout_s)
        self.take_turn(turns)

    def poll(self, timeout_s: float) -> None:
        """Wait as in :meth:`wait`, and keep the turn."""
        poller = select.poll()
        poller.register(self.socket, select.POLLIN)
        timeout_ms = None
        if timeout_s != bounded_reads.UNLIMITED_S:
            timeout_ms = timeout_s * MS
        if not poller.poll(timeout_ms):
            raise TimeoutError("timed out")

    @contextlib.contextmanager
    def taking_turns(
        self, turns: threading.Lock, max_wait_s: float = MAX_TURN_WAIT_S
    ) -> typing.Iterator[None]:
        """Read while no other reader has the turn.

        Parameters
        ----------
        turns
            Held by the reader that has the turn.
        max_wait_s
            Maximum wait for the first turn, in seconds.

        Raises
        ------
        TimeoutError
            If there is no turn in time.
        EvictedError
            If the connection has to give way meanwhile.
        """
        self.take_turn(turns, max_wait_s)
        try:
            yield
        finally:
            if self.turns is not None:
                self.turns = None
                turns.release()

    def take_turn(
        self, turns: threading.Lock, max_wait_s: float = MAX_TURN_WAIT_S
    ) -> None:
        """Wait for the turn; see :meth:`taking_turns`."""
        end_s = clocks.boot_clock() + max_wait_s
        while not turns.acquire(timeout=min(TURN_POLL_S, max_wait_s)):
            self.account.check()
            if clocks.boot_clock() >= end_s:
                raise TimeoutError("no turn")
        self.turns = turns

    def has_data(self) -> bool:
        """Return whether something was received and not read."""
        return bool(self.buffer)

    def has_head(self, limit: int) -> bool:
        """Return whether a head can be parsed without waiting.

        That is so for one that is too large, or malformed, as well.

        Parameters
        ----------
        limit
            Maximum size of a head, in bytes; 0 for none.
        """
        buffer = self.buffer
        start = max(0, self.searched - len(HEAD_END))
        self.searched = len(buffer)
        return (
            self.has_ended
            or buffer.find(HEAD_END, start) >= 0
            or len(buffer) > limit > 0
            or BARE_LINE_END.search(buffer, start) is not None
        )

    def weight(self) -> int:
        """Return what a head weighs once it is parsed, in bytes."""
        end = self.buffer.find(HEAD_END)
        if end < 0:
            end = len(self.buffer)
        fields = self.buffer.count(b"\n", 0, end)
        items = self.buffer.count(b",", 0, end)
        return (
            len(self.buffer)
            + fields * budgets.FIELD_BYTES
            + items * budgets.ITEM_BYTES
        )

    def take_head(self, limit: int) -> bytes | None:
        """Return a head that has arrived; ``None`` if it must be read.

        Parameters
        ----------
        limit
            Maximum size of a head, in bytes; 0 for none.
        """
        end = self.buffer.find(HEAD_END)
        size = end + len(HEAD_END)
        # An empty line may precede a request.
        if end <= 0 or size > limit > 0:
            return None
        return self.take(size)

    def take(self, size: int) -> bytes:
        """Return so many bytes of the buffer, or all if there are fewer."""
        data = bytes(memoryview(self.buffer)[:size])
        del self.buffer[:size]
        self.searched = 0
        return data

    def read1(self, size: int) -> bytes:
        """Return some bytes, at most so many; none at the end."""
        if self.buffer:
            return self.take(size)
        return self.next_bytes(min(size, BODY_RECEIVE_BYTES))

    def read(self, size: int) -> bytes:
        """Return so many bytes, or fewer at the end."""
        data = self.take(size)
        if len(data) == size:
            return data
        # Its value is no further copy, other than that of joined pieces.
        body = io.BytesIO(data)
        body.seek(len(data))
        left = size - len(data)
        while left and (piece := self.read1(left)):
            body.write(piece)
            left -= len(piece)
        return body.getvalue()

    def await_bytes(self, size: int) -> None:
        """Wait until so many bytes can be read, or the end has come."""
        while len(self.buffer) < size:
            data = self.next_bytes(BODY_RECEIVE_BYTES)
            if not data:
                return
            self.buffer += data

    def readline(self, size: int | None = None) -> bytes:
        """Return the next line, or as much of it as the size allows."""
        searched = 0
        while True:
            end = self.buffer.find(b"\n", searched) + 1
            if size and (end > size or (not end and len(self.buffer) >= size)):
                return self.take(size)
            if end:
                return self.take(end)
            searched = len(self.buffer)
            data = self.next_bytes()
            if not data:
                return self.take(searched)
            self.buffer += data

    def close(self) -> None:
        """Drop what was received."""
        self.buffer = bytearray()
        self.has_ended = True
