"""A small HTTP/1.1 server on cheroot for the stand-ins.

Cheroot's own pool has a fixed number of threads, so long streams beyond it
would hold up every other call; here each connection in work has a thread.
Stopping cuts every open connection, as the death of a process does.
"""

from __future__ import annotations

import collections.abc
import logging
import os
import socket
import threading
import typing
import urllib.parse
import weakref

from cheroot import server as cheroot_server
from cheroot import wsgi

from briarseam import bounded_reads
from briarseam import bounded_requests
from briarseam import connection_threads
from briarseam.clients import budget as budgets
from briarseam.clients import connection as client_connection
from briarseam.clients import listening
from briarseam.testing import http_messages

LISTEN_BACKLOG = 1024
IDLE_TIMEOUT_S = 120
STOP_POLL_S = 0.01
STOP_TIMEOUT_S = 5

REASONS = {
    200: "OK",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    502: "Bad Gateway",
    503: "Service Unavailable",
    507: "Insufficient Storage",
}


# Stand-ins take whatever instances send them.
NO_LIMITS = bounded_requests.RequestLimits(
    bounded_reads.UNLIMITED_BYTES,
    bounded_reads.UNLIMITED_BYTES,
    bounded_reads.UNLIMITED_S,
    bounded_reads.UNLIMITED_S,
)


class Connection(client_connection.Connection):
    """A connection that the server can find again to cut it."""

    def __init__(
        self, server: Server, *args: typing.Any, **kwargs: typing.Any
    ) -> None:
        super().__init__(server, *args, **kwargs)
        server.open_connections.add(self)


class Gateway(wsgi.Gateway_10):
    """WSGI with the request itself in the environment, for the streams."""

    def get_environ(self) -> typing.Any:
        """Return the WSGI environment.

        Returns
        -------
        dict[str, typing.Any]
            The environment with ``briarseam.request`` added.
        """
        environ = super().get_environ()  # type: ignore[no-untyped-call]
        environ["briarseam.request"] = self.req
        return environ


class Output:
    """What a request's answer goes out on, past cheroot's own writer.

    Parameters
    ----------
    request
        Cheroot's request; its status line must have been sent.
    """

    def __init__(self, request: cheroot_server.HTTPRequest) -> None:
        self.request = request

    def frame(self, content: bytes) -> bytes:
        """Return bytes as the answer's transfer coding needs them.

        Parameters
        ----------
        content
            Part of the body, not empty.

        Returns
        -------
        bytes
            The part as it is sent.
        """
        if not self.request.chunked_write:
            return content
        return b"%x\r\n%s\r\n" % (len(content), content)

    def send_now(self, framed: bytes) -> int:
        """Send without waiting.

        Parameters
        ----------
        framed
            The bytes.

        Returns
        -------
        int
            How many of them the socket took.

        Raises
        ------
        OSError
            When the connection is lost.
        """
        # The socket's own send would wait up to its timeout, and with it
        # every other stream of the thread that sends.
        try:
            return os.write(self.request.conn.socket.fileno(), framed)
        except BlockingIOError:
            return 0

    def send(self, framed: bytes) -> None:
        """Send all, waiting as long as it takes.

        Parameters
        ----------
        framed
            The bytes.

        Raises
        ------
        OSError
            When the connection is lost.
        """
        self.request.conn.wfile.write(framed)

    def reset_on_close(self) -> None:
        """Have the connection reset when it is closed."""
        self.request.conn.resetting = True


class Server(listening.ManagedServer, wsgi.Server):
    """Cheroot's WSGI server with a thread a connection and a prompt stop.

    Parameters
    ----------
    listen
        IP address and port; port 0 takes any free one.
    answer
        Called for each request, on its connection's thread.
    """

    ConnectionClass = Connection

    def __init__(
        self,
        listen: tuple[str, int],
        answer: collections.abc.Callable[
            [http_messages.Request], http_messages.Response
        ],
    ) -> None:
        super().__init__(
            listen,
            self.application,
            request_queue_size=LISTEN_BACKLOG,
            timeout=IDLE_TIMEOUT_S,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        self.answer = answer
        self.gateway = Gateway
        self.budget = budgets.Budget()
        self.limits = NO_LIMITS
        self.requests = connection_threads.ConnectionThreads(self)
        self.open_connections: weakref.WeakSet[Connection] = weakref.WeakSet()
        self.logger = logging.getLogger(__name__)

    def application(
        self,
        environ: dict[str, typing.Any],
        start_response: collections.abc.Callable[..., typing.Any],
    ) -> collections.abc.Iterable[bytes]:
        """Answer one request; the WSGI application.

        Parameters
        ----------
        environ
            The WSGI environment.
        start_response
            Takes status line and headers.

        Returns
        -------
        collections.abc.Iterable[bytes]
            The body.
        """
        response = self.answer(read_request(environ))
        headers = [("Content-Type", response.content_type)]
        headers.extend(response.headers)
        if isinstance(response.body, bytes) and response.status != 204:
            headers.append(("Content-Length", str(len(response.body))))
        reason = REASONS.get(response.status, "Unknown")
        start_response(f"{response.status} {reason}", headers)
        if isinstance(response.body, bytes):
            return [response.body]
        # A run that waits for a slot has been accepted; without this the
        # caller would see that only with its first token.
        environ["briarseam.request"].ensure_headers_sent()
        return response.body

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Pass cheroot's messages on to the standard logging.

        Parameters
        ----------
        msg
            The message.
        level
            Its level.
        traceback
            Whether the present exception belongs to it.
        """
        self.logger.log(level, msg, exc_info=traceback)

    def stop(self) -> None:
        """Stop at once, cutting every open connection."""
        stopper = threading.Thread(target=super().stop, daemon=True)
        address = self.bind_addr
        stopper.start()
        while stopper.is_alive():
            self.cut_connections()
            wake(address)
            stopper.join(STOP_POLL_S)

    def cut_connections(self) -> None:
        """Shut every open connection down in both directions."""
        for connection in list(self.open_connections):
            try:
                connection.socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue


def wake(address: tuple[str, int]) -> None:
    """Connect once, so that the thread that accepts looks around.

    Parameters
    ----------
    address
        IP address and port that the server listens on.
    """
    try:
        socket.create_connection(address, timeout=STOP_POLL_S).close()
    except OSError:
        return


def read_request(environ: dict[str, typing.Any]) -> http_messages.Request:
    """Read one call from its WSGI environment.

    Parameters
    ----------
    environ
        The WSGI environment.

    Returns
    -------
    http_messages.Request
        The call with its whole body.
    """
    path = environ["REQUEST_URI"].partition("?")[0]
    segments = tuple(
        urllib.parse.unquote(part) for part in path.split("/") if part
    )
    headers = {
        name[5:].lower().replace("_", "-"): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    return http_messages.Request(
        method=environ["REQUEST_METHOD"],
        path=segments,
        query=dict(urllib.parse.parse_qsl(environ["QUERY_STRING"])),
        headers=headers,
        body=environ["wsgi.input"].read(),
        output=Output(environ["briarseam.request"]),
    )
