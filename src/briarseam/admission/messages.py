"""Messages between an entry and its agent about one request."""

from __future__ import annotations

import dataclasses
import enum

from briarseam import verdict
from briarseam.wire import codec


@codec.message("admit")
@dataclasses.dataclass(frozen=True)
class Admit:
    """Request to run a prompt.

    Attributes
    ----------
    token_digest
        blake2b-16 of the caller's bearer token, in hexadecimal.
    model
        The requested model.
    session
        The caller's session name; may be empty.
    chain
        Chain digests of the prompt's complete pieces, see
        ``briarseam.cache.pieces``.
    prompt_tokens
        Length of the prompt.
    max_tokens
        Limit on the tokens of the answer.
    priority
        0 (high) to 9 (low).
    deadline_ms
        Time within which the caller needs its first token.
    idempotent
        Whether the prompt may run more than once.
    key
        Idempotency key; empty for idempotent prompts.
    body_digest
        blake2b-16 of the request body, to detect a reused key.
    continues
        Answer id of a lost run that this request continues; else empty.
    passed_on
        Tokens of that answer that the caller already has.
    lost
        Endpoints that were lost while running this request, or did not
        start it.
    refused
        Those of ``lost`` that refused it: they are alive and may take it
        later.
    reloaded
        Those of ``refused`` that had other weights than the grant.
    attempt
        New name that the entry gives its try of a request with a key; the
        same is sent again when the granted endpoint did not start it.
    request
        Name of the caller's request on the time line; the same for all
        tries.
    prompt_digest
        blake2b-16 of the prompt's tokens, by which the crash guard
        identifies it.
    """

    token_digest: str
    model: str
    session: str
    chain: tuple[bytes, ...]
    prompt_tokens: int
    max_tokens: int
    priority: int
    deadline_ms: int
    idempotent: bool = True
    key: str = ""
    body_digest: bytes = b""
    continues: str = ""
    passed_on: int = 0
    lost: tuple[str, ...] = ()
    refused: tuple[str, ...] = ()
    reloaded: tuple[str, ...] = ()
    attempt: str = ""
    request: str = ""
    prompt_digest: bytes = b""


@codec.message("admit-call")
@dataclasses.dataclass(frozen=True)
class AdmitCall:
    """Request to run a call to a plain service.

    Attributes
    ----------
    token_digest, key, body_digest, deadline_ms, lost, attempt, request
        As in :class:`Admit`; the key may be empty for idempotent calls.
    service, call
        The service and the call.
    """

    token_digest: str
    service: str
    call: str
    key: str
    body_digest: bytes
    deadline_ms: int
    lost: tuple[str, ...] = ()
    attempt: str = ""
    request: str = ""


@codec.message("granted")
@dataclasses.dataclass(frozen=True)
class Granted:
    """The request may run: the entry sends it to this endpoint at once.

    Attributes
    ----------
    run_id
        New id of the run at the endpoint.
    answer_id
        Authenticated token with which any entry resumes the answer; empty
        for service calls.
    attempt
        Claim attempt to settle at the end; empty without a claim.
    organisation
        The caller's organisation.
    endpoint, address
        Name and address of the endpoint.
    version, adapter
        Weight version and adapter that the run must use.
    priority
        Priority, bounded by the organisation's.
    salt
        Cache salt of the organisation at the endpoint.
    timeout_ms
        Timeout for the endpoint's first byte.
    """

    run_id: str
    answer_id: str
    attempt: str
    organisation: str
    endpoint: str
    address: str
    version: str = ""
    adapter: str = ""
    priority: int = 5
    salt: str = ""
    timeout_ms: int = 30000


@codec.message("refused")
@dataclasses.dataclass(frozen=True)
class Refused:
    """The request is refused with this verdict.

    Attributes
    ----------
    ran
        ``"no"``, ``"yes"`` or ``"unknown"``.
    reason
        Value of :class:`briarseam.verdict.Reason`.
    detail
        One sentence for the caller.
    retry_after_s
        Seconds after which to retry; ``None`` for never.
    """

    ran: str
    reason: str
    detail: str
    retry_after_s: float | None


@codec.message("replayed")
@dataclasses.dataclass(frozen=True)
class Replayed:
    """The key's request ran before with this outcome.

    Attributes
    ----------
    status
        HTTP status of the first answer.
    body
        Body of the first answer, as far as it was kept.
    whole
        Whether ``body`` is complete.
    answer_id
        Answer id of the first run, for prompts.
    ran
        ``"yes"``, or ``"unknown"`` when only the endpoint may know the
        outcome.
    """

    status: int
    body: bytes
    whole: bool
    answer_id: str
    ran: str = "yes"


