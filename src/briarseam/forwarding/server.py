"""HTTP servers towards callers: cheroot's, made strict about framing."""

from __future__ import annotations

import http
import logging
import threading
import typing

import cheroot.errors
import cheroot.server
import structlog

from briarseam import connection_threads
from briarseam.entry import server as strict

if typing.TYPE_CHECKING:
    from briarseam import inflight

BACKLOG = 1024
# How often idle connections are looked through, in seconds.
EXPIRY_INTERVAL_S = 0.5
# Added to the idle time that callers are told: the server's clock for it is
# the time of day, which may jump forward by seconds, and a connection that
# is closed early loses the request which is just on its way.
IDLE_SLACK_S = 8.0
SHUTDOWN_TIMEOUT_S = 1
# Connections kept for callers' next requests; descriptors bound them anyhow.
MAX_IDLE_CONNECTIONS = 100_000
CRLF = b"\r\n"
LAST_CHUNK = b"0\r\n\r\n"

Headers = typing.Sequence[tuple[str, str]]
log = structlog.get_logger("briarseam.forwarding")


class HeaderReader(strict.StrictHeaderReader):
    """Reads headers; bodies may come in chunks."""

    rules = strict.FramingRules(chunks=True, underscores=True)


class Request(strict.StrictRequest):
    """A request whose body may come in chunks."""

    header_reader = HeaderReader()


class Connection(cheroot.server.HTTPConnection):
    """A connection of such requests."""

    RequestHandlerClass = Request


class BodyError(Exception):
    """A request's body did not arrive as announced."""


class BodyTooLargeError(BodyError):
    """A request's body is larger than callers may send."""


class Exchange:
    """One request and its answer.

    Parameters
    ----------
    request
        Cheroot's request, its headers read.
    leaving
        Whether callers are asked not to keep their connections.

    Attributes
    ----------
    head_sent
        Whether any byte of an answer was sent.
    """

    def __init__(
        self,
        request: cheroot.server.HTTPRequest,
        leaving: typing.Callable[[], bool] = lambda: False,
    ) -> None:
        self.request = request
        self.leaving = leaving
        self.head_sent = False
        self.chunked = False

    @property
    def method(self) -> str:
        """HTTP method."""
        return str(self.request.method.decode("latin-1"))

    @property
    def target(self) -> str:
        """Path and query as they came."""
        return str(self.request.uri.decode("latin-1"))

    @property
    def headers(self) -> list[tuple[str, str]]:
        """Headers by name; a repeated one joined with commas."""
        return [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self.request.inheaders.items()
        ]

    @property
    def framing_error(self) -> str:
        """What two parsers could read differently; empty if nothing."""
        value = self.request.inheaders.get(strict.FRAMING_ERROR, b"")
        return str(value.decode("latin-1"))

    @property
    def socket(self) -> typing.Any:
        """The caller's socket."""
        return self.request.conn.socket

    @property
    def caller_ip(self) -> str:
        """Where the connection came from, without the port."""
        return str(self.request.conn.remote_addr)

    def read_body(self) -> bytes:
        """Return the whole body, so that the next request begins after it.

        Raises
        ------
        BodyTooLargeError
            If it is larger than the server accepts.
        BodyError
            If it ends early or is not framed properly.
        """
        reader = self.request.rfile
        try:
            if self.request.chunked_read:
                body: bytes = reader.read()
                for _trailer in reader.read_trailer_lines():
                    pass
                return body
            length = reader.remaining
            body = reader.read(length) if length else b""
        except cheroot.errors.MaxSizeExceeded as error:
            raise BodyTooLargeError("the body is too large") from error
        except (ValueError, OSError) as error:
            raise BodyError(str(error)) from error
        if len(body) != length:
            raise BodyError("the body ended early")
        return body

    def close_after(self) -> None:
        """End the connection after this answer."""
        self.request.close_connection = True

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        framed = [*headers, ("Content-Length", str(len(body)))]
        head = self.head(status, framed)
        content = b"" if self.method == "HEAD" else body
        self.request.conn.wfile.write(head + content)

    def begin(self, status: int, headers: Headers, first: bytes) -> None:
        """Send the head of an answer of unknown length and its first bytes.

        Without chunks the end of the connection would be the end of the
        answer, and a broken one would look whole; callers of HTTP/1.0 get
        that, since they have nothing else.
        """
        self.chunked = self.request.response_protocol == "HTTP/1.1"
        framed = list(headers)
        if self.chunked:
            framed.append(("Transfer-Encoding", "chunked"))
        else:
            self.close_after()
        head = self.head(status, framed)
        self.request.conn.wfile.write(head + self.frame(first))

    def send(self, data: bytes) -> None:
        """Send more of an answer that was begun."""
        if data:
            self.request.conn.wfile.write(self.frame(data))

    def finish(self) -> None:
        """End an answer that was begun as whole."""
        if self.chunked:
            self.request.conn.wfile.write(LAST_CHUNK)

    def abort(self) -> None:
        """End the connection, so that an answer that was begun is broken."""
        self.head_sent = True
        self.request.sent_headers = True
        self.close_after()

    def frame(self, data: bytes) -> bytes:
        """Return bytes of a body as the transfer coding needs them."""
        if not self.chunked or not data:
            return data
        return b"%x\r\n%s\r\n" % (len(data), data)

    def head(self, status: int, headers: Headers) -> bytes:
        """Return the head of an answer, which counts as sent."""
        self.head_sent = True
        self.request.sent_headers = True
        if self.leaving():
            # A connection that is kept could carry the next request just
            # as the process ends.
            self.close_after()
        lines = [f"HTTP/1.1 {status} {reason_phrase(status)}"]
        lines.extend(f"{name}: {value}" for name, value in headers)
        if self.request.close_connection:
            lines.append("Connection: close")
        text = "\r\n".join(lines)
        return text.encode("latin-1") + CRLF + CRLF


