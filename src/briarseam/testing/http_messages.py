"""Calls and answers of the stand-ins, free of the HTTP server's types."""

from __future__ import annotations

import collections.abc
import dataclasses
import errno
import typing

import msgspec

JSON_TYPE = "application/json"
CHECKSUM_HEADER = "X-Checksum"
BYTES_TYPE = "application/octet-stream"
SSE_TYPE = "text/event-stream"


class Dropped(ConnectionResetError):
    """Closes the connection without an answer, or in the middle of one."""

    def __init__(self) -> None:
        super().__init__(errno.ECONNRESET, "dropped by a switch")


class Output(typing.Protocol):
    """The connection that a stream goes out on."""

    def frame(self, content: bytes) -> bytes:
        """Return bytes as the connection's transfer coding needs them."""

    def send_now(self, framed: bytes) -> int:
        """Send without waiting and return how many bytes went."""

    def send(self, framed: bytes) -> None:
        """Send all, waiting as long as it takes."""

    def reset_on_close(self) -> None:
        """Have the connection reset when it is closed."""


@dataclasses.dataclass(frozen=True)
class Request:
    """One call.

    Attributes
    ----------
    method
        Upper-case HTTP method.
    path
        Decoded segments of the path.
    query
        Query parameters, the last value of each.
    headers
        Header values by lower-case name.
    body
        The whole body.
    output
        What the answer goes out on.
    """

    method: str
    path: tuple[str, ...]
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    output: Output

    def number(self, name: str, default: int) -> int:
        """Read a whole number from the query.

        Parameters
        ----------
        name
            The query parameter.
        default
            Its value when absent.

        Returns
        -------
        int
            The value.

        Raises
        ------
        ValueError
            When it is no whole number.
        """
        return int(self.query.get(name, default))


@dataclasses.dataclass(frozen=True)
class Response:
    """One answer.

    Attributes
    ----------
    status
        HTTP status.
    body
        The whole body, or an iterator over the pieces of a stream.
    content_type
        Media type of the body.
    headers
        Further headers.
    """

    status: int
    body: bytes | collections.abc.Iterator[bytes] = b""
    content_type: str = BYTES_TYPE
    headers: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True)
class Problem:
    """Body of an answer that refuses a call."""

    error: str


def json_response(
    status: int,
    content: object,
    headers: tuple[tuple[str, str], ...] = (),
) -> Response:
    """Build an answer whose body is JSON.

    Parameters
    ----------
    status
        HTTP status.
    content
        A data class or another value that msgspec encodes.
    headers
        Further headers.

    Returns
    -------
    Response
        The answer.
    """
    return Response(status, msgspec.json.encode(content), JSON_TYPE, headers)


def problem(
    status: int, error: str, retry_after_s: float | None = None
) -> Response:
    """Build an answer that refuses a call.

    Parameters
    ----------
    status
        HTTP status.
    error
        What was wrong.
    retry_after_s
        Seconds for the ``Retry-After`` header, rounded up.

    Returns
    -------
    Response
        The answer.
    """
    if retry_after_s is None:
        return json_response(status, Problem(error))
    seconds = str(max(1, -int(-retry_after_s // 1)))
    return json_response(status, Problem(error), (("Retry-After", seconds),))
