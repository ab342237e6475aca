"""Reading of the bodies of callers' requests."""

from __future__ import annotations

import typing

import cheroot.errors

from briarseam import clocks
from briarseam.forwarding import held_bytes

if typing.TYPE_CHECKING:
    import cheroot.server

# After a refusal the rest of the body is read and dropped for at most this
# long, and while some of it arrives at least this often.
DRAIN_S = 2.0
DRAIN_PAUSE_S = 1.0
DRAIN_READ_BYTES = 65536
READ_BYTES = 65536
# Each chunk costs processor time, however small it is.
MAX_CHUNKS = 16384
MAX_LINE_BYTES = 8192
CRLF = b"\r\n"


class BodyError(Exception):
    """A request's body did not arrive as announced."""


class BodyTooLargeError(BodyError):
    """A request's body exceeds the maximum size."""


class BodyNotHeldError(BodyError):
    """A request's body would exceed the limit of bytes held."""


class CountedReader:
    """Reads the chunks of a body, and counts each one before it is read.

    Parameters
    ----------
    reader
        Reads from the connection.
    holding
        Counts the bytes.
    """

    def __init__(
        self, reader: typing.Any, holding: held_bytes.Holding
    ) -> None:
        self.reader = reader
        self.holding = holding
        self.lines = 0

    def readline(self) -> bytes:
        """Return the next line, which is not part of the body.

        Raises
        ------
        ValueError
            If there are too many chunks or trailers, or the line is too long.
        """
        self.lines += 1
        line: bytes = self.reader.readline(MAX_LINE_BYTES)
        if self.lines > MAX_CHUNKS or not line.endswith(b"\n"):
            raise ValueError("the body has too many chunks, or a line cut off")
        return line

    def read(self, size: int) -> bytes:
        """Return this number of bytes.

        Raises
        ------
        OverLimitError
            If they exceed the limit of bytes held; none are read then.
        """
        # A CRLF follows each chunk.
        if size > len(CRLF):
            self.holding.hold_body(size)
        data: bytes = self.reader.read(size)
        return data


def read(
    request: cheroot.server.HTTPRequest, holding: held_bytes.Holding
) -> bytes:
    """Return the complete body of a request; see ``Exchange.read_body``."""
    reader = request.rfile
    try:
        if request.chunked_read:
            holding.hold_body(0)
            reader.rfile = CountedReader(reader.rfile, holding)
            body = read_chunks(reader)
            for _trailer in reader.read_trailer_lines():
                pass
            return body
        length = reader.remaining
        holding.hold_body(length)
        body = reader.read(length) if length else b""
    except held_bytes.OverLimitError as error:
        raise BodyNotHeldError("too many bytes are held") from error
    except cheroot.errors.MaxSizeExceeded as error:
        raise BodyTooLargeError("the body exceeds the maximum size") from error
    except (ValueError, OSError) as error:
        raise BodyError(str(error)) from error
    if len(body) != length:
        raise BodyError("the body is shorter than its Content-Length")
    return body


def read_chunks(reader: typing.Any) -> bytes:
    """Return a chunked body; the library copies it again for each read."""
    pieces = []
    while piece := reader.read(READ_BYTES):
        pieces.append(piece)
    return b"".join(pieces)


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
    connection.meter.begin()
    connection.socket.settimeout(DRAIN_PAUSE_S)
    left = remaining(request)
    end_s = clocks.boot_clock() + DRAIN_S
    try:
        while left != 0 and clocks.boot_clock() < end_s:
            size = DRAIN_READ_BYTES
            if left is not None:
                size = min(size, left)
            data = connection.rfile.read1(size)
            if not data:
                return
            if left is not None:
                left -= len(data)
    except OSError:
        # The caller closed the connection, or sends nothing more.
        return
