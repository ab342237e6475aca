"""Limits of the answers of endpoints, and reading within them."""

from __future__ import annotations

import dataclasses
import http.client
import typing

import urllib3.exceptions

from briarseam import bounded_http
from briarseam import bounded_reads
from briarseam import transfers

if typing.TYPE_CHECKING:
    import urllib3

    from briarseam.forwarding import held_bytes
    from briarseam.forwarding import supervision

READ_BYTES = 65536
# The deadline is checked between reads, and splitting short lines takes time.
EVENT_READ_BYTES = 8192
# A plain answer is held as a whole, so that another endpoint can be tried if
# it is broken off.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# The same without an announced length: it may have no end.
MAX_UNANNOUNCED_BYTES = 4 * 1024 * 1024
# An event is passed on as a whole.
MAX_EVENT_BYTES = 256 * 1024
# What comes with a rejection is read to keep the connection; making a new one
# is cheaper than more than this.
MAX_DROPPED_BYTES = 16 * 1024
MAX_DROPPED_S = 0.05
# A part that has begun comes within milliseconds, with lost packets within
# half a second.
MAX_PART_S = 1.0
MIN_PART_S = 0.25
# Share of the time left for a part, so that another endpoint has the rest.
PART_SHARE = 0.25
NETWORK_ERRORS = (
    OSError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
)


@dataclasses.dataclass(frozen=True)
class AnswerLimits:
    """Limits of the answers of endpoints.

    Attributes
    ----------
    answer_bytes, unannounced_bytes
        Maximum size of a plain answer's body, with and without an announced
        length.
    event_bytes
        Maximum size of an event of a stream, and of what comes between two.
    """

    answer_bytes: int = MAX_ANSWER_BYTES
    unannounced_bytes: int = MAX_UNANNOUNCED_BYTES
    event_bytes: int = MAX_EVENT_BYTES

    def body_bytes(self, framing: transfers.Framing | None) -> int:
        """Return the maximum size of a plain answer's body."""
        if framing is transfers.Framing.LENGTH:
            return self.answer_bytes
        return self.unannounced_bytes


def max_part_s(remaining_s: float) -> float:
    """Return how long a part of an answer may take that has begun.

    For requests that may be sent to another endpoint.

    Parameters
    ----------
    remaining_s
        Time until the request's deadline, in seconds.
    """
    return min(MAX_PART_S, max(MIN_PART_S, remaining_s * PART_SHARE))


def drop_body(
    connection: bounded_http.Connection, response: urllib3.BaseHTTPResponse
) -> None:
    """Read the body of a rejection; close the connection if it goes on.

    Raises
    ------
    MalformedAnswerError, HTTPError
        If its framing is malformed: then nothing in the answer counts.
    """
    meter = connection.meter
    meter.begin(MAX_DROPPED_BYTES)
    try:
        with meter.waiting(MAX_DROPPED_S):
            while response.read1(READ_BYTES):
                pass
    except NETWORK_ERRORS as error:
        if transfers.end_of(error) is transfers.End.MALFORMED:
            raise
        connection.close()
        response.close()


def read_whole(
    response: urllib3.BaseHTTPResponse,
    watch: supervision.Watch,
    holding: held_bytes.Holding,
    max_bytes: int,
) -> tuple[bytes, ...]:
    """Return the complete body of a plain answer, in pieces.

    Joined, a large one would take its size twice.

    Raises
    ------
    TooManyBytesError
        If it announces more bytes than allowed, or too much is held.
    EndedError
        If the request was ended.
    """
    announced = response.length_remaining or 0
    if announced > max_bytes:
        raise bounded_reads.TooManyBytesError(
            f"{announced} bytes announced, more than {max_bytes}"
        )
    pieces = []
    size = 0
    while data := response.read1(READ_BYTES):
        watch.check_time()
        size += len(data)
        holding.hold_answer(size)
        pieces.append(data)
    holding.complete_answer()
    return tuple(pieces)
