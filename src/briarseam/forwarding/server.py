"""HTTP server for callers: cheroot's, with strict message framing."""

from __future__ import annotations

import contextlib
import http
import logging
import threading
import typing

import cheroot.server
import structlog

from briarseam import bounded_requests
from briarseam import connection_threads
from briarseam import http_heads
from briarseam import turns
from briarseam.clients import budget as budgets
from briarseam.clients import connection
from briarseam.clients import listening
from briarseam.entry import server as strict
from briarseam.forwarding import bodies
from briarseam.forwarding import caller_writer
from briarseam.forwarding import held_bytes

if typing.TYPE_CHECKING:
    import socket

    from briarseam import inflight

BACKLOG = 1024
# Added to the idle timeout that is announced to callers: closing a connection
# early loses a request that is just being sent.
IDLE_SLACK_S = 8.0
SHUTDOWN_TIMEOUT_S = 1
CRLF = b"\r\n"
LAST_CHUNK = b"0\r\n\r\n"

Headers = typing.Sequence[tuple[str, str]]
log = structlog.get_logger("briarseam.forwarding")


class HeaderReader(strict.StrictHeaderReader):
    """Reads headers; allows chunked bodies."""

    rules = strict.FramingRules(allow_chunked=True, allow_underscores=True)


class Request(strict.StrictRequest):
    """A request whose body may be chunked."""

    header_reader = HeaderReader()


class Connection(connection.Connection):
    """A connection whose requests may have chunked bodies.

    Attributes
    ----------
    request_id
        Id of the current request, for the log; empty if not known.
    """

    RequestHandlerClass = Request
    request_id = ""

    def make_writer(
        self, sock: socket.socket, mode: str, size: int
    ) -> caller_writer.CallerWriter:
        """Return what sends to the caller."""
        return caller_writer.CallerWriter(
            sock,
            self.server.caller_stall_timeout_s,
            self.record_not_reading,
            self.share,
        )

    def record_not_reading(self, unsent: int) -> None:
        """Reset the connection when it is closed, and log why.

        An orderly close would leave the unsent data with the system.
        """
        self.resetting = True
        self.server.on_not_reading()
        log.warning(
            "caller_not_reading",
            server=self.server.name,
            request=self.request_id,
            caller=f"{self.remote_addr}:{self.remote_port}",
            stall_timeout_s=self.server.caller_stall_timeout_s,
            unsent_bytes=unsent,
        )


