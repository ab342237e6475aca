"""What callers send, validated before anything else sees it."""

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
MAX_NAME = 200
DEFAULT_PRIORITY = 5
MAX_PRIOR = 100_000
BEARER = "Bearer "
CONTINUES_HEADER = "Answer-Id"
REQUEST_HEADER = "X-Request-Id"
REQUEST_NAME_BYTES = 8

Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME)]
OptionalName = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME)]


class AnswerBody(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Body of ``POST /v1/answers``.

    Attributes
    ----------
    model
        Model to ask.
    prompt
        The prompt's text.
    max_tokens
        Most tokens of the answer.
    deadline_ms
        The first token is of no use after this.
    session
        Name by which returning prompts find their kept cache.
    priority
        0 high to 9 low.
    idempotent
        Whether the prompt may run again after a failure.
    prior
        With the header ``Answer-Id``: the tokens that the caller has of
        that answer, which is to be continued.
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
        tuple[str, ...], msgspec.Meta(max_length=MAX_PRIOR)
    ] = ()


@dataclasses.dataclass(frozen=True)
class RawRequest:
    """The parts of a caller's request that every call needs.

    Attributes
    ----------
    token_digest
        blake2b-16 hex of the bearer token.
    key
        Idempotency key, empty when absent.
    body
        The bytes.
    body_digest
        blake2b-16 of them and of the path.
    """

    token_digest: str
    key: str
    body: bytes
    body_digest: bytes


def name_request() -> str:
    """Name the current request and tell the caller its name.

    The caller quotes it to the operators, who find the request by it on
    the time line, also when it was refused.
    """
    name = secrets.token_hex(REQUEST_NAME_BYTES)
    cherrypy.response.headers[REQUEST_HEADER] = name
    return name


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
        When one of them is missing, ambiguous or too large.
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
                f"a body may have {max_body_bytes} bytes",
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
    """Return what a key is bound to: the path and the body."""
    digest = hashlib.blake2b(path.encode(), digest_size=DIGEST_BYTES)
    digest.update(b"\0" + body)
    return digest.digest()


def digest_prompt(tokens: list[str]) -> bytes:
    """Return what a prompt is known by, whatever its white space."""
    text = " ".join(tokens).encode()
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()


def parse_answer(body: bytes) -> AnswerBody:
    """Return the validated body of ``POST /v1/answers``.

    Raises
    ------
    problems.Problem
        With the field and what was expected.
    """
    try:
        return msgspec.json.decode(body, type=AnswerBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise problems.malformed(str(error)) from error


def check_json(body: bytes) -> None:
    """Refuse a body that is no JSON."""
    try:
        msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise problems.malformed(str(error)) from error


def read_last_event_id() -> int:
    """Return the first token offset the caller does not have."""
    text = cherrypy.request.headers.get("Last-Event-ID", "")
    if not text:
        return 0
    if not text.isdigit():
        raise problems.malformed("Last-Event-ID is no token offset")
    return int(text) + 1


def read_continued(body: AnswerBody) -> str:
    """Return the id of the answer that a prompt continues, else nothing.

    Raises
    ------
    problems.Problem
        When header and body do not fit together.
    """
    answer_id = cherrypy.request.headers.get(CONTINUES_HEADER, "").strip()
    if bool(answer_id) != bool(body.prior):
        raise problems.malformed("prior and Answer-Id go together")
    if not answer_id:
        return ""
    if not body.idempotent:
        raise problems.malformed("only an idempotent prompt is continued")
    if len(body.prior) >= body.max_tokens:
        raise problems.malformed("prior has max_tokens tokens already")
    last = read_last_event_id()
    if last and last != len(body.prior):
        raise problems.malformed("Last-Event-ID is not the last of prior")
    return str(answer_id)
