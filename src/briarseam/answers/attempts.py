"""Names for an entry's tries of requests with an idempotency key."""

from __future__ import annotations

import dataclasses
import secrets
import typing

from briarseam import verdict
from briarseam.admission import messages

ATTEMPT_BYTES = 16
RETRY_AFTER_S = 1.0

RequestType = typing.TypeVar("RequestType", messages.Admit, messages.AdmitCall)


def named(request: RequestType) -> RequestType:
    """Return a request with a fresh attempt if it has a key."""
    if not request.key:
        return request
    return dataclasses.replace(
        request, attempt=secrets.token_hex(ATTEMPT_BYTES)
    )


def abandoned_message(
    request: messages.Admit | messages.AdmitCall,
) -> messages.AttemptAbandoned:
    """Return the message that an attempt will never be sent."""
    return messages.AttemptAbandoned(
        request.token_digest, request.key, request.attempt
    )


def check_told(
    request: messages.Admit | messages.AdmitCall, reply: typing.Any
) -> None:
    """End a request whose agent was not reached before it asks again.

    The agent counts a granted attempt as sent until it hears otherwise.
    Were the word that it was not sent to arrive late, after the attempt
    was granted again and sent, the agent would free the key under it.

    Raises
    ------
    verdict.RefusalError
        When an attempt is named and the reply is missing.
    """
    if request.attempt and not isinstance(reply, messages.Noted):
        raise verdict.RefusalError(
            verdict.NotRun(
                verdict.Reason.AGENT_UNAVAILABLE,
                "this instance's agent does not answer",
                RETRY_AFTER_S,
            )
        )
