"""Server that runs all its connections in one event loop."""

from __future__ import annotations

import asyncio
import concurrent.futures
import dataclasses
import socket
import threading
import typing

import structlog

from briarseam import worker_threads
from briarseam.wire import codec
from briarseam.wire import connection as connections
from briarseam.wire import event_loop
from briarseam.wire import frames
from briarseam.wire import hello

BACKLOG = 512
START_WAIT_S = 5.0
Handler = typing.Callable[[connections.Identity, typing.Any], codec.Message]
Wait = typing.Callable[
    [typing.Any], typing.Coroutine[typing.Any, typing.Any, None]
]
log = structlog.get_logger("briarseam.wire")


@dataclasses.dataclass
class Router:
    """Maps message types to their handlers.

    A handler takes the identity of the peer and the message, and returns the
    reply.

    Attributes
    ----------
    handlers
        Handlers by message type.
    waits
        Coroutines to await before the handler is called, by message type.
    nonblocking
        Message types whose handlers run in the event loop.
    observer
        Notified of every message and its reply.
    """

    handlers: dict[type, Handler] = dataclasses.field(default_factory=dict)
    waits: dict[type, Wait] = dataclasses.field(default_factory=dict)
    nonblocking: set[type] = dataclasses.field(default_factory=set)
    observer: connections.Observer | None = None

    def on(
        self, kind: type, handler: Handler, wait: Wait | None = None
    ) -> None:
        """Register a handler that runs in a thread.

        Parameters
        ----------
        kind
            The message type.
        handler
            Takes the peer and a message and returns the reply; may block,
            and occupies a thread meanwhile.
        wait
            Awaited with the message before the handler is called; occupies
            no thread.
        """
        if kind in self.handlers:
            raise ValueError(f"{kind.__name__} already has a handler")
        self.handlers[kind] = handler
        if wait is not None:
            self.waits[kind] = wait

    def on_nonblocking(self, kind: type, handler: Handler) -> None:
        """Register a handler that never blocks.

        It runs in the event loop and delays all connections until it returns.
        """
        self.on(kind, handler)
        self.nonblocking.add(kind)

    def answer(
        self, peer: connections.Identity, request: codec.Message
    ) -> codec.Message:
        """Return the reply to a request, and notify the observer."""
        if self.observer is None:
            return self.handle(peer, request)
        self.observer.on_request(request)
        reply = self.handle(peer, request)
        self.observer.on_reply(request, reply)
        return reply

    def handle(
        self, peer: connections.Identity, request: codec.Message
    ) -> codec.Message:
        """Return the reply of the handler, ``Failed`` on an error."""
        handler = self.handlers.get(type(request))
        if handler is None:
            name = type(request).__name__
            return codec.Failed("unhandled", f"no handler for {name}")
        try:
            return handler(peer, request)
        except Exception as error:
            log.exception("handler_failed", message=type(request).__name__)
            return codec.Failed("error", f"{type(error).__name__}: {error}")


