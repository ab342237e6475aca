"""Whether a request may have run: the answer every error carries.

The three verdicts are the whole vocabulary.  ``NotRun`` is a promise: the
request reached no endpoint and never will under this attempt, so asking
again is safe.  ``Ran`` says that it took effect.  ``MayHaveRun`` says that
nobody can know any more.
"""

from __future__ import annotations

import dataclasses
import enum


class Reason(enum.StrEnum):
    """Why a request did not get its answer; part of the caller interface."""

    MALFORMED = "malformed"
    UNAUTHENTICATED = "unauthenticated"
    TOO_LARGE = "too-large"
    UNKNOWN_MODEL = "unknown-model"
    UNKNOWN_SERVICE = "unknown-service"
    KEY_INVALID = "key-invalid"
    KEY_EXPIRED = "key-expired"
    KEY_REUSED = "key-reused"
    IN_PROGRESS = "in-progress"
    THROTTLED = "throttled"
    DEADLINE = "deadline"
    NO_ENDPOINT = "no-endpoint"
    NOT_CURRENT = "not-current"
    LOG_UNAVAILABLE = "log-unavailable"
    AGENT_UNAVAILABLE = "agent-unavailable"
    OVERLOADED = "overloaded"
    CONDEMNED = "condemned"
    ENDPOINT_LOST = "endpoint-lost"
    ENDPOINT_REFUSED = "endpoint-refused"
    OUTCOME_UNKNOWN = "outcome-unknown"
    VERSION_GONE = "version-gone"
    ANSWER_GONE = "answer-gone"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The request did not run and will not under this attempt.

    Attributes
    ----------
    reason
        Why it was refused.
    detail
        One sentence for the caller.
    retry_after_s
        Seconds after which asking again makes sense; ``None`` when asking
        the same again can never succeed.
    """

    reason: Reason
    detail: str = ""
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True)
class Ran:
    """The request took effect, though its answer may be incomplete.

    Attributes
    ----------
    reason
        Why the caller does not get the usual answer.
    detail
        One sentence for the caller.
    retry_after_s
        Seconds after which the outcome may be had; ``None`` when never.
    """

    reason: Reason
    detail: str = ""
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True)
class MayHaveRun:
    """Nobody can know whether the request took effect.

    Attributes
    ----------
    reason
        What was lost.
    detail
        One sentence for the caller.
    retry_after_s
        Seconds after which the outcome may be known; ``None`` when never.
    """

    reason: Reason
    detail: str = ""
    retry_after_s: float | None = None


Verdict = NotRun | Ran | MayHaveRun


def ran_word(verdict: Verdict) -> str:
    """Return the caller interface's word for a verdict.

    Parameters
    ----------
    verdict
        The verdict to name.

    Returns
    -------
    str
        ``"no"``, ``"yes"`` or ``"unknown"``.
    """
    match verdict:
        case NotRun():
            return "no"
        case Ran():
            return "yes"
        case MayHaveRun():
            return "unknown"


class RefusalError(Exception):
    """Ends a request with a verdict in place of its answer.

    Attributes
    ----------
    given
        The verdict.
    """

    def __init__(self, given: Verdict) -> None:
        super().__init__(given.detail)
        self.given = given
