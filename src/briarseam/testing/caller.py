"""A caller of the system, for the demo, the tests and the bench."""

from __future__ import annotations

import dataclasses
import json
import time
import typing

import urllib3

from briarseam.claims import keys
from briarseam.endpoints import sse

CONNECT_TIMEOUT_S = 2.0
READ_BYTES = 65536
HTTP_OK = 200


class CutError(Exception):
    """The connection ended before the answer did."""


@dataclasses.dataclass
class Answer:
    """What a caller got for a prompt.

    Attributes
    ----------
    status
        HTTP status; 0 when no connection could be opened.
    answer_id
        Newest answer id.
    reused_tokens
        Prompt tokens that were not computed again.
    tokens
        Tokens in order.
    done
        Whether the answer is whole.
    problem
        The refusal, or the error that ended the stream.
    headers
        Response headers.
    first_token_s
        Seconds until the first token; -1 when none came.
    gaps_s
        Seconds between tokens.
    head_s
        Seconds until the response's status.
    cut
        Whether the connection ended before the answer did.
    """

    status: int = 0
    answer_id: str = ""
    reused_tokens: int = 0
    tokens: list[str] = dataclasses.field(default_factory=list)
    done: bool = False
    problem: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    first_token_s: float = -1.0
    gaps_s: list[float] = dataclasses.field(default_factory=list)
    head_s: float = 0.0
    cut: bool = False

    @property
    def ran(self) -> str:
        """Return the verdict's word of a refusal, else empty."""
        return str(self.problem.get("ran", ""))


@dataclasses.dataclass(frozen=True)
class CallResult:
    """What a caller got for a service call.

    Attributes
    ----------
    status
        HTTP status; 0 when the connection failed.
    body
        The JSON, a problem document or the service's answer.
    headers
        Response headers.
    """

    status: int
    body: dict[str, typing.Any]
    headers: dict[str, str]


def new_key(now_s: float | None = None) -> str:
    """Return a fresh UUIDv7 made at ``now_s`` seconds since the epoch."""
    milliseconds = int((time.time() if now_s is None else now_s) * 1000)
    return keys.make(milliseconds)


class Caller:
    """One caller's requests, each over a connection of its own.

    Parameters
    ----------
    entry
        ``ip:port``.
    token
        Bearer token.
    silence_s
        Longest wait between two events.
    """

    def __init__(
        self, entry: str, token: str, silence_s: float = 30.0
    ) -> None:
        self.entry = entry
        self.token = token
        self.silence_s = silence_s

    def ask(self, body: dict[str, typing.Any], key: str = "") -> Answer:
        """Send a prompt and take in the whole answer."""
        answer = Answer()
        for _ in self.stream(body, answer, key):
            pass
        return answer

    def stream(
        self, body: dict[str, typing.Any], answer: Answer, key: str = ""
    ) -> typing.Iterator[str]:
        """Send a prompt; yield tokens while ``answer`` fills."""
        headers = {"Idempotency-Key": key} if key else {}
        started = time.monotonic()
        response = self.open(
            "POST", "/v1/answers", json.dumps(body).encode(), headers
        )
        yield from self.follow(response, answer, started)

    def resume(self, answer: Answer) -> Answer:
        """Resume a cut answer; fill it up."""
        headers: dict[str, str] = {}
        if answer.tokens:
            headers["Last-Event-ID"] = str(len(answer.tokens) - 1)
        answer.cut = False
        started = time.monotonic()
        response = self.open(
            "GET", f"/v1/answers/{answer.answer_id}", None, headers
        )
        for _ in self.follow(response, answer, started):
            pass
        return answer

    def follow(
        self,
        response: urllib3.BaseHTTPResponse | None,
        answer: Answer,
        started: float,
    ) -> typing.Iterator[str]:
        """Yield tokens of a response while ``answer`` fills.

        Times count from ``started``, before the request was sent: an entry
        holds its status back until the first token is there.
        """
        if response is None:
            answer.cut = True
            return
        answer.status = response.status
        answer.head_s = time.monotonic() - started
        answer.headers = dict(response.headers)
        try:
            if response.status != HTTP_OK:
                answer.problem = json.loads(response.read())
                return
            last = started
            for event in sse.read(response.stream(READ_BYTES)):
                if event.kind == "token":
                    now = time.monotonic()
                    if answer.first_token_s < 0:
                        answer.first_token_s = now - started
                    else:
                        answer.gaps_s.append(now - last)
                    last = now
                take(event, answer)
                if event.kind == "token":
                    yield answer.tokens[-1]
        except (urllib3.exceptions.HTTPError, sse.TruncatedError, OSError):
            pass
        finally:
            response.close()
        answer.cut = not answer.done and not answer.problem

    def call(
        self,
        service: str,
        call: str,
        body: dict[str, typing.Any],
        key: str = "",
    ) -> CallResult:
        """Call a plain service."""
        headers = {"Idempotency-Key": key} if key else {}
        response = self.open(
            "POST",
            f"/v1/services/{service}/{call}",
            json.dumps(body).encode(),
            headers,
        )
        if response is None:
            return CallResult(0, {}, {})
        try:
            data = json.loads(response.read())
        except (urllib3.exceptions.HTTPError, ValueError):
            return CallResult(0, {}, {})
        finally:
            response.close()
        return CallResult(response.status, data, dict(response.headers))

    def open(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
    ) -> urllib3.BaseHTTPResponse | None:
        """Send a request; ``None`` when the connection failed."""
        host, _, port = self.entry.rpartition(":")
        pool = urllib3.HTTPConnectionPool(
            host,
            int(port),
            maxsize=1,
            retries=False,
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT_S, read=self.silence_s
            ),
        )
        try:
            return pool.urlopen(
                method,
                path,
                body=body,
                headers={
                    "Authorization": f"Bearer {self.token}",
                    "Connection": "close",
                    **headers,
                },
                redirect=False,
                preload_content=False,
            )
        except urllib3.exceptions.HTTPError:
            return None


def take(event: sse.Event, answer: Answer) -> None:
    """Take one event into an answer."""
    data = json.loads(event.data)
    match event.kind:
        case "answer":
            answer.answer_id = data["answer_id"]
            answer.reused_tokens = data.get("reused_tokens", 0)
        case "token":
            if int(event.id) != len(answer.tokens):
                raise sse.TruncatedError("a token is missing or doubled")
            answer.tokens.append(data["token"])
        case "done":
            answer.done = data["tokens"] == len(answer.tokens)
        case "error":
            answer.problem = data