class Server:
    """Accepts authenticated connections and answers their messages.

    Idle connections and calls that wait in a coroutine occupy no thread, as
    an instance has hundreds of each.

    Parameters
    ----------
    listen
        ``ip:port``; port 0 selects a free port.
    identity
        Identity of this process.
    key
        The shared key.
    router
        Handlers of the messages.
    clock
        Stamps the frames; ``None`` sends them with stamp 0.
    loop
        Runs the connections; by default the server creates one.
    """

    def __init__(
        self,
        listen: str,
        identity: connections.Identity,
        key: bytes,
        router: Router,
        clock: connections.Clock | None = None,
        loop: event_loop.EventLoop | None = None,
    ) -> None:
        self.clock = clock
        self.identity = identity
        self.key = key
        self.router = router
        self.owns_loop = loop is None
        self.loop = loop or event_loop.EventLoop("wire-server")
        self.workers = worker_threads.WorkerThreads("wire-handler")
        self.tasks: set[asyncio.Task[None]] = set()
        self.open_connections: set[frames.AsyncConnection] = set()
        self.lock = threading.Lock()
        self.asyncio_server: asyncio.Server | None = None
        self.listener = socket.create_server(
            connections.parse_address(listen), backlog=BACKLOG
        )
        self.listener.setblocking(False)
        host, port = self.listener.getsockname()[:2]
        self.address = f"{host}:{port}"

    def start(self) -> None:
        """Start to accept connections."""
        self.loop.start()
        self.loop.spawn(self.start_accepting()).result(START_WAIT_S)

    async def start_accepting(self) -> None:
        """Start to accept connections; asyncio retries a failed accept."""
        self.asyncio_server = await asyncio.get_running_loop().create_server(
            lambda: frames.AsyncConnection(self.start_serving),
            sock=self.listener,
            backlog=BACKLOG,
        )

    def start_serving(self, connection: frames.AsyncConnection) -> None:
        """Start the task of an accepted connection."""
        task = asyncio.get_running_loop().create_task(self.serve(connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, connection: frames.AsyncConnection) -> None:
        """Reply to the messages of one connection until it ends."""
        with self.lock:
            self.open_connections.add(connection)
        try:
            await server_handshake(connection, self.identity, self.key)
            connection.clock = self.clock
            while True:
                request = await connection.receive()
                connection.send_frame(await self.answer(connection, request))
        except connections.WireError:
            # The caller sees the end of its connection and handles the call
            # as lost, so nothing needs to be reported.
            pass
        finally:
            connection.close()
            with self.lock:
                self.open_connections.discard(connection)

    async def answer(
        self, connection: frames.AsyncConnection, request: codec.Message
    ) -> bytes:
        """Return the frame of the reply to a message."""
        if type(request) in self.router.nonblocking:
            return encode_reply(
                connection, self.router.answer(connection.peer, request)
            )
        wait = self.router.waits.get(type(request))
        if wait is not None:
            await wait(request)
        return await self.answer_in_thread(connection, request)

    async def answer_in_thread(
        self, connection: frames.AsyncConnection, request: codec.Message
    ) -> bytes:
        """Return the frame of the reply of a handler that may block.

        The thread encodes the reply, too: encoding large replies to forty
        instances in the loop would delay heartbeats until peers consider
        this instance gone.
        """
        reply: concurrent.futures.Future[bytes] = concurrent.futures.Future()

        def work() -> None:
            if not reply.set_running_or_notify_cancel():
                # The connection ended before the handler was called.
                return
            try:
                answer = self.router.answer(connection.peer, request)
                reply.set_result(encode_reply(connection, answer))
            except Exception as error:
                reply.set_exception(error)

        try:
            self.workers.submit(work)
        except worker_threads.NoThreadError as error:
            return encode_reply(
                connection, codec.Failed("overloaded", str(error))
            )
        return await asyncio.wrap_future(reply)

    def connected_peers(self) -> frozenset[str]:
        """Return the names of the peers with an open connection."""
        with self.lock:
            return frozenset(
                connection.peer.name for connection in self.open_connections
            )

    def stop(self) -> None:
        """Stop accepting and close all connections."""
        if self.asyncio_server is None:
            self.listener.close()
        self.loop.call(self.close_all)
        if self.owns_loop:
            self.loop.stop()

    def close_all(self) -> None:
        """Stop accepting and close all connections, in the loop's thread."""
        if self.asyncio_server is not None:
            self.asyncio_server.close()
        for task in list(self.tasks):
            task.cancel()


async def server_handshake(
    connection: frames.AsyncConnection,
    identity: connections.Identity,
    key: bytes,
) -> None:
    """Run the server's side of the handshake.

    Raises
    ------
    WireError
        When the client does not hold the key or uses another version.
    """
    handshake = hello.ServerHandshake(identity, key)
    connection.send(handshake.challenge())
    received = await connection.receive(hello.HANDSHAKE_TIMEOUT_S)
    connection.peer, welcome = handshake.check(received)
    connection.send(welcome)
    connection.max_bytes = codec.MAX_FRAME_BYTES


def encode_reply(
    connection: frames.AsyncConnection, reply: codec.Message
) -> bytes:
    """Return the frame of a reply, of ``Failed`` if it can't be encoded."""
    try:
        return connection.encode(reply)
    except codec.CodecError as error:
        # If the connection were closed instead, the caller would handle the
        # call as lost, that is, as one that may have run.
        log.warning("reply_not_carried", detail=str(error))
        return connection.encode(codec.Failed("error", str(error)))
