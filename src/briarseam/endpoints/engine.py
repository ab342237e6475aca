"""Client of a model engine for an entry: start, resume and cancel runs.

Only this adapter depends on the protocol of the engine's runs.  Its errors
say what the engine may have done with the request.
"""

from __future__ import annotations

import contextlib
import dataclasses
import functools
import http.client
import json
import typing

import msgspec
import urllib3

from briarseam import bounded_http
from briarseam import bounded_reads
from briarseam.endpoints import sse

if typing.TYPE_CHECKING:
    import socket

CONNECT_TIMEOUT_S = 1.0
CANCEL_TIMEOUT_S = 2.0
# An engine that has the run sends the status line of its stream at once.
RESUME_TIMEOUT_S = 1.0
POOL_SIZE = 256
READ_BYTES = 65536
# The largest event, the list of an answer's tokens so far, is far smaller.
MAX_EVENT_BYTES = 256 * 1024
STREAM_LIMITS = bounded_http.Limits(body_bytes=None)
HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_TOO_MANY = 429
HTTP_UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True)
class RunRequest:
    """Body of ``POST /runs``.

    Attributes
    ----------
    run_id
        Unique for each run; the engine refuses a known one.
    model, version, adapter
        What the engine must have loaded; ``None`` for no adapter.
    prompt
        Text of the prompt.
    prior
        Tokens of the answer that the caller already has.
    max_tokens
        Maximum number of tokens of the complete answer.
    priority
        0 (highest) to 9 (lowest).
    organisation
        Salt of the prefix cache.
    """

    run_id: str
    model: str
    version: str
    adapter: str | None
    prompt: str
    prior: tuple[str, ...]
    max_tokens: int
    priority: int
    organisation: str


@dataclasses.dataclass(frozen=True)
class Started:
    """First event of a run."""

    run_id: str
    version: str
    cached_tokens: int = 0
    prompt_tokens: int = 0


@dataclasses.dataclass(frozen=True)
class Token:
    """One token of an answer, at its offset."""

    run_id: str
    offset: int
    token: str


@dataclasses.dataclass(frozen=True)
class Done:
    """The answer is complete and has this number of tokens."""

    run_id: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class RunFailed:
    """The engine ended the run with an error."""

    reason: str


Piece = Started | Token | Done | RunFailed
EVENT_TYPES: dict[str, type] = {
    "start": Started,
    "token": Token,
    "done": Done,
    "error": RunFailed,
}


class EngineError(Exception):
    """Base class of errors of calls to an engine."""


class NotSentError(EngineError):
    """No connection: the engine has not received the request."""


