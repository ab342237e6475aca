"""Answers whose request ends while they are sent to a slow caller."""

from __future__ import annotations

import dataclasses
import enum
import socket
import time

import pytest

from briarseam.testing import http_messages
from briarseam.testing import waiting
from tests.platform import raw_caller
from tests.platform import system as systems
from tests.platform import worker as workers

# With small buffers and the segments of an Ethernet link, little of an answer
# is on its way to a caller who does not read.
SEND_BYTES = 4096
RECEIVE_BYTES = 4096
SEGMENT_BYTES = 1460
LARGE = "x" * 200_000
HEADER_LINES = 7
HEADER_BYTES = 8000
DEADLINE_S = 1.2
STALL_S = 0.5
# The caller reads on so long after the request has ended.
READS_AFTER_S = 0.7
MS = 1000
TIMEOUT_S = 5.0
HEAD = b"HTTP/1."
REASONS = ("deadline", "stop", "endpoint-lost", "caller-reads-nothing")
MOMENTS = (
    "nothing-sent",
    "head-in-part",
    "first-event-in-part",
    "between-events",
    "last-event-in-part",
)
FRAMINGS = ("chunks", "connection", "length")
FAILURES = (502, 503, 504)


class End(enum.Enum):
    """How a connection ended for the caller."""

    OPEN = "open"
    CLOSED = "closed"
    RESET = "reset"


@dataclasses.dataclass(frozen=True)
class Cell:
    """Why a request ends, when, and what frames its answer."""

    reason: str
    moment: str
    framing: str

    def __str__(self) -> str:
        return f"{self.reason}-{self.moment}-{self.framing}"

    @property
    def is_plain(self) -> bool:
        """Whether the answer is no stream."""
        return self.framing == "length"

    @property
    def reads_after_s(self) -> float:
        """When the caller reads, in seconds after it has sent the request."""
        ends_s = DEADLINE_S if self.reason == "deadline" else STALL_S
        return ends_s + READS_AFTER_S

    def exists(self) -> bool:
        """Return whether there is such a case."""
        reads = self.moment in ("nothing-sent", "between-events")
        if self.reason == "caller-reads-nothing" and reads:
            # Nothing waits for the caller then.
            return False
        # The end of a plain answer is relayed once it is whole.
        return not self.is_plain or self.moment in MOMENTS[:3]


CELLS = [
    cell
    for reason in REASONS
    for moment in MOMENTS
    for framing in FRAMINGS
    if (cell := Cell(reason, moment, framing)).exists()
]


class Documents(workers.Worker):
    """Endpoint whose answers are large at one place."""

    def __init__(self, id: str, cell: Cell) -> None:
        super().__init__(id)
        self.cell = cell
        self.set(events=2)

    def run(
        self,
        request: http_messages.Request,
        call: str,
        echo: workers.Headers,
    ) -> http_messages.Response:
        """Wait, or answer with a head that may be large."""
        if self.cell.moment == "nothing-sent":
            self.ran.append(call)
            self.wait_for_the_end()
        if self.cell.moment == "head-in-part":
            note = "x" * HEADER_BYTES
            lines = [(f"X-Note-{n}", note) for n in range(HEADER_LINES)]
            echo = (*echo, *lines)
        return super().run(request, call, echo)

    def wait_for_the_end(self) -> None:
        """Go on until the request has ended, or be lost now."""
        if self.cell.reason != "endpoint-lost":
            self.stopping.wait(self.cell.reads_after_s)
        raise http_messages.Dropped

    def plain_body(self) -> bytes:
        """Return the body of a plain answer."""
        return LARGE.encode()

    def event(self, number: int) -> bytes:
        """Return one event of a stream."""
        larges = {"first-event-in-part": 1, "last-event-in-part": 2}
        is_large = larges.get(self.cell.moment) == number
        text = LARGE if is_large else "a"
        return f"id: {number}\ndata: {text}\n\n".encode()

    def stream(self, request, call):
        """Yield events, and break off once the caller gets the large one."""
        for number in self.numbers(request):
            yield self.event(number)
            if number == 1 and self.cell.moment == "between-events":
                self.wait_for_the_end()
        if self.cell.reason == "endpoint-lost":
            raise http_messages.Dropped

    def made(self) -> bytes:
        """Return the body that callers get parts of."""
        if self.cell.is_plain:
            return self.plain_body()
        return self.event(1) + self.event(2)


def end(cell, system):
    """End the request for its reason, if that does not come by itself."""
    if cell.reason == "stop":
        requests = system.node.forwarding.active_requests
        waiting.until(lambda: has_come_to(cell, system), TIMEOUT_S)
        requests.cut_off()


def has_come_to(cell, system):
    """Return whether a request has come to the moment of its end."""
    if cell.moment == "nothing-sent":
        return system.workers["only"].ran
    writers = [
        context.exchange.request.conn.wfile
        for context in list(
            system.node.forwarding.active_requests.contexts.values()
        )
    ]
    # Head and first event have less, and of the last event more is sent.
    least = 2000 if cell.moment == "last-event-in-part" else 1
    return any(writer.bytes_written >= least for writer in writers)


def receive(cell, system):
    """Send a request, read late, and return what came and how it ended."""
    others = {} if cell.is_plain else systems.PROMPT
    if cell.reason == "deadline":
        others = {**others, "Deadline_Ms": str(round(DEADLINE_S * MS))}
    version = "1.0" if cell.framing == "connection" else "1.1"
    path = "/status/x" if cell.is_plain else "/draft/x"
    headers = systems.callers_headers(systems.KEY, others)
    sent = raw_caller.request_bytes("POST", path, headers, version, b"{}")
    listen = system.node.settings.listen.callers
    with socket.socket() as caller:
        caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        caller.settimeout(TIMEOUT_S)
        caller.connect((listen.ip, listen.port))
        caller.sendall(sent)
        end(cell, system)
        time.sleep(cell.reads_after_s)
        return read_all(caller)


def read_all(caller):
    """Return all bytes, and how the connection ended."""
    received = b""
    try:
        while data := caller.recv(65536):
            received += data
    except ConnectionResetError:
        return received, End.RESET
    except TimeoutError:
        return received, End.OPEN
    return received, End.CLOSED


def parse(received, ended):
    """Return an answer as its caller takes it."""
    theirs, ours = socket.socketpair()
    with theirs, ours:
        ours.settimeout(TIMEOUT_S)
        theirs.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2**20)
        theirs.sendall(received)
        theirs.close()
        answer = raw_caller.Reader(ours).read()
    is_whole = answer.complete and (
        ended is not End.RESET or "content-length" in answer.headers
    )
    return dataclasses.replace(answer, complete=is_whole)


@pytest.mark.parametrize("cell", CELLS, ids=str)
def test_answer_has_one_head_and_no_false_end(cold_system, cell):
    """Guards against a second answer in the body of one that has begun."""
    endpoint = Documents("only", cell)
    cold_system.add(endpoint, "portal" if cell.is_plain else "engines")
    cold_system.configure()
    node = cold_system.start()
    server = node.servers["callers"]
    server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BYTES)
    if cell.reason == "caller-reads-nothing":
        server.caller_stall_timeout_s = STALL_S
    received, ended = receive(cell, cold_system)
    answer = parse(received, ended)
    assert received.count(HEAD) == 1
    if cell.moment == "nothing-sent":
        assert answer.complete
        assert answer.status in FAILURES
        return
    assert answer.status in (200, 0)
    assert endpoint.made().startswith(answer.body)
    if answer.complete:
        assert answer.body == endpoint.made()
    else:
        assert ended is not End.OPEN
