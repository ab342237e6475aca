"""Reading of the bodies of callers' requests."""

from __future__ import annotations

import contextlib
import io
import re
import typing

import structlog

from briarseam import clocks
from briarseam import turns
from briarseam.clients import budget as budgets
from briarseam.clients import reader as readers
from briarseam.forwarding import held_bytes

if typing.TYPE_CHECKING:
    import cheroot.server

    from briarseam.clients import connection as connections

# After a refusal the rest of the body is read and dropped for at most this
# long, and while some of it arrives at least this often.
DRAIN_S = 2.0
DRAIN_PAUSE_S = 1.0
DRAIN_READ_BYTES = 16384
# Nothing is drained if so many others drain that there is no turn in time.
DRAIN_TURN_S = 0.1
# Each chunk costs processor time, however small it is.
MAX_CHUNKS = 16384
MAX_LINE_BYTES = 8192
CRLF = b"\r\n"
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(;[^\r\n]*)?\r\n")
log = structlog.get_logger("briarseam.forwarding")


class BodyError(Exception):
    """A request's body did not arrive as announced."""


class BodyTooLargeError(BodyError):
    """A request's body exceeds the maximum size."""


class BodyNotHeldError(BodyError):
    """A request's body would exceed the limit of bytes held."""


class ChunkedBody:
    """Decodes a chunked body as it comes.

    Cheroot's decoder holds a chunk three times and takes long for small
    ones.

    Parameters
    ----------
    reader
        Reads from the connection.
    holding
        Counts the bytes.
    max_bytes
        Maximum size of the body; 0 for none.
    """

    def __init__(
        self,
        reader: readers.ClientReader,
        holding: held_bytes.Holding,
        max_bytes: int,
    ) -> None:
        self.reader = reader
        self.holding = holding
        self.max_bytes = max_bytes
        self.lines = 0
        self.body = io.BytesIO()

    def read(self) -> bytes:
        """Return the body, and read what follows its last chunk.

        Raises
        ------
        BodyTooLargeError
            If it exceeds the maximum size.
        ValueError
            If it is malformed, or has too many chunks or trailers.
        """
        while size := self.chunk_size():
            if self.body.tell() + size > self.max_bytes > 0:
                raise BodyTooLargeError("the body exceeds the maximum size")
            self.holding.hold_body(size)
            self.copy(size)
            if self.reader.read(len(CRLF)) != CRLF:
                raise ValueError("a chunk does not end with its size")
        while self.line() != CRLF:
            pass
        return self.body.getvalue()

    def chunk_size(self) -> int:
        """Return the size of the next chunk."""
        line = self.line()
        match = CHUNK_SIZE.fullmatch(line)
        if match is None:
            raise ValueError(f"malformed chunk size {line[:20]!r}")
        return int(match[1], 16)

    def line(self) -> bytes:
        """Return the next line, which is not part of the body."""
        self.lines += 1
        line = self.reader.readline(MAX_LINE_BYTES)
        if self.lines > MAX_CHUNKS or not line.endswith(CRLF):
            raise ValueError("the body has too many chunks, or a line cut off")
        return line

    def copy(self, size: int) -> None:
        """Read a chunk."""
        while size:
            piece = self.reader.read1(size)
            if not piece:
                raise ValueError("the body ends within a chunk")
            self.body.write(piece)
            size -= len(piece)


def read(
    request: cheroot.server.HTTPRequest, holding: held_bytes.Holding
) -> bytes:
    """Return the complete body of a request; see ``Exchange.read_body``."""
    if not request.chunked_read and not request.rfile.remaining:
        return b""
    try:
        if is_there(request):
            return read_framed(request, holding)
        with (
            request.conn.share.waiting(budgets.State.BODY),
            turn_of(request, readers.MAX_TURN_WAIT_S),
        ):
            return read_framed(request, holding)
    except (held_bytes.OverLimitError, budgets.EvictedError):
        failure: BodyError = BodyNotHeldError("too many bytes are held")
    except BodyError as error:
        failure = type(error)(str(error))
    except (ValueError, OSError) as error:
        failure = BodyError(str(error))
    # Not chained: what was read of the body would live as long as this.
    raise failure


def turn_of(
    request: cheroot.server.HTTPRequest, max_wait_s: float
) -> contextlib.AbstractContextManager[None]:
    """Return the turn in which a body is read; small ones need none."""
    left = remaining(request)
    if left is not None and left < turns.MIN_BODY_BYTES:
        return contextlib.nullcontext()
    reader: readers.ClientReader = request.conn.rfile
    return reader.taking_turns(turns.LARGE_REQUESTS, max_wait_s)


def is_there(request: cheroot.server.HTTPRequest) -> bool:
    """Return whether a whole body of known length has arrived."""
    if request.chunked_read:
        return False
    arrived = len(request.conn.rfile.buffer)
    return bool(request.rfile.remaining <= arrived)


def read_framed(
    request: cheroot.server.HTTPRequest, holding: held_bytes.Holding
) -> bytes:
    """Return a body by its length or its chunks."""
    if request.chunked_read:
        holding.hold_body(0)
        max_bytes = request.server.max_request_body_size
        body = ChunkedBody(request.conn.rfile, holding, max_bytes)
        return body.read()
    length: int = request.rfile.remaining
    holding.hold_body(length)
    data: bytes = request.rfile.read(length)
    if len(data) != length:
        request.conn.account.check()
        raise BodyError("the body is shorter than its Content-Length")
    return data


def remaining(request: cheroot.server.HTTPRequest) -> int | None:
    """Return the unread bytes of a body; ``None`` if it is chunked."""
    if request.chunked_read:
        return None
    count: int = request.rfile.remaining
    return count


def drain(request: cheroot.server.HTTPRequest) -> None:
    """Read and drop what is left of a body, for a limited time.

    A chunked body ends here when the caller closes the connection.
    """
    connection = request.conn
    try:
        with (
            connection.share.waiting(budgets.State.BODY),
            turn_of(request, DRAIN_TURN_S),
        ):
            drop(connection, remaining(request))
    except OSError as error:
        # The caller has left, or sends nothing more, or gives way.
        log.debug("body_not_drained", detail=str(error))


def drop(connection: connections.Connection, left: int | None) -> None:
    """Read and drop so many bytes, or until the caller closes."""
    meter = connection.meter
    meter.begin()
    end_s = clocks.boot_clock() + DRAIN_S
    while left != 0 and clocks.boot_clock() < end_s:
        size = DRAIN_READ_BYTES
        if left is not None:
            size = min(size, left)
        with meter.waiting(DRAIN_PAUSE_S):
            data = connection.rfile.read1(size)
        if not data:
            return
        if left is not None:
            left -= len(data)
