"""The serving side: one event loop for all connections."""

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
    """Which function answers which message.

    A handler takes the peer's identity and the message and returns the
    reply.

    Attributes
    ----------
    handlers
        By class of message.
    waits
        Coroutines that end when a handler's answer is due, by class of
        message.
    quick
        Classes of messages whose handlers run in the event loop.
    observer
        Sees every message and its reply.
    """

    handlers: dict[type, Handler] = dataclasses.field(default_factory=dict)
    waits: dict[type, Wait] = dataclasses.field(default_factory=dict)
    nonblocking: set[type] = dataclasses.field(default_factory=set)
    observer: connections.Observer | None = None

    def on(
        self, kind: type, handler: Handler, wait: Wait | None = None
    ) -> None:
        """Let a handler answer messages of a class, in a thread.

        Parameters
        ----------
        kind
            The class.
        handler
            Takes the peer and a message and returns the reply; may wait,
            but its thread waits with it.
        wait
            Awaited with the message before; takes no thread.
        """
        if kind in self.handlers:
            raise ValueError(f"{kind.__name__} has a handler")
        self.handlers[kind] = handler
        if wait is not None:
            self.waits[kind] = wait

    def on_nonblocking(self, kind: type, handler: Handler) -> None:
        """Let a handler that never waits answer messages of a class.

        It runs in the event loop, and all connections wait for its end.
        """
        self.on(kind, handler)
        self.nonblocking.add(kind)

    def answer(
        self, peer: connections.Identity, request: codec.Message
    ) -> codec.Message:
        """Return the reply to ``request``, ``Failed`` on an error."""
        if self.observer is None:
            return self.handle(peer, request)
        self.observer.on_request(request)
        reply = self.handle(peer, request)
        self.observer.on_reply(request, reply)
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

    Connections that are idle, and calls that wait in a coroutine, take no
    thread: an instance has hundreds of each.

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
    loop
        Runs the connections; one of its own unless given.
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
        """Begin accepting."""
        self.loop.start()
        self.loop.spawn(self.start_accepting()).result(START_WAIT_S)

    async def start_accepting(self) -> None:
        """Accept until stopped; a failed accept is tried again."""
        self.asyncio_server = await asyncio.get_running_loop().create_server(
            lambda: frames.AsyncConnection(self.start_serving),
            sock=self.listener,
            backlog=BACKLOG,
        )

    def start_serving(self, connection: frames.AsyncConnection) -> None:
        """Serve a connection that was accepted."""
        task = asyncio.get_running_loop().create_task(self.serve(connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, connection: frames.AsyncConnection) -> None:
        """Answer one connection's messages until it ends."""
        with self.lock:
            self.open_connections.add(connection)
        try:
            await server_handshake(connection, self.identity, self.key)
            connection.clock = self.clock
            while True:
                request = await connection.receive()
                connection.send_frame(await self.answer(connection, request))
        except connections.WireError:
            # The caller sees its connection end and settles the call as
            # lost; there is nobody else to tell.
            pass
        finally:
            connection.close()
            with self.lock:
                self.open_connections.discard(connection)

    async def answer(
        self, connection: frames.AsyncConnection, request: codec.Message
    ) -> bytes:
        """Return the reply to a message, as a frame."""
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
        """Return the reply of a handler that may wait, as a frame.

        It is encoded there, too: large replies to forty instances would
        hold up the heartbeats in the loop until peers take this instance
        for gone.
        """
        reply: concurrent.futures.Future[bytes] = concurrent.futures.Future()

        def work() -> None:
            if not reply.set_running_or_notify_cancel():
                # The connection was ended before the work began.
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
        """Return the names of the peers that have a connection open."""
        with self.lock:
            return frozenset(
                connection.peer.name for connection in self.open_connections
            )

    def stop(self) -> None:
        """Stop accepting and end all connections."""
        if self.asyncio_server is None:
            self.listener.close()
        self.loop.call(self.close_all)
        if self.owns_loop:
            self.loop.stop()

    def close_all(self) -> None:
        """End all connections; call it in the loop."""
        if self.asyncio_server is not None:
            self.asyncio_server.close()
        for task in list(self.tasks):
            task.cancel()


async def server_handshake(
    connection: frames.AsyncConnection,
    identity: connections.Identity,
    key: bytes,
) -> None:
    """Open a connection from the server's side.

    Raises
    ------
    WireError
        When the other side does not hold the key or speaks another
        version.
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
    """Return a reply's frame, or one that says that it can't be carried."""
    try:
        return connection.encode(reply)
    except codec.CodecError as error:
        # Ending the connection instead would make the caller count
        # the call as lost, that is as one that may have run.
        log.warning("reply_not_carried", detail=str(error))
        return connection.encode(codec.Failed("error", str(error)))
