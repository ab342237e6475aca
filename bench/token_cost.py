"""Where the processor time of relaying one token goes.

Run from the top of the tree::

    PYTHONPATH=src python bench/token_cost.py

Time of the relaying thread alone, so no other thread's work counts: first
the parts that touch no socket, then reading a run's stream from a sender
that leaves a pause after each token.  What `bench/entry_streams.py` shows
above these is the write to the caller and the changes between threads.
Writes bench/results/token-cost.json.
"""

from __future__ import annotations

import dataclasses
import socket
import threading
import time
import typing

import measuring

from briarseam.answers import events
from briarseam.answers import ordering
from briarseam.endpoints import engine
from briarseam.endpoints import sse

RUN = "run-0123456789abcdef"
VERSION = "v1"
TOKENS = 2_000
PAUSE_S = 0.001
SILENCE_S = 5.0
READ_BYTES = 65536
HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
)
END = b"0\r\n\r\n"


@dataclasses.dataclass(frozen=True)
class Row:
    """Processor time for one token."""

    what: str
    cpu_us: measuring.Spread


def blocks() -> list[bytes]:
    """Return the events of a run as an engine sends them."""
    start = f'{{"run_id":"{RUN}","version":"{VERSION}"}}'
    found = [sse.render(sse.Event("start", start))]
    for offset in range(TOKENS):
        data = f'{{"run_id":"{RUN}","offset":{offset},"token":" drafted"}}'
        found.append(sse.render(sse.Event("token", data, str(offset))))
    return found


def us(begun: float) -> float:
    """Return the thread's microseconds for each token since then."""
    return 1e6 * (time.thread_time() - begun) / TOKENS


def parse() -> float:
    """Return the time to split and parse events."""
    begun = time.thread_time()
    for event in sse.read(blocks_made):
        engine.parse_piece(event)
    return us(begun)


def relay(pieces: typing.Iterator[engine.Piece]) -> float:
    """Return the time to check the order of pieces and render them."""
    sequencer = ordering.Sequencer(RUN, VERSION)
    sequencer.read_start(pieces)
    begun = time.thread_time()
    for _ in range(TOKENS):
        piece = sequencer.next(pieces)
        assert isinstance(piece, engine.Token)
        events.token_event(piece)
    return us(begun)


def render() -> float:
    """Return the time to check the order and render, without parsing."""
    pieces = [engine.parse_piece(event) for event in sse.read(blocks_made)]
    return relay(iter(pieces))


def send(listener: socket.socket) -> None:
    """Answer one connection with the run, a chunk for each event."""
    sock, _ = listener.accept()
    with sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.recv(READ_BYTES)
        sock.sendall(HEAD)
        for block in blocks_made:
            sock.sendall(b"%x\r\n%s\r\n" % (len(block), block))
            time.sleep(PAUSE_S)
        sock.sendall(END)


def read() -> float:
    """Return the time to read, parse, check and render from a socket."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        sender = threading.Thread(target=send, args=(listener,))
        sender.start()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        stream = engine.EngineClient(SILENCE_S).resume(address, RUN, 0)
        found = relay(iter(stream))
        stream.close()
        sender.join()
        return found


def main() -> None:
    """Measure and write."""
    steps = {
        "split and parse": parse,
        "check the order and render": render,
        "read from a socket, and both": read,
    }
    rows = [
        Row(
            what,
            measuring.spread([step() for _ in range(measuring.REPEATS)], 1),
        )
        for what, step in steps.items()
    ]
    for row in rows:
        print(row)
    measuring.write("token-cost", rows)


blocks_made = blocks()

if __name__ == "__main__":
    main()
