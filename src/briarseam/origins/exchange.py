"""Exchange of the origins of streams between instances, by datagrams.

An origin is stored at a few instances that the stream's id selects, so that
the others find it without asking all, also after the instance that began the
stream was killed.
"""

from __future__ import annotations

import contextlib
import dataclasses
import socket
import threading
import typing

import msgspec
import structlog

from briarseam import malformed
from briarseam.admission import owners
from briarseam.origins import memory
from briarseam.wire import connection as connections
from briarseam.wire import datagrams

if typing.TYPE_CHECKING:
    import collections.abc

# Instances that store an origin besides the one that began the stream.
REPLICAS = 3
# Instances that are asked: the replicas, and those that are selected in place
# of instances that have joined or left since.
ASKED = 6
# Answers take a few milliseconds.  A question that gets none is repeated once.
ANSWER_TIMEOUT_S = 0.15
ATTEMPTS = 2
# Pause after a failed receive, so that repeated failures don't use up a core.
MIN_RETRY_S = 0.005
log = structlog.get_logger("briarseam.origins")


class OriginStored(msgspec.Struct, array_like=True, tag="stored"):
    """Has the receiver store where a stream began."""

    stream: str
    service: str
    software: str


class OriginAsked(msgspec.Struct, array_like=True, tag="asked"):
    """Asks where a stream began."""

    stream: str


class OriginTold(msgspec.Struct, array_like=True, tag="told"):
    """Tells where a stream began; empty if the sender does not know."""

    stream: str
    sender: str
    service: str = ""
    software: str = ""


Datagram = OriginStored | OriginAsked | OriginTold


@dataclasses.dataclass
class Question:
    """A question that waits for answers.

    Attributes
    ----------
    unanswered
        Names of the instances that have not answered.
    origin
        The answer, once one is known.
    done
        Set once an origin is known, or all have answered.
    """

    unanswered: set[str]
    origin: memory.Origin | None = None
    done: threading.Event = dataclasses.field(default_factory=threading.Event)


class OriginExchange:
    """Stores origins at other instances, and asks these; thread-safe.

    Parameters
    ----------
    known
        Origins that this instance knows.
    local_name
        Name of this instance.
    address
        Address at which it receives, ``ip:port``.
    instances
        Returns the addresses of all instances by name.
    key
        Returns the key that all instances share; ``None`` before joining.
    counter
        Counts malformed datagrams.
    """

    def __init__(
        self,
        known: memory.OriginMemory,
        local_name: str,
        address: str,
        instances: typing.Callable[[], collections.abc.Mapping[str, str]],
        key: typing.Callable[[], bytes | None],
        counter: malformed.Tally,
    ) -> None:
        self.known = known
        self.local_name = local_name
        self.address = address
        self.instances = instances
        self.key = key
        self.counter = counter
        self.ring = owners.HashRing({})
        self.questions: dict[str, list[Question]] = {}
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.socket: socket.socket | None = None
        self.thread = threading.Thread(
            target=self.receive_loop, name="origins", daemon=True
        )

    def start(self) -> None:
        """Start receiving."""
        self.socket = datagrams.open_socket(self.address)
        self.thread.start()

    def stop(self) -> None:
        """Stop receiving."""
        self.stopping.set()
        if self.socket is None:
            return
        # Makes a pending receive fail; closing alone would leave it blocked.
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()

    def selected(self, stream: str, count: int) -> list[owners.Agent]:
        """Return the other instances that store a stream's origin."""
        addresses = self.instances()
        with self.lock:
            if addresses.keys() != self.ring.agents.keys():
                self.ring = owners.HashRing(
                    {
                        name: owners.Agent(name, address)
                        for name, address in addresses.items()
                    }
                )
            ring = self.ring
        found = ring.owners_of(stream, count + 1)
        return [one for one in found if one.name != self.local_name][:count]

    def store(self, stream: str, origin: memory.Origin) -> None:
        """Record where a stream began, here and at other instances."""
        self.known.record(stream, origin)
        message = OriginStored(stream, origin.service, origin.software)
        self.send(
            message, [one.address for one in self.selected(stream, REPLICAS)]
        )

    def find(self, stream: str) -> memory.Origin | None:
        """Return where a stream began; ask other instances if necessary."""
        origin = self.known.find(stream)
        if origin is not None:
            return origin
        asked = self.selected(stream, ASKED)
        question = Question({one.name for one in asked})
        with self.lock:
            self.questions.setdefault(stream, []).append(question)
        try:
            self.ask(stream, question, asked)
        finally:
            with self.lock:
                waiting = self.questions[stream]
                waiting.remove(question)
                if not waiting:
                    del self.questions[stream]
        if question.origin is not None:
            self.known.record(stream, question.origin)
        return question.origin

    def ask(
        self,
        stream: str,
        question: Question,
        asked: collections.abc.Sequence[owners.Agent],
    ) -> None:
        """Ask until one knows, all have answered or time is up."""
        for _attempt in range(ATTEMPTS):
            missing = [
                one.address for one in asked if one.name in question.unanswered
            ]
            if not missing or not self.send(OriginAsked(stream), missing):
                return
            if question.done.wait(ANSWER_TIMEOUT_S):
                return

    def send(
        self, message: Datagram, addresses: collections.abc.Iterable[str]
    ) -> bool:
        """Send a message; return whether this instance can send any."""
        key = self.key()
        if key is None or self.socket is None:
            return False
        datagram = datagrams.seal(key, msgspec.msgpack.encode(message))
        for address in addresses:
            try:
                self.socket.sendto(
                    datagram, connections.parse_address(address)
                )
            except OSError as error:
                log.info("origin_not_sent", address=address, detail=str(error))
        return True

    def receive_loop(self) -> None:
        """Receive datagrams until stopped."""
        assert self.socket is not None
        while not self.stopping.is_set():
            try:
                datagram, sender = self.socket.recvfrom(
                    datagrams.MAX_DATAGRAM_BYTES
                )
            except OSError as error:
                # The error may stem from an earlier datagram to a closed
                # port; the next receive may succeed.
                if not self.stopping.wait(MIN_RETRY_S):
                    log.info("origin_not_received", detail=str(error))
                continue
            if not self.stopping.is_set():
                self.handle(datagram, f"{sender[0]}:{sender[1]}")

    def handle(self, datagram: bytes, sender: str) -> None:
        """Handle one datagram, or count it as malformed."""
        key = self.key()
        if key is None:
            return
        try:
            content = datagrams.unseal(key, datagram)
            message = msgspec.msgpack.decode(content, type=Datagram)
        except (connections.WireError, msgspec.MsgspecError) as error:
            self.counter.note(malformed.Kind.DATAGRAM, "origins", error)
            return
        match message:
            case OriginStored(stream, service, software):
                origin = memory.Origin(service, software)
                self.known.record(stream, origin)
            case OriginAsked(stream):
                self.send(self.answer(stream), [sender])
            case OriginTold():
                self.apply(message)

    def answer(self, stream: str) -> OriginTold:
        """Return what this instance knows of a stream."""
        origin = self.known.find(stream)
        if origin is None:
            return OriginTold(stream, self.local_name)
        return OriginTold(
            stream, self.local_name, origin.service, origin.software
        )

    def apply(self, told: OriginTold) -> None:
        """Apply an answer to the questions that wait for it."""
        origin = None
        if told.service:
            origin = memory.Origin(told.service, told.software)
        with self.lock:
            for question in self.questions.get(told.stream, ()):
                question.unanswered.discard(told.sender)
                question.origin = question.origin or origin
                if question.origin is not None or not question.unanswered:
                    question.done.set()
