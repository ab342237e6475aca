"""How the body of an endpoint's answer was framed, and how it ended."""

from __future__ import annotations

import dataclasses
import enum
import http.client
import typing

from briarseam import bounded_reads
from briarseam import http_heads

if typing.TYPE_CHECKING:
    import urllib3


class Framing(enum.StrEnum):
    """What marks the end of a body."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION = "connection"


class End(enum.StrEnum):
    """How the transfer of a body ended."""

    COMPLETE = "complete"
    CLOSED = "closed"
    RESET = "reset"
    ERROR = "error"
    # Closed by the reader: its head or framing is malformed.
    MALFORMED = "malformed"
    # Given up by the reader.
    TOO_LONG = "too-long"
    TOO_SLOW = "too-slow"


@dataclasses.dataclass
class Transfer:
    """The transfer of one answer.

    Attributes
    ----------
    framing
        What marks the end of its body; ``None`` before its head was read.
    end
        How it ended; ``None`` before that, or if the instance ended it.
    remainder_bytes
        Bytes of a stream after its last complete event.
    """

    framing: Framing | None = None
    end: End | None = None
    remainder_bytes: int = 0

    def record_end_of_body(self) -> None:
        """Record that no more bytes follow."""
        closed = self.framing is Framing.CONNECTION
        self.end = End.CLOSED if closed else End.COMPLETE

    def __str__(self) -> str:
        """Return the fields for the log; empty before the head was read."""
        if self.framing is None:
            return ""
        fields = [f"framing={self.framing}"]
        if self.end is not None:
            fields.append(f"end={self.end}")
        if self.remainder_bytes:
            fields.append(f"remainder={self.remainder_bytes}B")
        return " ".join(fields)


GIVEN_UP = frozenset({End.TOO_LONG, End.TOO_SLOW})
# An answer may have come to these ends before its framing was known.
ENDED_BY_READER = GIVEN_UP | {End.MALFORMED}


def framing_of(response: urllib3.BaseHTTPResponse) -> Framing:
    """Return the framing of an answer whose head was read.

    An answer that can't have a body has the length 0.
    """
    if response.chunked:
        return Framing.CHUNKED
    if response.length_remaining is not None:
        return Framing.LENGTH
    return Framing.CONNECTION


def end_of(error: BaseException) -> End:
    """Return how a transfer ended that failed with an error."""
    cause: object = error
    while isinstance(cause, BaseException):
        if isinstance(cause, bounded_reads.TooManyBytesError):
            return End.TOO_LONG
        if isinstance(cause, bounded_reads.TooSlowError):
            return End.TOO_SLOW
        if isinstance(cause, http_heads.MalformedAnswerError):
            return End.MALFORMED
        if isinstance(
            cause, http.client.IncompleteRead | http.client.RemoteDisconnected
        ):
            return End.CLOSED
        if isinstance(cause, ConnectionError):
            return End.RESET
        cause = cause.__cause__
    return End.ERROR
