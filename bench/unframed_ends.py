"""How ends of answers without a length or chunks are judged, and their cost.

    PYTHONPATH=src:. .venv/bin/python bench/unframed_ends.py [--runs N]

A process sends the first event of a stream.  Then it is killed, closes the
connection and goes on listening, or ends after it has said that it leaves.
"""

from __future__ import annotations

import argparse
import collections
import os
import signal
import socket
import statistics
import time

from tests.forwarding import sending

from briarseam import clocks
from briarseam.forwarding import attempts
from briarseam.forwarding import connections
from briarseam.forwarding import supervision
from briarseam.platform import requests
from briarseam.routes import model as routes

EVENT = b"id: 1\ndata: a\n\n"
HEAD = b"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n"
LEAVING = b"Server-Leaving: 1\r\n"
LISTEN_S = 1.0
ENDS = ("killed", "goes on", "leaves")


def serve(listener: socket.socket, end: str) -> None:
    """Answer one request in this process, and end as told."""
    connection, _address = listener.accept()
    connection.recv(65536)
    extra = LEAVING if end == "leaves" else b""
    connection.sendall(HEAD + extra + b"\r\n" + EVENT)
    if end == "killed":
        os.kill(os.getpid(), signal.SIGKILL)
    if end == "leaves":
        listener.close()
    connection.close()
    if end == "goes on":
        time.sleep(LISTEN_S)
    os._exit(0)


def run(end: str) -> tuple[str, float, int]:
    """Return outcome, seconds to it and connections of one request."""
    listener = socket.create_server(("127.0.0.1", 0))
    host, port = listener.getsockname()[:2]
    child = os.fork()
    if child == 0:
        serve(listener, end)
    listener.close()
    local, remote = socket.socketpair()
    pool = connections.Pool()
    try:
        watch = supervision.Watch(local, clocks.boot_clock() + LISTEN_S)
        attempt = sending.attempt_to(
            f"{host}:{port}", watch, sending.Exchange(), routes.Repeat.STREAM
        )
        began_s = time.perf_counter()
        outcome = attempts.Sender(pool, requests.decode_answer).send(attempt)
        took_s = time.perf_counter() - began_s
    finally:
        local.close()
        remote.close()
        os.kill(child, signal.SIGKILL)
        os.waitpid(child, 0)
    return type(outcome).__name__.lower(), took_s, pool.opened


def main() -> None:
    """Print a row for each end."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=200)
    options = parser.parse_args()
    for end in ENDS:
        runs = [run(end) for _ in range(options.runs)]
        outcomes = collections.Counter(outcome for outcome, _s, _n in runs)
        median_ms = statistics.median(took for _o, took, _n in runs) * 1000
        opened = max(number for _o, _s, number in runs)
        print(
            f"{end}: {dict(outcomes)}, median {median_ms:.2f} ms, "
            f"{opened} connections at most"
        )


if __name__ == "__main__":
    main()
