"""HTTP clients that bound the answers that they read, and refuse broken ones.

The HTTP library reads heads, chunk sizes and trailers in loops of its own, as
long as something comes, and takes some answers for complete that were cut
short or are malformed.  Here its connections read through a meter, and heads
and framing by a strict grammar.
"""

from __future__ import annotations

import dataclasses
import functools
import http.client
import io
import typing

import urllib3
import urllib3.connection

from briarseam import bounded_reads
from briarseam import http_heads

# All lines of a head, those of interim answers before it included.
MAX_HEAD_BYTES = 65536
# What an answer may weigh that is decoded as a whole: reports and lists.
MAX_BODY_BYTES = 8 * 1024 * 1024
# What may follow the last chunk of a body, and how long.
MAX_TRAILER_BYTES = 8192
MAX_TRAILER_S = 0.1
MAX_LINE_BYTES = 8192
# Parsing one takes some time, however small it is.
MAX_INTERIM_ANSWERS = 16
SWITCHING_PROTOCOLS = 101


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of an answer.

    Attributes
    ----------
    head_bytes
        Maximum size of its head.
    head_s
        Maximum time in which the head must come, from its first byte, in
        seconds.
    body_bytes
        Maximum size of its body, framing included; ``None`` if the body is
        bounded by whoever reads it.
    """

    head_bytes: int = MAX_HEAD_BYTES
    head_s: float = bounded_reads.UNLIMITED_S
    body_bytes: int | None = MAX_BODY_BYTES


DEFAULT_LIMITS = Limits()


class RequestCutShortError(ConnectionError):
    """The connection broke while a request was written.

    The library would go on and read the answer after a broken pipe or a
    reset.  But a reset is reported only once: what came before it would read
    as an answer that has ended in order.
    """


class LineReader(io.BufferedReader):
    """Reads lines that end; a line cut short is an error.

    Otherwise a head that the other side has cut reads as a shorter one, and a
    chunk size as a smaller one, which may be that of the last chunk.

    Parameters
    ----------
    raw
        Reads from the connection.
    """

    def __init__(self, raw: bounded_reads.MeteredReader) -> None:
        super().__init__(raw)
        self.metered = raw

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return the next line, or as much of it as the size allows.

        Raises
        ------
        RemoteDisconnected
            If the connection ends before the line does.
        """
        line = super().readline(size)
        if line.endswith(b"\n") or len(line) == size:
            return line
        raise http.client.RemoteDisconnected("closed within a line")

    def close(self) -> None:
        """Close; bytes behind the answer spoil its connection.

        They are lost with this buffer, and what follows them would be read
        as the head of the next answer.
        """
        if not self.closed and self.buffered():
            self.metered.meter.is_spoiled = True
        super().close()

    def buffered(self) -> bytes:
        """Return what is buffered; it stays unread."""
        self.metered.paused = True
        try:
            return self.peek(1)
        finally:
            self.metered.paused = False


class Response(http.client.HTTPResponse):
    """An answer that is read through a meter.

    Parameters
    ----------
    sock
        The connection's socket.
    options
        See :class:`http.client.HTTPResponse`.
    limits
        Limits of the answer.
    meter
        Counts what is read.
    """

    def __init__(
        self,
        sock: typing.Any,
        *options: typing.Any,
        limits: Limits,
        meter: bounded_reads.Meter,
        **more_options: typing.Any,
    ) -> None:
        super().__init__(sock, *options, **more_options)
        self.limits = limits
        self.meter = meter
        raw = typing.cast("io.BufferedReader", self.fp).detach()
        self.fp: typing.Any = LineReader(
            bounded_reads.MeteredReader(raw, sock, meter)
        )

    def begin(self) -> None:
        """Read the head; skip interim answers.

        Raises
        ------
        MalformedAnswerError
            If a head is malformed, also that of an interim answer.
        TooManyBytesError
            If the head, or the announced length, is too large.
        """
        method = str(self._method)  # type: ignore[attr-defined]
        for _interim in range(MAX_INTERIM_ANSWERS + 1):
            head = http_heads.read_answer_head(self.fp)
            framing = http_heads.framing_of(head, method)
            if head.status >= http_heads.FIRST_FINAL:
                self.take_head(head, framing)
                self.begin_body()
                return
            if head.status == SWITCHING_PROTOCOLS:
                break
        raise bounded_reads.TooManyBytesError("no answer after interim ones")

    def take_head(
        self, head: http_heads.AnswerHead, framing: http_heads.Framing
    ) -> None:
        """Set the attributes that the library sets when it reads a head."""
        self.version = head.version
        self.code = self.status = head.status
        self.reason = head.reason
        self.headers = self.msg = http.client.HTTPMessage()
        for name, value in head.fields:
            self.headers.set_raw(name, value)
        self.chunked = framing.chunked
        self.chunk_left = None
        self.length = framing.length
        self.will_close = not http_heads.stays_open(head, framing)

    def begin_body(self) -> None:
        """Begin to count the body; the library may read it at once."""
        self.check_size(self.length or 0)
        max_bytes = self.limits.body_bytes
        if max_bytes is None:
            max_bytes = bounded_reads.UNLIMITED_BYTES
        self.meter.begin(max_bytes)

    def check_size(self, size: int) -> None:
        """Raise if a body, or a chunk, is announced that is too large."""
        max_bytes = self.limits.body_bytes
        if max_bytes is not None and size > max_bytes:
            raise bounded_reads.TooManyBytesError(
                f"{size} bytes announced, more than {max_bytes}"
            )

    # These replace methods that the library calls while it reads a body.

    def _get_chunk_left(self) -> int | None:
        """Return what is left of the chunk, or the size of the next one.

        The library takes any two bytes for the line end behind a chunk.
        """
        base: typing.Any = super()
        if self.chunk_left == 0:
            http_heads.check_chunk_end(base._safe_read(len(http_heads.CRLF)))
            self.chunk_left = None
        left: int | None = base._get_chunk_left()
        return left

    def _read1_chunked(self, size: int) -> bytes:
        """Return some data of a chunk.

        What has come behind the chunk is checked at once, since its data may
        be passed on before the next read.
        """
        base: typing.Any = super()
        data: bytes = base._read1_chunked(size)
        if self.chunk_left == 0:
            buffered = self.fp.buffered()
            http_heads.check_chunk_end(buffered[: len(http_heads.CRLF)])
        return data

    def _read_next_chunk_size(self) -> int:
        """Return the size of the next chunk.

        The library accepts signs, underscores and an empty line, too.
        """
        self.meter.add_chunk()
        line = self.fp.readline(MAX_LINE_BYTES)
        size = http_heads.parse_chunk_size(line)
        self.check_size(size)
        return size

    def _read_and_discard_trailer(self) -> None:
        """Read what follows the last chunk.

        The body is complete, so that nothing here makes the answer fail.
        """
        meter = self.meter
        meter.stop_checking()
        meter.begin(MAX_TRAILER_BYTES)
        try:
            with meter.waiting(MAX_TRAILER_S):
                http_heads.read_fields(self.fp)
        except (OSError, http.client.HTTPException):
            meter.is_spoiled = True


