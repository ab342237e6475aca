"""The HTTP server of an entry: CherryPy's, made strict about framing."""

from __future__ import annotations

import dataclasses
import typing

import cheroot.server
import cheroot.wsgi

BACKLOG = 512
IDLE_TIMEOUT_S = 30
SHUTDOWN_TIMEOUT_S = 2
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
    """What a server takes besides plain bodies with a length.

    Attributes
    ----------
    allow_chunked
        Whether bodies may come in chunks.
    allow_underscores
        Whether header names may have them; a WSGI application sees them
        as dashes, so that two headers would become one.
    """

    allow_chunked: bool = False
    allow_underscores: bool = False


PLAIN_RULES = FramingRules()


class StrictHeaderReader(cheroot.server.HeaderReader):
    """Marks requests whose framing two parsers could read differently.

    The failure is request smuggling: a body that one hop ends by its
    length and the next by its chunks hides a second request, which would
    run under the first one's token.  It shows as a doubled length, a
    length beside chunks, a folded line, or a repeated header that decides
    who asks for what.  The mark makes the application refuse the request
    with its usual document, and no byte after the headers is used.
    """

    rules = PLAIN_RULES

    def __call__(
        self,
        rfile: typing.Any,
        hdict: dict[bytes, bytes] | None = None,
    ) -> dict[bytes, bytes]:
        """Read the headers; add the mark where they are ambiguous."""
        lines = RecordingReader(rfile)
        headers: dict[bytes, bytes] = super().__call__(lines, hdict)
        headers.pop(FRAMING_ERROR, None)
        problem = find_framing_problem(lines.lines, self.rules)
        if problem:
            headers[FRAMING_ERROR] = problem.encode()
            headers.pop(b"Content-Length", None)
            headers.pop(b"Transfer-Encoding", None)
        return headers


class RecordingReader:
    """Passes lines on and remembers them."""

    def __init__(self, rfile: typing.Any) -> None:
        self.rfile = rfile
        self.lines: list[bytes] = []

    def readline(self) -> bytes:
        """Return the next line."""
        line: bytes = self.rfile.readline()
        self.lines.append(line)
        return line


def find_framing_problem(
    lines: list[bytes], rules: FramingRules = PLAIN_RULES
) -> str:
    """Return what is ambiguous about header lines, empty if nothing."""
    seen: dict[bytes, bytes] = {}
    for line in lines:
        if line[:1] in (b" ", b"\t"):
            return "folded header line"
        name, colon, value = line.partition(b":")
        if not colon:
            continue
        if name != name.strip():
            return "white space around a header name"
        if b"_" in name and not rules.allow_underscores:
            # The application sees "_" and "-" as the same character.
            return "underscore in a header name"
        name = name.title()
        if name in seen and name in SINGLE_HEADERS:
            return f"repeated header {name.decode('latin-1')}"
        seen[name] = value.strip()
        if name == b"Content-Length" and not value.strip().isdigit():
            return "Content-Length is no number"
    return find_coding_problem(seen, rules)


def find_coding_problem(
    headers: dict[bytes, bytes], rules: FramingRules
) -> str:
    """Return what is wrong about a body's transfer coding, if anything."""
    coding = headers.get(b"Transfer-Encoding")
    if coding is None:
        return ""
    if not rules.allow_chunked:
        return "Transfer-Encoding is not accepted, send Content-Length"
    if b"Content-Length" in headers:
        return "Content-Length beside Transfer-Encoding"
    if coding.lower() != b"chunked":
        return "unknown Transfer-Encoding"
    return ""


class StrictRequest(cheroot.server.HTTPRequest):
    """A request whose connection ends when its framing is ambiguous."""

    header_reader = StrictHeaderReader()

    def read_request_headers(self) -> bool:
        """Read the headers; plan to close after an ambiguous request."""
        base: typing.Any = super()
        understood: bool = base.read_request_headers()
        if FRAMING_ERROR in self.inheaders:
            self.close_connection = True
        return understood


class StrictConnection(cheroot.server.HTTPConnection):
    """A connection of strict requests."""

    RequestHandlerClass = StrictRequest


def build_server(
    listen: tuple[str, int],
    application: typing.Callable[..., typing.Any],
    threads: int,
) -> cheroot.wsgi.Server:
    """Return the server, not yet bound.

    Parameters
    ----------
    listen
        IP number and port.
    application
        WSGI application.
    threads
        Callers served at once.
    """
    server = cheroot.wsgi.Server(
        listen,
        application,
        numthreads=threads,
        max=threads,
        server_name="briarseam",
        request_queue_size=BACKLOG,
        timeout=IDLE_TIMEOUT_S,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    server.ConnectionClass = StrictConnection
    return server
