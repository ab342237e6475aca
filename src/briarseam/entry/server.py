"""The HTTP server of an entry: CherryPy's, with strict framing checks."""

from __future__ import annotations

import dataclasses
import typing

import cheroot.server
import cheroot.wsgi

from briarseam import bounded_requests
from briarseam.clients import budget as budgets
from briarseam.clients import connection
from briarseam.clients import listening

BACKLOG = 512
IDLE_TIMEOUT_S = 30
SHUTDOWN_TIMEOUT_S = 2
LIMITS = bounded_requests.RequestLimits()
FRAMING_ERROR = b"X-Briarseam-Framing-Error"
FRAMING_ENVIRON = "HTTP_X_BRIARSEAM_FRAMING_ERROR"
SINGLE_HEADERS = frozenset(
    {
        b"Content-Length",
        b"Transfer-Encoding",
        b"Host",
        b"Authorization",
        b"Idempotency-Key",
        b"Last-Event-Id",
        b"Answer-Id",
    }
)


@dataclasses.dataclass(frozen=True)
class FramingRules:
    """What a server accepts besides bodies with a Content-Length.

    Attributes
    ----------
    allow_chunked
        Whether bodies may have the chunked transfer coding.
    allow_underscores
        Whether header names may contain underscores.  WSGI turns dashes
        into underscores, so that two different headers would become one.
    """

    allow_chunked: bool = False
    allow_underscores: bool = False


DEFAULT_RULES = FramingRules()


class StrictHeaderReader(cheroot.server.HeaderReader):
    """Marks requests whose framing two parsers could interpret differently.

    This prevents request smuggling: if one hop ends a body by its length
    and the next by its chunks, the body can hide a second request, which
    would run under the first one's token.  Signs of it are a repeated
    length, a length together with chunks, a folded line, or a repeated
    header that identifies the caller or the request.  The mark makes the
    application refuse the request with a problem document, and no byte
    after the headers is read.
    """

    rules = DEFAULT_RULES

    def __call__(
        self,
        rfile: typing.Any,
        hdict: dict[bytes, bytes] | None = None,
    ) -> dict[bytes, bytes]:
        """Read the headers; add the mark if they are ambiguous."""
        reader = RecordingReader(rfile)
        headers: dict[bytes, bytes] = super().__call__(reader, hdict)
        headers.pop(FRAMING_ERROR, None)
        problem = find_framing_problem(reader.lines, self.rules)
        if problem:
            headers[FRAMING_ERROR] = problem.encode()
            headers.pop(b"Content-Length", None)
            headers.pop(b"Transfer-Encoding", None)
        return headers


class RecordingReader:
    """Reads lines and records them."""

    def __init__(self, rfile: typing.Any) -> None:
        self.rfile = rfile
        self.lines: list[bytes] = []

    def readline(self) -> bytes:
        """Return the next line."""
        line: bytes = self.rfile.readline()
        self.lines.append(line)
        return line


def find_framing_problem(
    lines: list[bytes], rules: FramingRules = DEFAULT_RULES
) -> str:
    """Return what is ambiguous about header lines, or ""."""
    headers_seen: dict[bytes, bytes] = {}
    for line in lines:
        if line[:1] in (b" ", b"\t"):
            return "folded header line"
        name, colon, value = line.partition(b":")
        if not colon:
            continue
        if name != name.strip():
            return "white space around a header name"
        if b"_" in name and not rules.allow_underscores:
            # WSGI maps "_" and "-" to the same character.
            return "underscore in a header name"
        name = name.title()
        if name in headers_seen and name in SINGLE_HEADERS:
            return f"repeated header {name.decode('latin-1')}"
        headers_seen[name] = value.strip()
        if name == b"Content-Length" and not value.strip().isdigit():
            return "Content-Length is not a number"
    return find_transfer_coding_problem(headers_seen, rules)


def find_transfer_coding_problem(
    headers: dict[bytes, bytes], rules: FramingRules
) -> str:
    """Return what is wrong with a body's transfer coding, or ""."""
    coding = headers.get(b"Transfer-Encoding")
    if coding is None:
        return ""
    if not rules.allow_chunked:
        return "Transfer-Encoding is not accepted, send Content-Length"
    if b"Content-Length" in headers:
        return "both Content-Length and Transfer-Encoding are present"
    if coding.lower() != b"chunked":
        return "unknown Transfer-Encoding"
    return ""


class StrictRequest(cheroot.server.HTTPRequest):
    """A request that closes its connection if its framing is ambiguous."""

    header_reader = StrictHeaderReader()

    def parse_request(self) -> None:
        """Read the head within the limits of the server."""
        base: typing.Any = super()
        bounded_requests.parse(self, base.parse_request)

    def read_request_headers(self) -> bool:
        """Read the headers; close the connection if they are ambiguous."""
        base: typing.Any = super()
        is_valid: bool = base.read_request_headers()
        if FRAMING_ERROR in self.inheaders:
            self.close_connection = True
        return is_valid


class EntryRequest(StrictRequest):
    """A request whose body has arrived before the application reads it."""

    def respond(self) -> None:
        """Wait for the body, then answer.

        The application refuses larger bodies without reading them.
        """
        length = int(self.inheaders.get(b"Content-Length", 0))
        if not 0 < length <= self.server.max_held_body_bytes:
            super().respond()
            return
        share = self.conn.share
        if not share.add(length):
            self.close_connection = True
            self.simple_response("503 Service Unavailable")
            return
        with share.waiting(budgets.State.BODY):
            self.conn.rfile.await_bytes(length)
        super().respond()


class EntryConnection(connection.Connection):
    """A connection whose requests are :class:`EntryRequest`."""

    RequestHandlerClass = EntryRequest


class Server(listening.ManagedServer, cheroot.wsgi.Server):
    """CherryPy's server, whose connections count in a budget.

    Attributes
    ----------
    max_held_body_bytes
        Size up to which bodies are held; larger ones are refused.
    """

    max_held_body_bytes = LIMITS.body_bytes


def build_server(
    listen: tuple[str, int],
    application: typing.Callable[..., typing.Any],
    threads: int,
    budget: budgets.Budget | None = None,
) -> Server:
    """Return a server that is not yet bound to its address.

    Parameters
    ----------
    listen
        IP address and port.
    application
        WSGI application.
    threads
        Number of threads, and so of requests served concurrently.
    budget
        Counts and limits what clients make the process hold; no limit
        unless given.
    """
    server = Server(
        listen,
        application,
        numthreads=threads,
        max=threads,
        server_name="briarseam",
        request_queue_size=BACKLOG,
        timeout=IDLE_TIMEOUT_S,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    server.ConnectionClass = EntryConnection
    server.budget = budget or budgets.Budget()
    bounded_requests.apply(server, LIMITS)
    # The application refuses larger bodies, with a problem document.
    server.max_request_body_size = 0
    return server
