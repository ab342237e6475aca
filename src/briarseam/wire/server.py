"""The serving side: one thread per connection, written straight down."""

from __future__ import annotations

import dataclasses
import socket
import threading
import typing

import structlog

from briarseam.wire import codec
from briarseam.wire import connection as connections

BACKLOG = 512
ACCEPT_POLL_S = 0.2
Handler = typing.Callable[[connections.Identity, typing.Any], codec.Message]
log = structlog.get_logger("briarseam.wire")


@dataclasses.dataclass
class Router:
    """Which function answers which message.

    A handler takes the peer's identity and the message and returns the
    reply.  It runs in the connection's own thread and may wait.

    Attributes
    ----------
    handlers
        By class of message.
    observer
        Sees every message and its reply.
    """

    handlers: dict[type, Handler] = dataclasses.field(default_factory=dict)
    observer: connections.Observer | None = None

    def on(self, kind: type, handler: Handler) -> None:
        """Let ``handler`` answer messages of class ``kind``."""
        if kind in self.handlers:
            raise ValueError(f"{kind.__name__} has a handler")
        self.handlers[kind] = handler

    def answer(
        self, peer: connections.Identity, request: codec.Message
    ) -> codec.Message:
        """Return the reply to ``request``, ``Failed`` on an error."""
        if self.observer is None:
            return self.handle(peer, request)
        self.observer.asked(request)
        reply = self.handle(peer, request)
        self.observer.answered(request, reply)
        return reply

    def handle(
        self, peer: connections.Identity, request: codec.Message
    ) -> codec.Message:
        """Let the message's handler answer."""
        handler = self.handlers.get(type(request))
        if handler is None:
            name = type(request).__name__
            return codec.Failed("unhandled", f"{name} is not handled here")
        try:
            return handler(peer, request)
        except Exception as error:
            log.exception("handler_failed", message=type(request).__name__)
            return codec.Failed("error", f"{type(error).__name__}: {error}")


class Server:
    """Accepts authenticated connections and answers their messages.

    Parameters
    ----------
    listen
        ``ip:port``; port 0 takes any free one.
    me
        This process.
    key
        The shared key.
    router
        The handlers.
    clock
        Stamps the frames; ``None`` sends them without.
    """

    def __init__(
        self,
        listen: str,
        me: connections.Identity,
        key: bytes,
        router: Router,
        clock: connections.Clock | None = None,
    ) -> None:
        self.clock = clock
        self.me = me
        self.key = key
        self.router = router
        self.stopping = threading.Event()
        self.open: set[connections.Connection] = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server(
            connections.parse_address(listen), backlog=BACKLOG
        )
        self.listener.settimeout(ACCEPT_POLL_S)
        host, port = self.listener.getsockname()[:2]
        self.address = f"{host}:{port}"
        self.thread = threading.Thread(
            target=self.accept, name="wire-accept", daemon=True
        )

    def start(self) -> None:
        """Begin accepting."""
        self.thread.start()

    def accept(self) -> None:
        """Accept until stopped; a thread per connection."""
        while not self.stopping.is_set():
            try:
                sock, _ = self.listener.accept()
            except TimeoutError:
                continue
            except OSError as error:
                if self.stopping.is_set():
                    return
                # Out of file descriptors, or a caller that was gone
                # already: accepting goes on once that has passed.  Giving
                # up here would leave a process that looks alive and never
                # takes a connection again.
                log.warning("accept_failed", detail=str(error))
                self.stopping.wait(ACCEPT_POLL_S)
                continue
            self.begin(sock)

    def begin(self, sock: socket.socket) -> None:
        """Serve a socket in its own thread."""
        try:
            threading.Thread(
                target=self.serve,
                args=(connections.Connection(sock),),
                name="wire-connection",
                daemon=True,
            ).start()
        except (OSError, RuntimeError) as error:
            # No thread to be had, or the caller has gone: this connection
            # ends, those after it must still be accepted.
            log.warning("connection_failed", detail=str(error))
            sock.close()

    def serve(self, connection: connections.Connection) -> None:
        """Answer one connection's messages until it ends."""
        with self.lock:
            self.open.add(connection)
        try:
            connections.admit(connection, self.me, self.key)
            connection.set_timeout(None)
            connection.clock = self.clock
            while not self.stopping.is_set():
                request = connection.receive()
                reply = self.router.answer(connection.peer, request)
                self.reply(connection, reply)
        except connections.WireError:
            # The caller sees its connection end and settles the call as
            # lost; there is nobody else to tell.
            pass
        finally:
            connection.close()
            with self.lock:
                self.open.discard(connection)

    def connected(self) -> frozenset[str]:
        """Return the names of the peers that have a connection open."""
        with self.lock:
            return frozenset(one.peer.name for one in self.open)

    def reply(
        self, connection: connections.Connection, reply: codec.Message
    ) -> None:
        """Send a reply, or say that it cannot be carried."""
        try:
            connection.send(reply)
        except codec.CodecError as error:
            # Ending the connection instead would make the caller count
            # the call as lost, that is as one that may have run.
            log.warning("reply_not_carried", detail=str(error))
            connection.send(codec.Failed("error", str(error)))

    def stop(self) -> None:
        """Stop accepting and end all connections."""
        self.stopping.set()
        self.listener.close()
        with self.lock:
            still_open = list(self.open)
        for connection in still_open:
            connection.close()
