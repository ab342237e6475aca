"""The model engine, seen by an entry: start, resume and cancel runs.

One small adapter, so that another engine's protocol changes this module
only.  The outcomes say what the engine can have done with the request.
"""

from __future__ import annotations

import contextlib
import dataclasses
import http.client
import json
import typing

import msgspec
import urllib3
from urllib3 import connection as urllib3_connection

from briarseam.endpoints import sse

if typing.TYPE_CHECKING:
    import socket

CONNECT_TIMEOUT_S = 1.0
CANCEL_TIMEOUT_S = 2.0
# An engine that has a run answers the status line of its stream at once.
RESUME_TIMEOUT_S = 1.0
POOL_SIZE = 256
READ_BYTES = 65536
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
        Fresh for every run; the engine refuses one it has seen.
    model, version, adapter
        What must be loaded; no adapter is ``None``.
    prompt
        The prompt's text.
    prior
        Tokens of the answer that the caller has already.
    max_tokens
        Most tokens of the whole answer.
    priority
        0 high to 9 low.
    organisation
        Cache salt.
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
    """The answer is whole and has this many tokens."""

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
    """Base of what can go wrong with an engine."""


class NotSentError(EngineError):
    """No connection: the engine has certainly not got the request."""


class RefusedError(EngineError):
    """The engine answered that it will not run the request.

    Attributes
    ----------
    status
        HTTP status of the refusal.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class LostError(EngineError):
    """The connection ended or fell silent; the run may go on."""


class Stream:
    """The events of one run, as they arrive.

    Parameters
    ----------
    response
        Open response whose body is the event stream.
    sock
        Its connection's socket.
    silence_s
        Longest wait between two pieces once the answer has begun.
    """

    def __init__(
        self,
        response: urllib3.BaseHTTPResponse,
        sock: socket.socket,
        max_silence_s: float,
    ) -> None:
        self.response = response
        self.sock = sock
        self.max_silence_s = max_silence_s
        self.events = sse.read(response.stream(READ_BYTES))

    def limit_silence(self) -> None:
        """Bound the silence from now on.

        A frozen engine keeps its connections open and sends nothing; only
        this bound tells it from one that computes.
        """
        with contextlib.suppress(OSError):
            self.sock.settimeout(self.max_silence_s)

    def __iter__(self) -> typing.Iterator[Piece]:
        """Yield pieces until the stream ends.

        Raises
        ------
        LostError
            When it is cut, silent too long, or not understood.
        """
        try:
            for event in self.events:
                yield parse_piece(event)
        except (
            urllib3.exceptions.HTTPError,
            sse.TruncatedError,
            msgspec.DecodeError,
            OSError,
        ) as error:
            raise LostError(str(error)) from error

    def close(self) -> None:
        """Drop the connection; the run itself goes on."""
        self.response.close()
        self.sock.close()


def parse_piece(event: sse.Event) -> Piece:
    """Return the validated piece of an event."""
    kind = EVENT_TYPES.get(event.kind)
    if kind is None:
        return RunFailed(f"unknown event {event.kind}")
    return typing.cast("Piece", msgspec.json.decode(event.data, type=kind))


class EngineClient:
    """Starts, resumes and cancels runs at model engines.

    Parameters
    ----------
    silence_s
        Longest wait between two pieces.
    """

    def __init__(self, max_silence_s: float) -> None:
        self.max_silence_s = max_silence_s
        # Library retries stay off: a run whose answer was lost may be
        # running, and only the caller of this class can settle that.
        self.pool = urllib3.PoolManager(maxsize=POOL_SIZE, retries=False)

    def start(
        self, address: str, run: RunRequest, first_token_timeout_s: float = 0.0
    ) -> Stream:
        """Start a run.

        Parameters
        ----------
        address
            ``ip:port`` of the engine.
        run
            What to run.
        first_s
            Longest wait for the first token, in seconds; at least the
            longest silence.

        Raises
        ------
        NotSentError, RefusedError, LostError
            See each.
        """
        body = msgspec.json.encode(run)
        headers = {"Content-Type": "application/json", "Connection": "close"}
        timeout_s = max(first_token_timeout_s, self.max_silence_s)
        return self.open("POST", address, "/runs", body, headers, timeout_s)

    def resume(self, address: str, run_id: str, offset: int) -> Stream:
        """Read a run's stream again from ``offset``.

        Raises
        ------
        NotSentError, RefusedError, LostError
            See each.
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
        # A kept-alive connection can be closed by the engine just as the
        # request is written; whether it was read nobody can tell.  A fresh
        # connection has no such race: it either opens or nothing was sent.
        connection = urllib3_connection.HTTPConnection(
            host, int(port), timeout=CONNECT_TIMEOUT_S
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
        return Stream(response, sock, self.max_silence_s)

    def cancel(self, address: str, run_id: str) -> bool:
        """Cancel a run; tell whether the engine confirmed it."""
        url = f"http://{address}/runs/{run_id}"
        try:
            response = self.pool.request(
                "DELETE", url, timeout=CANCEL_TIMEOUT_S
            )
        except urllib3.exceptions.HTTPError:
            return False
        return bool(response.status < HTTP_CONFLICT)


def response_error(response: urllib3.BaseHTTPResponse) -> EngineError:
    """Return the error for an answer that is no stream.

    Only statuses that the engine's protocol defines as "starts nothing"
    count as refused; any other leaves it open whether the run started.
    """
    try:
        detail = response.read(READ_BYTES, decode_content=True).decode()
    except (urllib3.exceptions.HTTPError, UnicodeDecodeError):
        detail = ""
    response.close()
    status = response.status
    if status == HTTP_CONFLICT and is_duplicate(detail):
        return LostError("the engine has seen this run id")
    if status < 500 or status == HTTP_UNAVAILABLE:
        return RefusedError(status, detail)
    return LostError(f"the engine answered {status}: {detail}")


def is_duplicate(detail: str) -> bool:
    """Tell whether a 409 says that the run id was seen before."""
    try:
        return bool(json.loads(detail).get("duplicate"))
    except (ValueError, AttributeError):
        return False
