"""Validates the requests of callers."""

from __future__ import annotations

import dataclasses
import hashlib
import secrets
import typing

import cherrypy
import msgspec

from briarseam import tokens
from briarseam import verdict
from briarseam.entry import problems
from briarseam.entry import server

DIGEST_BYTES = 16
MAX_NAME_LENGTH = 200
DEFAULT_PRIORITY = 5
MAX_PRIOR_TOKENS = 100_000
BEARER = "Bearer "
ANSWER_ID_HEADER = "Answer-Id"
REQUEST_HEADER = "X-Request-Id"
REQUEST_ID_BYTES = 8

Name = typing.Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)
]
OptionalName = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]


class AnswerBody(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Body of ``POST /v1/answers``.

    Attributes
    ----------
    model
        Model that answers the prompt.
    prompt
        The prompt's text.
    max_tokens
        Maximum number of tokens of the answer.
    deadline_ms
        Time in ms within which the first token must arrive to be of use.
    session
        Name that connects the prompts of a session with its kept cache.
    priority
        From 0 (highest) to 9 (lowest).
    idempotent
        Whether the prompt may run again after a failure.
    prior
        With the header ``Answer-Id``: the tokens of that answer which the
        caller has already received, and after which it is continued.
    """

    model: Name
    prompt: typing.Annotated[str, msgspec.Meta(min_length=1)]
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=1, le=100_000)]
    deadline_ms: typing.Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]
    session: OptionalName = ""
    priority: typing.Annotated[int, msgspec.Meta(ge=0, le=9)] = (
        DEFAULT_PRIORITY
    )
    idempotent: bool = True
    prior: typing.Annotated[
        tuple[str, ...], msgspec.Meta(max_length=MAX_PRIOR_TOKENS)
    ] = ()


@dataclasses.dataclass(frozen=True)
class RawRequest:
    """The parts that all requests with a body have.

    Attributes
    ----------
    token_digest
        blake2b-16 hex of the bearer token.
    key
        Idempotency key, empty when absent.
    body
        The request body.
    body_digest
        blake2b-16 of the path and the body.
    """

    token_digest: str
    key: str
    body: bytes
    body_digest: bytes


def assign_request_id() -> str:
    """Assign an id to the current request and return it to the caller.

    Operators find the request on the time line by this id, also if it was
    refused.
    """
    request_id = secrets.token_hex(REQUEST_ID_BYTES)
    cherrypy.response.headers[REQUEST_HEADER] = request_id
    return request_id


def check_framing() -> None:
    """Refuse a request whose framing is ambiguous."""
    problem = cherrypy.request.wsgi_environ.get(server.FRAMING_ENVIRON)
    if problem:
        raise problems.malformed(problem)


def read_token() -> str:
    """Return the digest of the caller's bearer token."""
    value = cherrypy.request.headers.get("Authorization", "")
    token = value.removeprefix(BEARER).strip()
    if not value.startswith(BEARER) or not token:
        raise problems.Problem(
            verdict.NotRun(
                verdict.Reason.UNAUTHENTICATED,
                "Authorization: Bearer TOKEN is missing",
            )
        )
    return tokens.digest(token)


def read_raw(max_body_bytes: int) -> RawRequest:
    """Return the current request's token, key and body.

    Raises
    ------
    problems.Problem
        When the token or length is missing, or the body is ambiguous, too
        large or incomplete.
    """
    check_framing()
    token_digest = read_token()
    headers = cherrypy.request.headers
    length_text = headers.get("Content-Length")
    if length_text is None:
        raise problems.Problem(
            verdict.NotRun(
                verdict.Reason.MALFORMED, "Content-Length is missing"
            ),
            status=411,
        )
    length = int(length_text)
    if length > max_body_bytes:
        raise problems.Problem(
            verdict.NotRun(
                verdict.Reason.TOO_LARGE,
                f"the body is larger than {max_body_bytes} bytes",
            )
        )
    body = cherrypy.request.rfile.read(length) if length else b""
    if len(body) != length:
        raise problems.malformed("the body is shorter than Content-Length")
    return RawRequest(
        token_digest=token_digest,
        key=headers.get("Idempotency-Key", "").strip(),
        body=body,
        body_digest=digest_body(cherrypy.request.path_info, body),
    )


def digest_body(path: str, body: bytes) -> bytes:
    """Return the digest of path and body that a key is bound to."""
    digest = hashlib.blake2b(path.encode(), digest_size=DIGEST_BYTES)
    digest.update(b"\0" + body)
    return digest.digest()


def digest_prompt(tokens: list[str]) -> bytes:
    """Return a prompt's digest, which is independent of its white space."""
    text = " ".join(tokens).encode()
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()


def parse_answer(body: bytes) -> AnswerBody:
    """Return the validated body of ``POST /v1/answers``.

    Raises
    ------
    problems.Problem
        When the body is invalid; the detail names the field and what was
        expected.
    """
    try:
        return msgspec.json.decode(body, type=AnswerBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise problems.malformed(str(error)) from error


def check_json(body: bytes) -> None:
    """Refuse a body that is not JSON."""
    try:
        msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise problems.malformed(str(error)) from error


def read_last_event_id() -> int:
    """Return the offset of the first token that the caller is missing."""
    text = cherrypy.request.headers.get("Last-Event-ID", "")
    if not text:
        return 0
    if not text.isdigit():
        raise problems.malformed("Last-Event-ID is not a token offset")
    return int(text) + 1


def read_continued_answer_id(body: AnswerBody) -> str:
    """Return the id of the answer that a prompt continues, or "".

    Raises
    ------
    problems.Problem
        When the headers and the body contradict each other.
    """
    answer_id = cherrypy.request.headers.get(ANSWER_ID_HEADER, "").strip()
    if bool(answer_id) != bool(body.prior):
        raise problems.malformed("prior and Answer-Id must be sent together")
    if not answer_id:
        return ""
    if not body.idempotent:
        raise problems.malformed("only an idempotent prompt can be continued")
    if len(body.prior) >= body.max_tokens:
        raise problems.malformed("prior already has max_tokens tokens")
    next_offset = read_last_event_id()
    if next_offset and next_offset != len(body.prior):
        raise problems.malformed(
            "Last-Event-ID is not the offset of the last token of prior"
        )
    return str(answer_id)