def reason_phrase(status: int) -> str:
    """Return the reason phrase of a status."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


Handler = typing.Callable[[Exchange], None]


class Gateway(cheroot.server.Gateway):
    """Hands requests to the server's handler."""

    def respond(self) -> None:
        """Let the handler answer."""
        server = self.req.server
        server.handler(Exchange(self.req, server.is_leaving))


class Server(cheroot.server.HTTPServer):
    """One listening address.

    Parameters
    ----------
    name
        Names its thread.
    listen
        IP number and port.
    handler
        Answers requests; runs in a thread of the connection's own.
    in_flight
        Counts requests; none if nobody waits for them.
    """

    ConnectionClass = Connection

    def __init__(
        self,
        name: str,
        listen: tuple[str, int],
        handler: Handler,
        in_flight: inflight.InFlight | None = None,
    ) -> None:
        super().__init__(listen, Gateway, server_name="briarseam")
        self.name = name
        self.handler = handler
        self.in_flight = in_flight
        self.request_queue_size = BACKLOG
        self.shutdown_timeout = SHUTDOWN_TIMEOUT_S
        self.expiration_interval = EXPIRY_INTERVAL_S
        self.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
        self.requests = connection_threads.ConnectionThreads(self, in_flight)
        self.set_idle_timeout(float(self.timeout))

    def is_leaving(self) -> bool:
        """Tell whether callers are asked not to keep their connections."""
        return self.in_flight is not None and self.in_flight.leaving

    def set_idle_timeout(self, idle_s: float) -> None:
        """Close connections that are idle for this long, or a bit longer."""
        self.timeout = int(idle_s + IDLE_SLACK_S)

    def start_serving(self) -> None:
        """Bind, and serve in a thread of its own."""
        self.prepare()
        threading.Thread(
            target=self.serve, name=f"http-{self.name}", daemon=True
        ).start()

    def error_log(
        self,
        msg: str = "",
        level: int = logging.INFO,
        traceback: bool = False,
    ) -> None:
        """Log what cheroot says about a request that it gave up."""
        log.warning(
            "http_server", server=self.name, detail=msg, exc_info=traceback
        )