class RunResult(enum.StrEnum):
    """Result of a granted run, as reported by its entry."""

    DONE = "done"
    NOT_SENT = "not-sent"
    REFUSED = "refused"
    LOST_BEFORE_FIRST = "lost-before-first"
    LOST_AFTER_FIRST = "lost-after-first"
    CANCELLED = "cancelled"


@codec.message("run-started")
@dataclasses.dataclass(frozen=True)
class RunStarted:
    """The endpoint has begun to answer.

    Attributes
    ----------
    run_id
        The run.
    cached_tokens
        Prompt tokens that the endpoint reused from its cache.
    first_token_ms
        Time from the entry's accept to the first token.
    """

    run_id: str
    cached_tokens: int
    first_token_ms: float


@codec.message("run-ended")
@dataclasses.dataclass(frozen=True)
class RunEnded:
    """The entry's report of the end of a granted run.

    Attributes
    ----------
    run_id, attempt, endpoint
        As granted.
    result
        Result of the run.
    tokens
        Tokens passed on to the caller.
    status
        HTTP status sent to the caller, for replays.
    body
        Body for replays, truncated by the entry.
    whole
        Whether ``body`` is complete.
    organisation, key
        What the attempt claimed; empty without an attempt.
    answer_id
        As granted.
    """

    run_id: str
    attempt: str
    endpoint: str
    result: RunResult
    tokens: int = 0
    status: int = 200
    body: bytes = b""
    whole: bool = True
    organisation: str = ""
    key: str = ""
    answer_id: str = ""

    def is_final(self) -> bool:
        """Return whether the attempt has ended and can't be sent again."""
        unsent = (RunResult.NOT_SENT, RunResult.REFUSED)
        return bool(self.attempt) and self.result not in unsent


@codec.message("attempt-abandoned")
@dataclasses.dataclass(frozen=True)
class AttemptAbandoned:
    """The entry received no reply for an attempt and will never send it.

    Attributes
    ----------
    token_digest, key, attempt
        As in the message without a reply.
    """

    token_digest: str
    key: str
    attempt: str


@codec.message("noted")
@dataclasses.dataclass(frozen=True)
class Noted:
    """Acknowledgement of a message, without content."""


@codec.message("locate")
@dataclasses.dataclass(frozen=True)
class Locate:
    """Query for the run of the answer with this id."""

    token_digest: str
    answer_id: str


@codec.message("located")
@dataclasses.dataclass(frozen=True)
class Located:
    """The run of an answer id.

    Attributes
    ----------
    organisation, run_id, endpoint, address, model, version
        The run with its organisation, endpoint, model and weight version.
    generation
        Number of this resume; -1 when the home agent did not count it.
    """

    organisation: str
    run_id: str
    endpoint: str
    address: str
    model: str
    version: str
    generation: int = 0


@codec.message("resumed")
@dataclasses.dataclass(frozen=True)
class Resumed:
    """Report of a resume to the answer's home agent."""

    run_id: str


@codec.message("resume-counted")
@dataclasses.dataclass(frozen=True)
class ResumeCounted:
    """The resume's number; ``None`` when the run was cancelled before."""

    generation: int | None


@codec.message("may-cancel")
@dataclasses.dataclass(frozen=True)
class MayCancel:
    """Query whether a run without a reader may be cancelled.

    Attributes
    ----------
    answer_id
        The answer.
    generation
        Number of the resume whose caller disconnected; 0 for the first
        request.
    """

    answer_id: str
    generation: int


@codec.message("cancel-answered")
@dataclasses.dataclass(frozen=True)
class CancelAnswered:
    """Whether the run may be cancelled; if so, it can't be resumed."""

    allowed: bool


def refusal_message(given: verdict.Verdict) -> Refused:
    """Return the message that carries a verdict to an entry."""
    return Refused(
        ran=verdict.ran_word(given),
        reason=given.reason.value,
        detail=given.detail,
        retry_after_s=given.retry_after_s,
    )


def verdict_of(message: Refused) -> verdict.Verdict:
    """Return the verdict that a message carries."""
    reason = verdict.Reason(message.reason)
    kind: type[verdict.NotRun | verdict.Ran | verdict.MayHaveRun]
    match message.ran:
        case "no":
            kind = verdict.NotRun
        case "yes":
            kind = verdict.Ran
        case _:
            kind = verdict.MayHaveRun
    return kind(reason, message.detail, message.retry_after_s)
