"""Bounds of the requests that servers read.

Cheroot's time-out is for a single read, and it reads the size of a chunk as a
line of any length.
"""

from __future__ import annotations

import dataclasses
import socket
import typing

import cheroot.makefile
import cheroot.server

from briarseam import bounded_reads

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


class RequestReader(cheroot.makefile.StreamReader):
    """Reads requests through a meter.

    Parameters
    ----------
    sock
        The connection's socket.
    buffer_bytes
        Size of the buffer.
    meter
        Counts and bounds what is read.
    """

    def __init__(
        self,
        sock: socket.socket,
        buffer_bytes: int,
        meter: bounded_reads.Meter,
    ) -> None:
        base: typing.Any = super()
        base.__init__(sock, "rb", buffer_bytes)
        self._raw = bounded_reads.MeteredReader(base.detach(), sock, meter)


def apply(server: typing.Any, limits: RequestLimits) -> None:
    """Apply limits to a cheroot server whose connections have meters."""
    server.limits = limits
    server.max_request_header_size = limits.head_bytes
    server.max_request_body_size = limits.body_bytes


def parse(
    request: cheroot.server.HTTPRequest,
    parse_head: typing.Callable[[], None],
) -> None:
    """Read the head of a request within its limits, then begin its body.

    Parameters
    ----------
    request
        The request; its connection has a meter, its server limits.
    parse_head
        Reads the head.
    """
    meter: bounded_reads.Meter = request.conn.meter
    limits: RequestLimits = request.server.limits
    meter.bounds_silence = True
    meter.begin(limits.head_bytes + FRAMING_BYTES, limits.head_s)
    parse_head()
    body_bytes = FRAMING_FACTOR * limits.body_bytes + FRAMING_BYTES
    meter.begin(body_bytes, limits.body_s)
    meter.begun_s = meter.clock()