class Exchange:
    """One request and its answer.

    Parameters
    ----------
    request
        Cheroot's request, with its headers read.
    leaving
        Returns whether callers should not keep their connections.
    holding
        Counts the bytes that are held for the request; not limited unless
        given.

    Attributes
    ----------
    head_sent
        Whether the head of an answer was sent.
    extra_headers
        Headers that the answer gets in addition to its own.
    relayed
        Whether another instance passes on the request of its caller.
    """

    def __init__(
        self,
        request: cheroot.server.HTTPRequest,
        leaving: typing.Callable[[], bool] = lambda: False,
        holding: held_bytes.Holding | None = None,
    ) -> None:
        self.request = request
        self.leaving = leaving
        self.holding = holding or held_bytes.unlimited()
        self.head_sent = False
        self.chunked = False
        self.extra_headers: tuple[tuple[str, str], ...] = ()
        self.relayed = False
        self.discarding = False

    @property
    def method(self) -> str:
        """HTTP method."""
        return str(self.request.method.decode("latin-1"))

    @property
    def target(self) -> str:
        """Path and query as received."""
        return str(self.request.uri.decode("latin-1"))

    @property
    def headers(self) -> list[tuple[str, str]]:
        """Names and values of headers; repeated ones joined with commas."""
        return [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self.request.inheaders.items()
        ]

    @property
    def framing_error(self) -> str:
        """Framing that parsers may interpret differently; empty if none."""
        value = self.request.inheaders.get(strict.FRAMING_ERROR, b"")
        return str(value.decode("latin-1"))

    @property
    def socket(self) -> typing.Any:
        """The caller's socket."""
        return self.request.conn.socket

    @property
    def caller_ip(self) -> str:
        """Remote address of the connection, without the port."""
        return str(self.request.conn.remote_addr)

    def turn(self) -> typing.ContextManager[typing.Any]:
        """Return the turn for work that grows with the head."""
        return turns.of_head(self.request.conn.head_bytes)

    def read_body(self) -> bytes:
        """Return the complete body, so that the next request follows it.

        Raises
        ------
        BodyTooLargeError
            If the body is larger than the server accepts.
        BodyNotHeldError
            If the body would exceed the limit of bytes held.  None of it was
            read if its length is known.
        BodyError
            If the body is truncated or not framed properly.
        """
        return bodies.read(self.request, self.holding)

    def drain(self) -> None:
        """Read and drop what is left of a refused request's body.

        Closing a connection with unread data resets it, and then the caller
        may lose the refusal that was sent before.
        """
        self.holding.release()
        bodies.drain(self.request)

    def record_request_id(self, request_id: str) -> None:
        """Record the id of the request, for log lines of its connection."""
        self.request.conn.request_id = request_id

    def has_unread_body(self) -> bool:
        """Return whether the body has not been read to its end."""
        return bodies.remaining(self.request) != 0

    def close_after(self) -> None:
        """Close the connection after this answer."""
        self.request.close_connection = True

    def discard(self) -> None:
        """Send nothing more, since the caller has left."""
        self.discarding = True
        self.close_after()

    @contextlib.contextmanager
    def interrupted_by(
        self, check: typing.Callable[[], None]
    ) -> typing.Iterator[None]:
        """Have a check end sends to a caller who does not read.

        Parameters
        ----------
        check
            Called while a send waits; raises if it must not go on.
        """
        writer = self.request.conn.wfile
        writer.check = check
        try:
            yield
        finally:
            writer.check = caller_writer.go_on

    def write(self, *parts: bytes) -> None:
        """Send bytes to the caller."""
        if not self.discarding:
            self.request.conn.wfile.write(*parts)

    def answer(self, status: int, headers: Headers, *body: bytes) -> None:
        """Send a complete answer, whose body may be in pieces.

        An answer that has begun is broken off instead: another head would be
        taken for a part of its body.
        """
        if self.head_sent:
            self.abort()
            return
        if not http_heads.may_have_body(self.method, status):
            self.write(self.head(status, headers))
            return
        size = sum(map(len, body))
        head = self.head(status, [*headers, ("Content-Length", str(size))])
        self.write(head, *body)

    def begin(self, status: int, headers: Headers, first: bytes) -> None:
        """Send the head and the first bytes of an answer of unknown length.

        The answer is chunked.  Otherwise its end would be the end of the
        connection, and a truncated answer would look complete.  HTTP/1.0
        does not support chunks, so its callers get the answer without them.
        """
        self.chunked = self.request.response_protocol == "HTTP/1.1"
        framed = list(headers)
        if self.chunked:
            framed.append(("Transfer-Encoding", "chunked"))
        else:
            self.close_after()
        head = self.head(status, framed)
        self.write(head + self.frame(first))

    def send(self, data: bytes) -> None:
        """Send more of an answer that :meth:`begin` started."""
        if data:
            self.write(self.frame(data))

    def finish(self) -> None:
        """Mark an answer that :meth:`begin` started as complete."""
        if self.chunked:
            self.write(LAST_CHUNK)

    def abort(self) -> None:
        """Close the connection, so that a started answer is incomplete.

        An answer without chunks is reset, since an orderly close would
        complete it.
        """
        if self.head_sent and not self.chunked:
            self.request.conn.resetting = True
        self.head_sent = True
        self.request.sent_headers = True
        self.close_after()

    def frame(self, data: bytes) -> bytes:
        """Return bytes of a body encoded for the transfer."""
        if not self.chunked or not data:
            return data
        return b"%x\r\n%s\r\n" % (len(data), data)

    def head(self, status: int, headers: Headers) -> bytes:
        """Return the head of an answer and mark it as sent.

        Raises
        ------
        MalformedFieldError
            If its caller could not read it.
        """
        fields = (*headers, *self.extra_headers)
        http_heads.check_fields(fields)
        self.head_sent = True
        self.request.sent_headers = True
        if self.leaving():
            # On a connection that is kept, the next request could arrive
            # just as the process ends.
            self.close_after()
        lines = [f"HTTP/1.1 {status} {reason_phrase(status)}"]
        lines.extend(f"{name}: {value}" for name, value in fields)
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
    """Passes requests to the server's handler."""

    def respond(self) -> None:
        """Call the handler."""
        server = self.req.server
        holding = held_bytes.Holding(server.held, self.req.conn.share)
        self.req.conn.request_id = ""
        exchange = Exchange(self.req, server.is_leaving, holding)
        # Otherwise what follows would be parsed as the next request.
        ignores_body = not server.reads_bodies and exchange.has_unread_body()
        if ignores_body:
            exchange.close_after()
        try:
            server.handler(exchange)
            if ignores_body:
                exchange.drain()
        finally:
            holding.release()


class Server(listening.ManagedServer):
    """One listening address.

    Parameters
    ----------
    name
        Name of the server, used for its thread and in logs.
    listen
        IP address and port.
    handler
        Answers requests; each connection has its own thread.
    in_flight
        Counts requests; ``None`` if a shutdown does not wait for them.
    held
        Counts and limits the bytes held for requests; no limit unless given.
    budget
        Counts and limits all that clients make the process hold; no limit
        unless given.

    Attributes
    ----------
    caller_stall_timeout_s
        Time for which callers may read nothing while data is sent to them,
        in seconds.
    on_not_reading
        Called when a caller's connection is closed for that.
    reads_bodies
        Whether its handler reads the bodies of requests.
    """

    ConnectionClass = Connection

    def __init__(
        self,
        name: str,
        listen: tuple[str, int],
        handler: Handler,
        in_flight: inflight.InFlight | None = None,
        held: held_bytes.HeldBytes | None = None,
        budget: budgets.Budget | None = None,
    ) -> None:
        super().__init__(listen, Gateway, server_name="briarseam")
        self.budget = budget or budgets.Budget()
        self.name = name
        self.handler = handler
        self.in_flight = in_flight
        self.held = held or held_bytes.HeldBytes()
        self.caller_stall_timeout_s = caller_writer.STALL_TIMEOUT_S
        self.on_not_reading: typing.Callable[[], None] = lambda: None
        self.reads_bodies = True
        self.request_queue_size = BACKLOG
        self.shutdown_timeout = SHUTDOWN_TIMEOUT_S
        self.requests = connection_threads.ConnectionThreads(self)
        self.set_idle_timeout(float(self.timeout))
        self.limits = bounded_requests.RequestLimits()
        bounded_requests.apply(self, self.limits)

    def is_leaving(self) -> bool:
        """Return whether callers should not keep their connections."""
        return self.in_flight is not None and self.in_flight.leaving

    def set_idle_timeout(self, idle_s: float) -> None:
        """Close connections after this idle time plus ``IDLE_SLACK_S``."""
        self.timeout = int(idle_s + IDLE_SLACK_S)

    def start_serving(self) -> None:
        """Bind, and serve in a separate thread."""
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
        """Log an error that cheroot reports."""
        log.warning(
            "http_server", server=self.name, detail=msg, exc_info=traceback
        )
