"""A sound worker of its own process, whose streams have no length.

usage: worker_2.py ADDRESS ID JOURNAL VERSION

A stream ends with its connection.  Each run and each event goes to the
journal first, so that it shows what was made before a kill.  From SIGUSR1 on
the worker leaves, and says so in all its answers.
"""

from __future__ import annotations

import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

import harness_2 as harness  # noqa: E402

STREAM = "text/event-stream"
PLAIN = "text/plain"
EVENTS = int(os.environ.get("EVENTS", "80"))
FIRST_S = 0.03
PAUSE_S = float(os.environ.get("PAUSE_S", "0.05"))
EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)


def is_stream(request: harness.Request) -> bool:
    """Return whether a request asks for a stream."""
    return "prefix-hash" in request.fields


class Journal:
    """Lines that survive the process."""

    def __init__(self, path: str) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self.descriptor = os.open(path, flags)

    def add(self, event: str, **fields: object) -> None:
        """Add a line."""
        told = " ".join(str(value) for value in fields.values())
        os.write(self.descriptor, f"{event} {told}\n".encode())


class Worker(harness.Worker):
    """A worker that sends streams without length and chunks."""

    is_leaving = False
    version = "1"

    def leave(self, *_signal: object) -> None:
        """Say from now on that it leaves."""
        self.is_leaving = True

    def run(self, sock: socket.socket, request: harness.Request) -> None:
        """Send the events that the client does not have yet."""
        head = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {request.id}",
            f"Response-Signature: {harness.SIGNATURE}",
            f"Content-Type: {STREAM if is_stream(request) else PLAIN}",
            "Connection: close",
        ]
        if self.is_leaving:
            head.append("Server-Leaving: 1")
        sock.sendall("\r\n".join(head).encode() + b"\r\n\r\n")
        first = int(request.fields.get("last-event-id", "0")) + 1
        time.sleep(FIRST_S)
        for number in range(first, EVENTS + 1):
            self.record.add("event", id=request.id, number=number)
            piece = f"id: {number}\ndata: {number} of {self.version}\n\n"
            sock.sendall(piece.encode())
            time.sleep(PAUSE_S)
        sock.shutdown(socket.SHUT_RDWR)


class Remote:
    """A worker of its own process, as a deployment sees it.

    Parameters
    ----------
    name
        Begin of the id of each of its starts.
    folder
        Where its journal is.
    """

    slots = 128

    def __init__(self, name: str, folder: pathlib.Path) -> None:
        self.name = name
        self.journal = folder / f"{name}.journal"
        self.address = f"127.0.0.1:{harness.free_ports(1)[0]}"
        self.version = "1"
        self.starts = 0
        self.keeps_id = False
        self.start()

    @property
    def id(self) -> str:
        """Its id; each start has a new one, unless it keeps its id."""
        return f"{self.name}-{1 if self.keeps_id else self.starts}"

    def start(self) -> None:
        """Start it."""
        self.starts += 1
        self.born_ms = time.time_ns() // 1_000_000
        journal = str(self.journal)
        options = [self.address, self.id, journal, self.version]
        self.process = subprocess.Popen([sys.executable, __file__, *options])

    def await_listening(self) -> None:
        """Wait until it takes connections."""
        while self.process.poll() is None:
            health = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
            if harness.ask(self.address, health, 1.0).status == 200:
                return
            time.sleep(0.005)
        raise harness.CannotRunError("a worker has ended")

    def close(self) -> None:
        """Kill it."""
        self.process.kill()
        self.process.wait()


def configuration() -> dict:
    """Return a configuration with routes for streams and plain requests."""
    route = harness.route(
        "draft",
        "stream",
        service="engines",
        timeoutMs=15000,
        targetLatencyMs=800,
        gapAimMs=300,
        sticky=True,
        resumable=True,
    )
    engine = {
        "slots": 128,
        "kvCapacityTokens": 213154,
        "models": [{"name": "drafts"}],
    }
    plain = harness.route(
        "file", "unsafe", service="engines", timeoutMs=15000, maxAttempts=1
    )
    document = harness.configuration([route, plain])
    document["services"].append({"name": "engines", "engine": engine})
    return document


def prompt_bytes(
    stream: str, id: str = "", fields: list[tuple[str, str]] | None = None
) -> bytes:
    """Return the request for a stream, or for the rest of it."""
    prompt = [
        ("Model", "drafts"),
        ("Token-Usage", "1000,80"),
        ("Prefix-Hash", f"aa:100,{stream}:500,{stream}f:400"),
        *(fields or []),
    ]
    return harness.request_bytes(
        "POST", "/draft/1", id or stream, b"{}", 15000, prompt
    )


def take_plain(
    record: harness.Record, address: str, id: str
) -> harness.Answer:
    """Send a plain request, whose answer has as many pieces as a stream."""
    record.add("sent", id=id)
    data = harness.request_bytes("POST", "/file/1", id, b"{}", 15000)
    answer = harness.ask(address, data, 15.0)
    last = EVENT_ID.findall(answer.body)[-1:]
    record.add("answered", id=id, got=answer, last_piece=last)
    return answer


def take_stream(
    record: harness.Record, address: str, id: str
) -> harness.Answer:
    """Ask for a stream and read it to its end."""
    record.add("sent", id=id)
    answer = harness.ask(address, prompt_bytes(id), 15.0)
    last = EVENT_ID.findall(answer.body)[-1:]
    record.add("answered", id=id, got=answer, last_event=last)
    return answer


def breaches_of(
    found: dict[str, harness.Answer], rule: str = "ORDER"
) -> list[str]:
    """Return what is wrong with the answers that ended as complete."""
    breaches = []
    for id, answer in found.items():
        if answer.status != 200 or not answer.whole:
            continue
        numbers = [int(number) for number in EVENT_ID.findall(answer.body)]
        if numbers != list(range(1, EVENTS + 1)):
            breaches.append(
                f"{rule}: {id} ended as complete after {len(numbers)} of "
                f"{EVENTS} pieces, the last one {numbers[-1:]}"
            )
    return breaches


def record_runs(record: harness.Record, remotes: list[Remote]) -> None:
    """Take the runs of all workers into the record."""
    for remote in remotes:
        for line in remote.journal.read_text().splitlines():
            if line.startswith("run"):
                record.add("journal", told=line)


def main() -> None:
    """Serve until killed."""
    address, id, journal, version = sys.argv[1:]
    worker = Worker(id, Journal(journal), address=address)
    worker.version = version
    signal.signal(signal.SIGUSR1, worker.leave)
    while True:
        time.sleep(1.0)


if __name__ == "__main__":
    main()