class Connection(urllib3.connection.HTTPConnection):
    """A connection whose answers are bounded.

    The timeout holds for a whole answer, from when its head is awaited, not
    for each read.

    Parameters
    ----------
    address
        Host and port.
    limits
        Limits of each answer.
    options
        See :class:`urllib3.connection.HTTPConnection`.

    Attributes
    ----------
    meter
        Counts what is read.
    """

    def __init__(
        self,
        *address: typing.Any,
        limits: Limits = DEFAULT_LIMITS,
        **options: typing.Any,
    ) -> None:
        super().__init__(*address, **options)
        self.limits = limits
        self.meter = bounded_reads.Meter()

    @property
    def is_connected(self) -> bool:
        """Whether the connection can be used again."""
        return super().is_connected and not self.meter.is_spoiled

    def connect(self) -> None:
        """Connect; nothing has been read from the new connection."""
        self.meter.is_spoiled = False
        super().connect()

    def putheader(  # type: ignore[override]
        self, header: str, *values: typing.Any
    ) -> None:
        """Add a field to the request.

        Raises
        ------
        MalformedFieldError
            If the grammar does not allow it: the library looks for no other
            control characters than line ends, and not into names.
        """
        name = as_text(header)
        http_heads.check_fields([(name, as_text(value)) for value in values])
        super().putheader(header, *values)

    def request(self, *request: typing.Any, **options: typing.Any) -> None:
        """Send a request.

        Raises
        ------
        RequestCutShortError
            If the connection broke while it was written.
        """
        try:
            super().request(*request, **options)
        except (BrokenPipeError, ConnectionResetError) as error:
            raise RequestCutShortError(str(error)) from error

    def getresponse(  # type: ignore[override]
        self,
    ) -> urllib3.BaseHTTPResponse:
        """Return the answer with its body unread.

        Raises
        ------
        LimitExceededError
            If its head exceeds a limit.
        TimeoutError
            If it does not come in time.
        """
        limits, meter = self.limits, self.meter
        self.response_class: typing.Any = functools.partial(
            Response, limits=limits, meter=meter
        )
        timeout_s = self.timeout
        meter.deadline_s = bounded_reads.UNLIMITED_S
        if isinstance(timeout_s, int | float):
            meter.deadline_s = meter.clock() + timeout_s
        meter.begin(limits.head_bytes, limits.head_s)
        return super().getresponse()


class ConnectionPool(urllib3.HTTPConnectionPool):
    """Connections to one address whose answers are bounded.

    Bodies are not decompressed: no limit would hold for what they grow to.
    """

    ConnectionCls = Connection

    def urlopen(
        self, *request: typing.Any, **options: typing.Any
    ) -> urllib3.BaseHTTPResponse:
        """Send a request and return the answer."""
        options.setdefault("decode_content", False)
        return super().urlopen(*request, **options)


def as_text(part: str | bytes | int) -> str:
    """Return a name or a value of a field as the library writes it."""
    return part.decode("latin-1") if isinstance(part, bytes) else str(part)


def pool_manager(
    limits: Limits = DEFAULT_LIMITS, **options: typing.Any
) -> urllib3.PoolManager:
    """Return connections to any address whose answers are bounded.

    Parameters
    ----------
    limits
        Limits of each answer.
    options
        See :class:`urllib3.PoolManager`.
    """
    pools = urllib3.PoolManager(**options)
    pool_class: typing.Any = functools.partial(ConnectionPool, limits=limits)
    pools.pool_classes_by_scheme = {"http": pool_class}
    return pools
