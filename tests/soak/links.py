"""A TCP proxy on loopback whose link is slowed, cut, silenced or reset."""

from __future__ import annotations

import contextlib
import enum
import re
import socket
import struct
import threading
import time

CHUNK = 65536
BACKLOG = 256
# Enough to fill the queue of a listener that accepts none.
FILLERS = 4
SLOW_S = 0.15
POLL_S = 0.02
# Makes the kernel reset a connection where it would end it properly.
RESET = struct.pack("ii", 1, 0)
REQUEST_ID = re.compile(rb"(?i)\r\nrequest-id: *([^\r]+)")


class State(enum.Enum):
    """What the link does with what is sent over it."""

    PASSING = "passing"
    SLOW = "slow"
    SILENT = "silent"
    ANSWERS_SILENT = "answers silent"
    REFUSING = "refusing"


class Link:
    """Stands before one server.

    Parameters
    ----------
    target
        ``ip:port`` of the server; may be set later.
    host
        Address to listen on.

    Attributes
    ----------
    seen
        When each request came, by its id, monotonic seconds.
    resets
        When all connections were reset.
    """

    def __init__(self, target: str = "", host: str = "127.0.0.1") -> None:
        self.target = target
        self.state = State.PASSING
        self.sockets: set[socket.socket] = set()
        self.lock = threading.Lock()
        self.seen: dict[str, float] = {}
        self.resets: list[float] = []
        self.listener = socket.create_server((host, 0), backlog=BACKLOG)
        self.listens_at = self.listener.getsockname()[:2]
        self.address = "{}:{}".format(*self.listens_at)
        self.fillers: list[socket.socket] = []
        threading.Thread(target=self.accept, daemon=True).start()

    def refuse_new(self) -> None:
        """Refuse new connections as if nobody listened."""
        self.close_listener()

    def let_new_hang(self) -> None:
        """Let new connections hang as if their packets were lost."""
        self.close_listener()
        self.listener = socket.create_server(self.listens_at, backlog=0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listens_at)
            self.fillers.append(filler)

    def accept_new(self) -> None:
        """Accept new connections again."""
        self.close_listener()
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.listener = socket.create_server(self.listens_at, backlog=BACKLOG)
        threading.Thread(target=self.accept, daemon=True).start()

    def close_listener(self) -> None:
        """Close the listener; its thread ends."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def reset(self) -> None:
        """Reset all connections."""
        self.resets.append(time.monotonic())
        with self.lock:
            found, self.sockets = self.sockets, set()
        for sock in found:
            reset(sock)

    def stop(self) -> None:
        """Stop and reset everything."""
        self.close_listener()
        self.reset()

    def accept(self) -> None:
        """Accept until the listener is closed."""
        listener = self.listener
        while True:
            try:
                client, _address = listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self.begin, args=(client,), daemon=True
            ).start()

    def begin(self, client: socket.socket) -> None:
        """Connect one caller to the server."""
        host, _, port = self.target.rpartition(":")
        try:
            if self.state is State.REFUSING:
                raise ConnectionRefusedError
            server = socket.create_connection((host, int(port)), 2.0)
        except OSError:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            client.close()
            return
        server.settimeout(None)
        with self.lock:
            self.sockets |= {client, server}
        for source, sink, answers in (
            (client, server, False),
            (server, client, True),
        ):
            threading.Thread(
                target=self.pass_on, args=(source, sink, answers), daemon=True
            ).start()

    def pass_on(
        self, source: socket.socket, sink: socket.socket, answers: bool
    ) -> None:
        """Pass on what one side sends until it ends, or is reset."""
        try:
            while data := source.recv(CHUNK):
                if not answers:
                    self.note_requests(data)
                self.hold(answers)
                sink.sendall(data)
            in_order = True
        except OSError:
            in_order = False
        with self.lock:
            if source not in self.sockets:
                # This link has reset them.
                return
            if answers or not in_order:
                self.sockets -= {source, sink}
        if not in_order:
            reset(sink)
            reset(source)
            return
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)
        if answers:
            sink.close()
            source.close()

    def note_requests(self, data: bytes) -> None:
        """Note the requests that some bytes begin."""
        for found in REQUEST_ID.findall(data):
            self.seen[found.decode()] = time.monotonic()

    def hold(self, answers: bool) -> None:
        """Wait while the link holds up what is sent."""
        silent = {State.SILENT}
        if answers:
            silent.add(State.ANSWERS_SILENT)
        while self.state in silent:
            time.sleep(POLL_S)
        if self.state is State.SLOW:
            time.sleep(SLOW_S)


def reset(sock: socket.socket) -> None:
    """Reset a connection.

    Only reading is shut down, to wake who reads from it: shut down both
    ways, it would end in order before it is reset.
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        sock.shutdown(socket.SHUT_RD)
    sock.close()
