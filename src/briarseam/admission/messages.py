"""Messages between an entry and its agent about one request."""

from __future__ import annotations

import dataclasses
import enum

from briarseam import verdict
from briarseam.wire import codec


@codec.message("admit")
@dataclasses.dataclass(frozen=True)
class Admit:
    """Ask whether a prompt may run, and where.

    Attributes
    ----------
    token_digest
        blake2b-16 hex of the caller's bearer token.
    model
        Model asked for.
    session
        The caller's session name, may be empty.
    chain
        Chain digests of the prompt's whole pieces, see
        ``briarseam.cache.pieces``.
    prompt_tokens
        Length of the prompt.
    max_tokens
        Most tokens of the answer.
    priority
        0 high to 9 low.
    deadline_ms
        The caller wants its first token within this.
    idempotent
        Whether the prompt may run again.
    key
        Idempotency key; empty for idempotent prompts.
    body_digest
        blake2b-16 of the request body, to tell a reused key.
    continues
        Answer id of a run that was lost, when this asks for its
        continuation; else empty.
    passed_on
        Tokens of that answer the caller already has.
    lost
        Endpoints that were lost while running this request, or did not
        start it.
    refused
        Those of ``lost`` that refused it: they live and may take it later.
    attempt
        Fresh name that the entry gives its try of a request with a key;
        the same again when the endpoint of a grant did not start it.
    request
        Name of the caller's request on the time line; the same for all
        its tries.
    prompt_digest
        blake2b-16 of the prompt's tokens; names what crashes endpoints.
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
    attempt: str = ""
    request: str = ""
    prompt_digest: bytes = b""


@codec.message("admit-call")
@dataclasses.dataclass(frozen=True)
class AdmitCall:
    """Ask whether a call to a plain service may run, and where.

    Attributes
    ----------
    token_digest, key, body_digest, deadline_ms, lost, attempt, request
        As in :class:`Admit`; the key is empty for idempotent calls
        without one.
    service, call
        What is called.
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
    """Send the request to this endpoint now.

    Attributes
    ----------
    run_id
        Fresh name of this run at the endpoint.
    answer_id
        Authenticated token by which any entry resumes the answer; empty
        for service calls.
    attempt
        Claim attempt to settle at the end; empty without a claim.
    organisation
        The caller's organisation.
    endpoint, address
        Where to send it.
    version, adapter
        Weight version and adapter the run must use.
    priority
        Priority after the organisation's limit.
    salt
        Cache salt of the organisation at the endpoint.
    timeout_ms
        Bound on the wait for the endpoint's first byte.
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
    """The request gets this final answer, at once.

    Attributes
    ----------
    ran
        ``"no"``, ``"yes"`` or ``"unknown"``.
    reason
        Value of :class:`briarseam.verdict.Reason`.
    detail
        One sentence for the caller.
    retry_after_s
        When to ask again; ``None`` when never.
    """

    ran: str
    reason: str
    detail: str
    retry_after_s: float | None


@codec.message("replayed")
@dataclasses.dataclass(frozen=True)
class Replayed:
    """The key's request ran before; this was its outcome.

    Attributes
    ----------
    status
        HTTP status of the first answer.
    body
        Its body as far as it was kept.
    whole
        Whether ``body`` is all of it.
    answer_id
        Answer id of the first run, for prompts.
    ran
        ``"yes"``, or ``"unknown"`` when only its endpoint may tell.
    """

    status: int
    body: bytes
    whole: bool
    answer_id: str
    ran: str = "yes"


class RunResult(enum.StrEnum):
    """How a granted run ended, as its entry saw it."""

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
        Prompt tokens the endpoint did not compute again.
    first_token_ms
        From the entry's accept to the first token.
    """

    run_id: str
    cached_tokens: int
    first_token_ms: float


@codec.message("run-ended")
@dataclasses.dataclass(frozen=True)
class RunEnded:
    """A granted run is over; its entry reports once.

    Attributes
    ----------
    run_id, attempt, endpoint
        As granted.
    result
        How it ended.
    tokens
        Tokens passed on.
    status
        HTTP status given to the caller, for replays.
    body
        What a replay should return, capped by the entry.
    whole
        Whether ``body`` is all of it.
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
        """Tell whether this ends an attempt for good."""
        unsent = (RunResult.NOT_SENT, RunResult.REFUSED)
        return bool(self.attempt) and self.result not in unsent


@codec.message("attempt-abandoned")
@dataclasses.dataclass(frozen=True)
class AttemptAbandoned:
    """The entry got no reply about an attempt and will never send it.

    Attributes
    ----------
    token_digest, key, attempt
        As in the message that was not answered.
    """

    token_digest: str
    key: str
    attempt: str


@codec.message("noted")
@dataclasses.dataclass(frozen=True)
class Noted:
    """Reply that carries nothing but that the message was taken in."""


@codec.message("locate")
@dataclasses.dataclass(frozen=True)
class Locate:
    """Ask where the answer with this id runs."""

    token_digest: str
    answer_id: str


@codec.message("located")
@dataclasses.dataclass(frozen=True)
class Located:
    """The run behind an answer id.

    Attributes
    ----------
    organisation, run_id, endpoint, address, model, version
        The run, where and of what.
    generation
        Number of this resume; -1 when nobody could count it.
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
    """Tell an answer's home agent that it is being resumed."""

    run_id: str


@codec.message("resume-counted")
@dataclasses.dataclass(frozen=True)
class ResumeCounted:
    """The resume's number; ``None`` when the run was given up before."""

    generation: int | None


@codec.message("may-cancel")
@dataclasses.dataclass(frozen=True)
class MayCancel:
    """Ask whether a run may be cancelled as nobody reads its answer.

    Attributes
    ----------
    answer_id
        The answer.
    generation
        Of the resume whose caller went away; 0 for the first request.
    """

    answer_id: str
    generation: int


@codec.message("cancel-answered")
@dataclasses.dataclass(frozen=True)
class CancelAnswered:
    """Whether it may; then it can't be resumed any more."""

    allowed: bool


def refused(given: verdict.Verdict) -> Refused:
    """Return the message that carries a verdict to the entry."""
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
