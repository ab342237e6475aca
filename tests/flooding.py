"""Endpoints that send one part of an answer without end.

    PYTHONPATH=src:. python -m tests.flooding NAME PACE IP:PORT

runs one until it is ended, and prints its address.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import enum
import pathlib
import socket
import subprocess
import sys
import threading
import time

SIGNED = b"Response-Signature: s\r\n"
NOT_RUN = b"Not-Executed: 1\r\n"
EVENTS = b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
BLOCK_BYTES = 65536
# Pause between two drops of a part that comes slowly.
DROP_PAUSE_S = 0.02
BACKLOG = 128
KIB = b"x" * 1024


class Pace(enum.StrEnum):
    """How fast a part comes."""

    FAST = "fast"
    DROPS = "drops"


@dataclasses.dataclass(frozen=True)
class Flood:
    """An answer of which one part does not end.

    Attributes
    ----------
    before
        What comes before that part.
    piece
        What is repeated without end.
    is_stream
        Whether it is an answer to a request for a stream.
    """

    before: bytes
    piece: bytes
    is_stream: bool = False


def head(headers: bytes = SIGNED, status: bytes = b"200 OK") -> bytes:
    """Return the head of an answer."""
    return b"HTTP/1.1 " + status + b"\r\n" + headers + b"\r\n"


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


FAILED = b"500 Internal Server Error"
REFUSED = b"503 Service Unavailable"
STREAM = SIGNED + EVENTS
EVENT = b"id: 1\ndata: a\n\n"

HEADS = {
    "status-line": Flood(b"HTTP/1.1 200 ", b"x"),
    "header-line": Flood(b"HTTP/1.1 200 OK\r\nX-A: ", b"x"),
    "headers": Flood(b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n"),
    "folded-headers": Flood(b"HTTP/1.1 200 OK\r\nX-A: b\r\n", b" c\r\n"),
    "interim-answers": Flood(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "early-hints": Flood(b"", b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"),
    "no-answer": Flood(b"", b"\x00\xfe"),
}
BODIES = {
    "body": Flood(head(), KIB),
    "body-in-chunks": Flood(head(SIGNED + CHUNKED), chunk(KIB)),
    "body-of-huge-length": Flood(
        head(SIGNED + b"Content-Length: 1000000000000\r\n"), KIB
    ),
    "chunks-of-one-byte": Flood(head(SIGNED + CHUNKED), chunk(b"x")),
    "chunk-of-huge-size": Flood(
        head(SIGNED + CHUNKED) + b"FFFFFFFFFF\r\n", KIB
    ),
    "chunk-size": Flood(head(SIGNED + CHUNKED), b"0"),
    "chunk-extension": Flood(head(SIGNED + CHUNKED) + b"1;", b"a"),
    "body-of-a-failure": Flood(head(SIGNED, FAILED), KIB),
    "failure-in-chunks": Flood(head(SIGNED + CHUNKED, FAILED), chunk(KIB)),
}
STREAMS = {
    "event": Flood(head(STREAM) + b"data: ", KIB, True),
    "event-in-lines": Flood(head(STREAM), b"data: x\n", True),
    "event-in-chunks": Flood(
        head(STREAM + CHUNKED) + chunk(b"data: "), chunk(KIB), True
    ),
    "event-in-chunks-of-one-byte": Flood(
        head(STREAM + CHUNKED) + chunk(b"data: "), chunk(b"x"), True
    ),
    "comments": Flood(head(STREAM), b":x\n\n", True),
    "comment-lines": Flood(head(STREAM), b":x\n", True),
    "blank-lines": Flood(head(STREAM), b"\n", True),
    "events-without-data": Flood(head(STREAM), b"event: x\n\n", True),
    "comments-in-chunks": Flood(
        head(STREAM + CHUNKED), chunk(b":x\n\n"), True
    ),
}
# The request was not run, whatever follows the head.
REFUSALS = {
    "body-of-a-refusal": Flood(head(NOT_RUN, REFUSED), KIB),
    "refusal-in-chunks": Flood(head(NOT_RUN + CHUNKED, REFUSED), chunk(KIB)),
    "refusal-of-huge-length": Flood(
        head(NOT_RUN + b"Content-Length: 1000000000000\r\n", REFUSED), KIB
    ),
    "trailers-of-a-refusal": Flood(
        head(NOT_RUN + CHUNKED, REFUSED) + b"0\r\n", b"X-A: b\r\n"
    ),
}
# The answer is whole, whatever follows its body.
WHOLE = {
    "trailers": Flood(
        head(SIGNED + CHUNKED) + chunk(b"whole") + b"0\r\n", b"X-A: b\r\n"
    ),
    "trailers-of-events": Flood(
        head(STREAM + CHUNKED) + chunk(EVENT) + b"0\r\n", b"X-A: b\r\n", True
    ),
    "bytes-after-the-answer": Flood(
        head(SIGNED + b"Content-Length: 5\r\n") + b"whole", KIB
    ),
}
# Some of the answer has been passed on when the flood begins.
BEGUN_STREAMS = {
    f"{name}-after-an-event": dataclasses.replace(
        flood,
        before=flood.before.replace(b"\r\n\r\n", b"\r\n\r\n" + begun, 1),
    )
    for name, flood in STREAMS.items()
    for begun in [chunk(EVENT) if CHUNKED in flood.before else EVENT]
}
BROKEN = HEADS | BODIES | STREAMS | BEGUN_STREAMS
ALL = BROKEN | REFUSALS | WHOLE


def send(
    send_all: Callable[[bytes], object],
    flood: Flood,
    pace: Pace,
    stopping: threading.Event,
    end_s: float = float("inf"),
) -> None:
    """Send a flood until stopped, or until a time by the monotonic clock.

    Raises
    ------
    OSError
        If the caller has closed the connection.
    """
    send_all(flood.before)
    block = flood.piece
    if pace is Pace.FAST:
        block *= max(1, BLOCK_BYTES // max(1, len(block)))
    while not stopping.is_set() and time.monotonic() < end_s:
        send_all(block)
        if pace is Pace.DROPS:
            time.sleep(DROP_PAUSE_S)


class Endpoint:
    """Answers each request with a flood until its caller closes.

    Parameters
    ----------
    flood, pace
        What is sent, and how fast.
    listen
        IP address and port.
    lasts_s
        After this time it closes itself.

    Attributes
    ----------
    open
        Number of connections that are open.
    lasted_s
        How long each connection lasted that its caller closed, in seconds
        since its request.
    sent_bytes
        Bytes sent in all.
    """

    def __init__(
        self,
        flood: Flood,
        pace: Pace,
        listen: tuple[str, int] = ("127.0.0.1", 0),
        lasts_s: float = 30.0,
    ) -> None:
        self.flood = flood
        self.pace = pace
        self.lasts_s = lasts_s
        self.open = 0
        self.lasted_s: list[float] = []
        self.sent_bytes = 0
        self.stopping = threading.Event()
        self.lock = threading.Lock()
        self.listener = socket.create_server(listen, backlog=BACKLOG)
        host, port = self.listener.getsockname()[:2]
        self.address = f"{host}:{port}"

    def __enter__(self) -> Endpoint:
        threading.Thread(target=self.accept, daemon=True).start()
        return self

    def __exit__(self, *_error: object) -> None:
        self.stopping.set()
        self.listener.close()

    def accept(self) -> None:
        """Serve each connection in a thread of its own."""
        while not self.stopping.is_set():
            try:
                connection, _address = self.listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self.serve, args=(connection,), daemon=True
            ).start()

    def serve(self, connection: socket.socket) -> None:
        """Answer one request."""
        with connection, contextlib.suppress(OSError):
            if not connection.recv(BLOCK_BYTES):
                return
            begun_s = time.monotonic()
            with self.lock:
                self.open += 1
            try:
                self.answer(connection, begun_s + self.lasts_s)
            except OSError:
                self.lasted_s.append(time.monotonic() - begun_s)
            finally:
                with self.lock:
                    self.open -= 1

    def answer(self, connection: socket.socket, end_s: float) -> None:
        """Send without end.

        Raises
        ------
        OSError
            If the caller has closed the connection.
        """

        def send_counted(data: bytes) -> None:
            connection.sendall(data)
            self.sent_bytes += len(data)

        send(send_counted, self.flood, self.pace, self.stopping, end_s)


@contextlib.contextmanager
def process(name: str, pace: Pace) -> Iterator[str]:
    """Run an endpoint in a process of its own; yield its address."""
    with subprocess.Popen(
        [sys.executable, "-m", __spec__.name, name, pace.value],
        cwd=pathlib.Path(__file__).parents[1],
        stdout=subprocess.PIPE,
        text=True,
    ) as running:
        try:
            yield running.stdout.readline().strip()
        finally:
            running.kill()


def main() -> None:
    """Run an endpoint until this process is ended."""
    name, pace = sys.argv[1:3]
    host, _, port = (sys.argv[3:] or ["127.0.0.1:0"])[0].rpartition(":")
    with Endpoint(ALL[name], Pace(pace), (host, int(port))) as endpoint:
        print(endpoint.address, flush=True)
        endpoint.stopping.wait()


if __name__ == "__main__":
    main()
