"""Servers for callers on loopback sockets, with one scripted endpoint."""

from __future__ import annotations

import contextlib
import socket
import threading

from briarseam import clocks
from briarseam.forwarding import attempts
from briarseam.forwarding import bodies
from briarseam.forwarding import connections
from briarseam.forwarding import held_bytes
from briarseam.forwarding import server
from briarseam.forwarding import supervision
from briarseam.platform import requests
from tests.forwarding import sending

TIMEOUT_S = 20.0
HEAD = b"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n"


class Endpoint:
    """An endpoint whose connections a function serves.

    Attributes
    ----------
    broken_off
        Set when a connection was closed while it sent an answer.
    """

    def __init__(self, serve):
        self.serve = serve
        self.broken_off = threading.Event()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.listener.getsockname()[:2])
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        """Serve connections, each in a thread of its own."""
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                threading.Thread(
                    target=self.run, args=(connection,), daemon=True
                ).start()

    def run(self, connection):
        """Serve one connection."""
        with connection:
            try:
                self.serve(connection)
            except OSError:
                self.broken_off.set()


class Instance:
    """A server for callers that sends each request to one endpoint.

    Attributes
    ----------
    results
        Outcome of each request, or the error that ended it.
    not_reading
        Has an item for each caller that did not read.
    """

    def __init__(self, endpoint, repeat, limit=0, stall_timeout_s=1.0):
        self.endpoint = endpoint
        self.repeat = repeat
        self.results = []
        self.not_reading = []
        self.held = held_bytes.HeldBytes(limit)
        self.pool = connections.Pool()
        self.sender = attempts.Sender(self.pool, requests.decode_answer)
        self.supervisor = supervision.Supervisor()
        self.supervisor.start()
        self.server = server.Server(
            "test", ("127.0.0.1", 0), self.handle, held=self.held
        )
        self.server.caller_stall_timeout_s = stall_timeout_s
        self.server.on_not_reading = lambda: self.not_reading.append(1)
        self.server.start_serving()

    def handle(self, exchange):
        """Have the endpoint answer a request."""
        try:
            body = exchange.read_body()
        except bodies.BodyNotHeldError:
            exchange.close_after()
            exchange.answer(503, (), b"refused")
            exchange.drain()
            return
        except bodies.BodyError as error:
            self.results.append(error)
            exchange.abort()
            return
        watch = supervision.Watch(
            exchange.socket, clocks.boot_clock() + TIMEOUT_S
        )
        self.supervisor.watch(watch)
        attempt = sending.attempt_to(
            self.endpoint.address,
            watch,
            exchange,
            self.repeat,
            body,
            exchange.holding,
        )
        try:
            self.results.append(self.sender.send(attempt))
        except supervision.EndedError as error:
            self.results.append(error)
            exchange.abort()
        finally:
            self.supervisor.unwatch(watch)

    def connect(self, receive_bytes=0):
        """Return a caller's connection."""
        caller = socket.socket()
        if receive_bytes:
            caller.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
            )
        caller.settimeout(TIMEOUT_S)
        caller.connect(self.server.bind_addr[:2])
        return caller

    def stop(self):
        """Stop serving."""
        self.server.stop()
        self.supervisor.stop()
        self.endpoint.listener.close()


def post(length):
    """Return the head of a request with a body of a length."""
    return (
        b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % length
    )


def read_to_end(caller):
    """Return all that is sent on a connection until it closes."""
    pieces = []
    while data := caller.recv(65536):
        pieces.append(data)
    return b"".join(pieces)
