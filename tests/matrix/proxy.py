"""A TCP proxy that fires a fault at the n-th message of a named step."""

from __future__ import annotations

import contextlib
import dataclasses
import enum
import socket
import threading
import time
import typing

CHUNK = 65536
MAX_PIECE_WAIT_S = 0.05


class Fault(enum.Enum):
    """What happens to a message."""

    CUT = "cut"
    ANSWER_LOST = "answer lost after effect"
    SLOW = "slow"
    DOUBLED = "doubled"
    ACT = "act"


@dataclasses.dataclass(frozen=True)
class Step:
    """A kind of message on a link, known by bytes that stand in it.

    Attributes
    ----------
    name
        For the tests' ids.
    markers
        All of them stand in the message.
    answer
        Whether it goes from the server to the client.
    """

    name: str
    markers: tuple[bytes, ...]
    answer: bool = False


@dataclasses.dataclass
class Plan:
    """A fault to fire.

    Attributes
    ----------
    step, fault
        Where and what.
    nth
        At which message of the step, from 1.
    slow_s
        How long a slow message is held.
    act
        Called before the message is passed on.
    fired, fired_at
        Set once it was, and when (monotonic seconds).
    """

    step: Step
    fault: Fault
    nth: int = 1
    slow_s: float = 0.0
    act: typing.Callable[[], None] | None = None
    fired: threading.Event = dataclasses.field(default_factory=threading.Event)
    fired_at: float = 0.0


class Link:
    """One proxied connection."""

    def __init__(self, client: socket.socket, server: socket.socket) -> None:
        self.client = client
        self.server = server
        self.answer_lost = False

    def close(self) -> None:
        """Cut both sides."""
        for sock in (self.client, self.server):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


class Proxy:
    """Stands before one server.

    Parameters
    ----------
    target
        ``ip:port`` of the server; may be set later.
    """

    def __init__(self, target: str = "") -> None:
        self.target = target
        self.plan: Plan | None = None
        self.seen = 0
        self.lock = threading.Lock()
        self.links: set[Link] = set()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        host, port = self.listener.getsockname()[:2]
        self.address = f"{host}:{port}"
        threading.Thread(target=self.accept, daemon=True).start()

    def arm(self, plan: Plan | None) -> None:
        """Set the fault to fire next."""
        with self.lock:
            self.plan = plan
            self.seen = 0

    def stop(self) -> None:
        """Stop and cut everything."""
        self.listener.close()
        for link in list(self.links):
            link.close()

    def accept(self) -> None:
        """Accept until stopped."""
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self.serve, args=(client,), daemon=True
            ).start()

    def serve(self, client: socket.socket) -> None:
        """Connect a client on."""
        host, _, port = self.target.rpartition(":")
        try:
            server = socket.create_connection((host, int(port)), 2.0)
        except (OSError, ValueError):
            client.close()
            return
        server.settimeout(None)
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link = Link(client, server)
        self.links.add(link)
        threading.Thread(
            target=self.pump, args=(link, True), daemon=True
        ).start()
        self.pump(link, False)
        self.links.discard(link)

    def pump(self, link: Link, answer: bool) -> None:
        """Pass one direction on until it ends."""
        source = link.server if answer else link.client
        sink = link.client if answer else link.server
        try:
            while data := source.recv(CHUNK):
                if answer and link.answer_lost:
                    break
                data = read_on(source, data)
                if not self.pass_on(link, sink, data, answer):
                    break
        except OSError:
            pass
        link.close()

    def pass_on(
        self, link: Link, sink: socket.socket, data: bytes, answer: bool
    ) -> bool:
        """Pass a message on; tell whether the link goes on."""
        plan = self.due(data, answer)
        if plan is None:
            sink.sendall(data)
            return True
        try:
            self.fire(plan, link, sink, data)
        finally:
            plan.fired_at = time.monotonic()
            plan.fired.set()
        return plan.fault is not Fault.CUT

    def fire(
        self, plan: Plan, link: Link, sink: socket.socket, data: bytes
    ) -> None:
        """Do to a message what the plan says."""
        match plan.fault:
            case Fault.CUT:
                return
            case Fault.ANSWER_LOST:
                link.answer_lost = True
            case Fault.SLOW:
                threading.Event().wait(plan.slow_s)
            case Fault.DOUBLED:
                self.send_again(data)
            case Fault.ACT:
                assert plan.act is not None
                plan.act()
        sink.sendall(data)

    def due(self, data: bytes, answer: bool) -> Plan | None:
        """Return the plan if this message is the one."""
        with self.lock:
            plan = self.plan
            if plan is None or plan.fired.is_set():
                return None
            if plan.step.answer != answer:
                return None
            if not all(marker in data for marker in plan.step.markers):
                return None
            self.seen += 1
            if self.seen != plan.nth:
                return None
            self.plan = None
            return plan

    def send_again(self, data: bytes) -> None:
        """Send a request on a connection of its own, too."""
        host, _, port = self.target.rpartition(":")
        with socket.create_connection((host, int(port)), 2.0) as again:
            again.sendall(data)
            again.recv(CHUNK)


def read_on(source: socket.socket, data: bytes) -> bytes:
    """Return the whole message: HTTP libraries send head and body apart."""
    if not is_cut_short(data):
        return data
    source.settimeout(MAX_PIECE_WAIT_S)
    try:
        while is_cut_short(data):
            more = source.recv(CHUNK)
            if not more:
                break
            data += more
    except TimeoutError:
        pass
    finally:
        source.settimeout(None)
    return data


def is_cut_short(data: bytes) -> bool:
    """Tell whether an HTTP message lacks a part of its body."""
    head, end, body = data.partition(b"\r\n\r\n")
    if not end:
        return False
    for line in head.lower().split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name == b"content-length":
            return len(body) < int(value)
    return False