class RefusedError(EngineError):
    """The engine refused to run the request.

    Attributes
    ----------
    status
        HTTP status of the refusal.
    has_other_weights
        Whether the weights that the run needs are not loaded.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.has_other_weights = status == HTTP_CONFLICT


class LostError(EngineError):
    """The connection was closed or went silent; the run may continue."""


class Stream:
    """The events of one run, as they arrive.

    Parameters
    ----------
    response
        Open response whose body is the event stream.
    sock
        Socket of its connection.
    meter
        Bounds what is read from it.
    max_silence_s
        Maximum time between two pieces after the first token, in seconds.
    """

    def __init__(
        self,
        response: urllib3.BaseHTTPResponse,
        sock: socket.socket,
        meter: bounded_reads.Meter,
        max_silence_s: float,
    ) -> None:
        self.response = response
        self.sock = sock
        self.meter = meter
        self.max_silence_s = max_silence_s
        # The library's own loop over chunks does not count them.
        pieces = iter(functools.partial(response.read1, READ_BYTES), b"")
        self.events = sse.read(pieces)

    def limit_silence(self) -> None:
        """Limit the time between two pieces from now on.

        A frozen engine keeps its connections open and sends nothing; only
        this limit distinguishes it from an engine that computes.
        """
        with contextlib.suppress(OSError):
            self.sock.settimeout(self.max_silence_s)

    def __iter__(self) -> typing.Iterator[Piece]:
        """Yield pieces until the stream ends.

        Raises
        ------
        LostError
            If it is truncated, silent for too long or malformed.
        """
        try:
            for event in self.events:
                self.meter.begin(MAX_EVENT_BYTES, self.max_silence_s)
                yield parse_piece(event)
        except (
            urllib3.exceptions.HTTPError,
            sse.TruncatedError,
            msgspec.DecodeError,
            OSError,
        ) as error:
            raise LostError(str(error)) from error

    def close(self) -> None:
        """Close the connection; the run itself continues."""
        self.response.close()
        self.sock.close()


def parse_piece(event: sse.Event) -> Piece:
    """Return the piece of an event, decoded and validated."""
    kind = EVENT_TYPES.get(event.kind)
    if kind is None:
        return RunFailed(f"unknown event {event.kind}")
    return typing.cast("Piece", msgspec.json.decode(event.data, type=kind))


class EngineClient:
    """Starts, resumes and cancels runs at model engines.

    Parameters
    ----------
    max_silence_s
        Maximum time between two pieces, in seconds.
    """

    def __init__(self, max_silence_s: float) -> None:
        self.max_silence_s = max_silence_s
        # No retries by the library: a run whose answer was lost may be
        # running, and only the caller of this class can resolve that.
        self.pool = bounded_http.pool_manager(maxsize=POOL_SIZE, retries=False)

    def start(
        self, address: str, run: RunRequest, first_token_timeout_s: float = 0.0
    ) -> Stream:
        """Start a run.

        Parameters
        ----------
        address
            ``ip:port`` of the engine.
        run
            The run.
        first_token_timeout_s
            Timeout of the first token, in seconds; raised to the maximum
            silence if shorter.

        Raises
        ------
        NotSentError
            If the engine has not received the request.
        RefusedError
            If the engine refused to run the request.
        LostError
            If the run may have started.
        """
        body = msgspec.json.encode(run)
        headers = {"Content-Type": "application/json", "Connection": "close"}
        timeout_s = max(first_token_timeout_s, self.max_silence_s)
        return self.open("POST", address, "/runs", body, headers, timeout_s)

    def resume(self, address: str, run_id: str, offset: int) -> Stream:
        """Reopen a run's stream at ``offset``.

        Raises
        ------
        NotSentError
            If there is no connection to the engine.
        RefusedError
            If the engine refused to send the stream.
        LostError
            If the engine did not answer; the run may continue.
        """
        path = f"/runs/{run_id}?from={offset}"
        headers = {"Connection": "close"}
        stream = self.open(
            "GET", address, path, None, headers, RESUME_TIMEOUT_S
        )
        stream.limit_silence()
        return stream

    def open(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
        timeout_s: float,
    ) -> Stream:
        """Send a request and return its event stream."""
        host, _, port = address.rpartition(":")
        # The engine may close a kept-alive connection while a request is
        # being written, and whether it read the request is unknown.  A new
        # connection has no such race: it either opens or nothing was sent.
        connection = bounded_http.Connection(
            host, int(port), limits=STREAM_LIMITS, timeout=CONNECT_TIMEOUT_S
        )
        try:
            connection.connect()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise NotSentError(str(error)) from error
        sock = connection.sock
        try:
            sock.settimeout(timeout_s)
            connection.timeout = timeout_s
            connection.request(
                method,
                path,
                body=body,
                headers=headers,
                preload_content=False,
                decode_content=False,
            )
            response = connection.getresponse()
        except (
            urllib3.exceptions.HTTPError,
            http.client.HTTPException,
            OSError,
        ) as error:
            connection.close()
            raise LostError(str(error)) from error
        if response.status != HTTP_OK:
            raise response_error(response)
        # A stream is as long as it likes, but its parts are not.
        connection.meter.deadline_s = bounded_reads.UNLIMITED_S
        connection.meter.begin(MAX_EVENT_BYTES, timeout_s)
        return Stream(response, sock, connection.meter, self.max_silence_s)

    def cancel(self, address: str, run_id: str) -> bool:
        """Cancel a run; return whether the engine confirmed it."""
        url = f"http://{address}/runs/{run_id}"
        try:
            response = self.pool.request(
                "DELETE", url, timeout=CANCEL_TIMEOUT_S
            )
        except urllib3.exceptions.HTTPError:
            return False
        return bool(response.status < HTTP_CONFLICT)


def response_error(response: urllib3.BaseHTTPResponse) -> EngineError:
    """Return the error for a response without a stream.

    Only statuses for which the engine's protocol rules out that the run
    started count as refusals; after any other one it may have started.
    """
    status = response.status
    try:
        detail = response.read(READ_BYTES, decode_content=True).decode()
    except urllib3.exceptions.HTTPError as error:
        return LostError(f"the answer {status} is broken: {error}")
    except UnicodeDecodeError:
        detail = ""
    finally:
        response.close()
    if status == HTTP_CONFLICT and is_duplicate(detail):
        return LostError("the engine already knows this run id")
    if status < 500 or status == HTTP_UNAVAILABLE:
        return RefusedError(status, detail)
    return LostError(f"the engine answered {status}: {detail}")


def is_duplicate(detail: str) -> bool:
    """Return whether a 409 response reports a known run id."""
    try:
        return bool(json.loads(detail).get("duplicate"))
    except (ValueError, AttributeError):
        return False
