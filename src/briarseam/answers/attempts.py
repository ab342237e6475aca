"""Attempts of an entry's requests with an idempotency key."""

from __future__ import annotations

import dataclasses
import secrets
import typing

from briarseam import verdict
from briarseam.admission import messages

ATTEMPT_BYTES = 16
RETRY_AFTER_S = 1.0

RequestType = typing.TypeVar("RequestType", messages.Admit, messages.AdmitCall)


def with_attempt(request: RequestType) -> RequestType:
    """Return a request with a new attempt name if it has a key."""
    if not request.key:
        return request
    return dataclasses.replace(
        request, attempt=secrets.token_hex(ATTEMPT_BYTES)
    )


def abandoned_message(
    request: messages.Admit | messages.AdmitCall,
) -> messages.AttemptAbandoned:
    """Return the message to the agent that an attempt is never sent."""
    return messages.AttemptAbandoned(
        request.token_digest, request.key, request.attempt
    )


def require_recorded(
    request: messages.Admit | messages.AdmitCall, reply: typing.Any
) -> None:
    """End a request if the agent did not confirm a report.

    The agent assumes that a granted attempt was sent until it is told
    otherwise.  If the report that it was not sent arrived late, after the
    attempt was granted again and sent, the agent would free the key while
    the request runs.  So no other grant may follow an unconfirmed report.

    Raises
    ------
    verdict.RefusalError
        If the request has an attempt and the agent did not confirm.
    """
    if request.attempt and not isinstance(reply, messages.Noted):
        raise verdict.RefusalError(
            verdict.NotRun(
                verdict.Reason.AGENT_UNAVAILABLE,
                "this instance's agent does not answer",
                RETRY_AFTER_S,
            )
        )
