"""Bounds of the requests that servers read.

Cheroot's time-out is for a single read, and it reads the size of a chunk as a
line of any length.
"""

from __future__ import annotations

import dataclasses
import io
import typing

from briarseam import bounded_reads
from briarseam import turns

# A line of framing for each chunk, and chunks of callers may be small.
FRAMING_FACTOR = 2
FRAMING_BYTES = 65536


@dataclasses.dataclass(frozen=True)
class RequestLimits:
    """What a client may send, and how long it may take.

    Attributes
    ----------
    head_bytes, body_bytes
        Maximum sizes of the headers and the body.
    head_s, body_s
        Maximum time from the first byte of the headers, and from their end,
        in seconds.
    """

    head_bytes: int = 65536
    body_bytes: int = 16 * 1024 * 1024
    head_s: float = 3.0
    body_s: float = 15.0


def apply(server: typing.Any, limits: RequestLimits) -> None:
    """Apply limits to a cheroot server whose connections have meters."""
    server.limits = limits
    server.max_request_header_size = limits.head_bytes
    server.max_request_body_size = limits.body_bytes


def begin_head(meter: bounded_reads.Meter, limits: RequestLimits) -> None:
    """Begin to read the head of a request within limits."""
    meter.bounds_silence = True
    meter.begin(limits.head_bytes + FRAMING_BYTES, limits.head_s)


def parse(
    request: typing.Any,
    parse_head: typing.Callable[[], None],
) -> None:
    """Read the head of a request within its limits, then begin its body.

    Parameters
    ----------
    request
        Cheroot's request; its connection has a meter, its server limits.
    parse_head
        Reads a head that may be malformed or too large.
    """
    connection = request.conn
    meter: bounded_reads.Meter = connection.meter
    limits: RequestLimits = request.server.limits
    head = connection.rfile.take_head(limits.head_bytes)
    if head is None:
        parse_head()
    else:
        request.rfile = io.BytesIO(head)
        connection.head_bytes = len(head)
        with turns.of_head(len(head)):
            request.ready = (
                request.read_request_line() and request.read_request_headers()
            )
    body_bytes = FRAMING_FACTOR * limits.body_bytes + FRAMING_BYTES
    meter.begin(body_bytes, limits.body_s)
    meter.begun_s = meter.clock()
