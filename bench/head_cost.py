"""Time to read the head of an answer, by the library and by the grammar.

PYTHONPATH=src python bench/head_cost.py
"""

from __future__ import annotations

import http.client
import io
import timeit
import typing

from briarseam import http_heads

READS = 500
REPEATS = 5
US = 1e6
LENGTH = b"Content-Length: 5\r\n"


class Socket:
    """Stands in for a connection on which a head has arrived."""

    def __init__(self, data: bytes) -> None:
        self.data = data

    def makefile(self, *_options: str) -> io.BufferedReader:
        """Return a reader of the head."""
        return io.BufferedReader(
            typing.cast("typing.Any", io.BytesIO(self.data))
        )


def read_by_library(data: bytes) -> None:
    """Read a head as the HTTP library does."""
    response = http.client.HTTPResponse(
        typing.cast("typing.Any", Socket(data))
    )
    response.begin()
    list(response.headers.items())


def read_by_grammar(data: bytes) -> None:
    """Read a head as connections of this system do."""
    head = http_heads.read_answer_head(Socket(data).makefile())
    framing = http_heads.framing_of(head, "GET")
    http_heads.stays_open(head, framing)
    message = http.client.HTTPMessage()
    for name, value in head.fields:
        message.set_raw(name, value)
    list(message.items())


def head_of(fields: int, value: bytes) -> bytes:
    """Return a head with some fields of one value."""
    lines = (b"X-Note-%d: %s\r\n" % (n, value) for n in range(fields))
    return b"HTTP/1.1 200 OK\r\n" + b"".join(lines) + LENGTH + b"\r\n"


def main() -> None:
    """Print the time of a read, for a short and for a long head."""
    for data in (head_of(8, b"v" * 25), head_of(80, b"v" * 180)):
        for read in (read_by_library, read_by_grammar):
            times = timeit.repeat(
                lambda: read(data),  # noqa: B023  # called within the loop
                number=READS,
                repeat=REPEATS,
            )
            took_us = min(times) / READS * US
            print(f"{len(data)} bytes, {read.__name__}: {took_us:.1f} us")


if __name__ == "__main__":
    main()
