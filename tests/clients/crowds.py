"""Crowds of clients that do not behave, each a connection of one loop."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import errno
import selectors
import socket
import threading
import time

POLL_S = 0.05
CONNECT_AT_ONCE = 64
READ_BYTES = 65536
SLOW_BYTES = 16
# What is sent at a time of pieces that are small.
BLOCK_BYTES = 65536


@dataclasses.dataclass(frozen=True)
class Client:
    """What one client of a crowd sends.

    Attributes
    ----------
    before
        What it sends first.
    piece
        What it repeats after that.
    count
        How often; ``None`` for without end.
    after
        What it sends last; then it keeps its connection open.
    pause_s
        Time between two pieces, in seconds; 0 for as fast as possible.
    separate
        Whether each piece is sent by a call of its own.
    reads
        Whether it reads what it gets.
    read_pause_s
        Time between two reads of a few bytes; 0 if it reads all at once.
    reopens
        Whether it connects again when its connection is closed.
    make
        Returns what it sends instead of `before`, from the number of the
        connection.
    """

    before: bytes = b""
    piece: bytes = b""
    count: int | None = 0
    after: bytes = b""
    pause_s: float = 0.0
    separate: bool = False
    reads: bool = True
    read_pause_s: float = 0.0
    reopens: bool = False
    make: Callable[[int], bytes] | None = None

    def sends(self, number: int) -> Iterator[bytes]:
        """Return what it sends, by one call each."""
        yield self.make(number) if self.make else self.before
        if self.pause_s or self.separate:
            at_once = 1
        else:
            at_once = max(1, BLOCK_BYTES // max(1, len(self.piece)))
        block = self.piece * at_once
        left = self.count
        while left is None or left > 0:
            size = at_once if left is None else min(at_once, left)
            yield block if size == at_once else self.piece * size
            if left is not None:
                left -= size
        yield self.after


class Member:
    """One client's present connection."""

    def __init__(self, client: Client, number: int) -> None:
        self.client = client
        self.sends = client.sends(number)
        self.unsent = memoryview(b"")
        self.is_sending = True
        self.next_s = 0.0
        self.read_s = 0.0
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def connect(self, address: tuple[str, int]) -> None:
        """Begin to connect."""
        error = self.socket.connect_ex(address)
        if error not in (0, errno.EINPROGRESS):
            raise OSError(error, "connect")

    def events(self, now_s: float) -> int:
        """Return what it waits for."""
        wanted = 0
        if self.client.reads and now_s >= self.read_s:
            wanted = selectors.EVENT_READ
        if self.is_sending and now_s >= self.next_s:
            wanted |= selectors.EVENT_WRITE
        return wanted

    def send(self) -> None:
        """Send more."""
        while not self.unsent:
            try:
                self.unsent = memoryview(next(self.sends))
            except StopIteration:
                self.is_sending = False
                return
        sent = self.socket.send(self.unsent)
        self.unsent = self.unsent[sent:]
        if not self.unsent:
            self.next_s = time.monotonic() + self.client.pause_s

    def read(self) -> bool:
        """Read what has come; return whether the connection goes on."""
        pause_s = self.client.read_pause_s
        self.read_s = time.monotonic() + pause_s
        return bool(self.socket.recv(SLOW_BYTES if pause_s else READ_BYTES))


class Crowd:
    """Clients that connect to one address until they are told to leave.

    Parameters
    ----------
    address
        IP address and port.
    client
        What each of them sends.
    size
        How many.
    """

    def __init__(
        self, address: tuple[str, int], client: Client, size: int
    ) -> None:
        self.address = address
        self.client = client
        self.size = size
        self.opened = 0
        self.members: dict[socket.socket, Member] = {}
        self.selector = selectors.DefaultSelector()
        self.leaving = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def __enter__(self) -> Crowd:
        """Let them come."""
        self.thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Let them leave."""
        self.leaving.set()
        self.thread.join()

    def run(self) -> None:
        """Play all of them."""
        while not self.leaving.is_set():
            self.open_more()
            self.watch()
            for key, events in self.selector.select(POLL_S):
                self.step(key.data, events)
        for member in self.members.values():
            member.socket.close()
        self.selector.close()

    def open_more(self) -> None:
        """Open some of the connections that are missing."""
        wanted = self.size
        if not self.client.reopens:
            wanted = self.size - self.opened + len(self.members)
        missing = wanted - len(self.members)
        for _ in range(min(missing, CONNECT_AT_ONCE)):
            member = Member(self.client, self.opened)
            self.opened += 1
            try:
                member.connect(self.address)
            except OSError:
                member.socket.close()
                return
            self.members[member.socket] = member

    def watch(self) -> None:
        """Wait for what each connection waits for now."""
        now_s = time.monotonic()
        known = self.selector.get_map()
        for member in self.members.values():
            events = member.events(now_s)
            registered = known.get(member.socket)
            if registered is None:
                if events:
                    self.selector.register(member.socket, events, member)
            elif not events:
                self.selector.unregister(member.socket)
            elif registered.events != events:
                self.selector.modify(member.socket, events, member)

    def step(self, member: Member, events: int) -> None:
        """Read and send on one connection."""
        try:
            goes_on = not events & selectors.EVENT_READ or member.read()
            if goes_on and events & selectors.EVENT_WRITE:
                member.send()
        except BlockingIOError:
            return
        except OSError:
            goes_on = False
        if not goes_on:
            self.selector.unregister(member.socket)
            del self.members[member.socket]
            member.socket.close()


@contextlib.contextmanager
def crowding(
    address: tuple[str, int], client: Client, size: int, seconds: float
) -> Iterator[Crowd]:
    """Have a crowd come, and give it time; it leaves at the end."""
    with Crowd(address, client, size) as crowd:
        crowd.leaving.wait(seconds)
        yield crowd
