"""Refusals: why a caller gets no answer and when to retry."""

from __future__ import annotations

import dataclasses
import typing

from briarseam import verdict
from briarseam.forwarding import server
from briarseam.forwarding import supervision

# Callers wait this long, up to a third of their remaining time.  A busy
# endpoint frees a slot about every 20 ms, so a caller that retries much
# sooner finds the same queue.
BUSY_RETRY_S = 0.3
# The configuration is read within a second after the store is available
# again.
CONFIGURATION_RETRY_S = 1.0
# About the time until a lost endpoint is removed from the list of endpoints.
UNREACHED_RETRY_S = 0.5

# Records at the store are read within a few milliseconds.
SETTLING_RETRY_S = 0.1
# Short, since the caller's next connection goes to another instance.
LEAVING_RETRY_S = 0.05
# Answers are sent within about this time, which frees what they hold.
BYTES_HELD_RETRY_S = 1.0
# The time for which losses count.
CONDEMNED_RETRY_S = 60.0
# Entries show within seconds whether endpoints have ended.
SUSPECTED_RETRY_S = 1.0

NO_CONFIGURATION = verdict.NotRun(
    verdict.Reason.NOT_CURRENT,
    "this instance has no configuration yet",
    CONFIGURATION_RETRY_S,
)
NOT_SETTLED = verdict.NotRun(
    verdict.Reason.NOT_CURRENT,
    "this instance does not know yet which requests crash endpoints",
    SETTLING_RETRY_S,
)
LEAVING = verdict.NotRun(
    verdict.Reason.LEAVING,
    "this instance is shutting down; others are serving",
    LEAVING_RETRY_S,
)
NO_ROUTE = verdict.NotRun(
    verdict.Reason.UNKNOWN_SERVICE, "no route matches this host and path"
)
UNKNOWN_KEY = verdict.NotRun(
    verdict.Reason.UNAUTHENTICATED,
    "the key does not belong to any organisation",
)
TOO_LARGE = verdict.NotRun(
    verdict.Reason.TOO_LARGE, "the body exceeds the maximum size"
)
BYTES_HELD = verdict.NotRun(
    verdict.Reason.OVERLOADED,
    "this instance holds too much data of other requests",
    BYTES_HELD_RETRY_S,
)
BUSY = verdict.NotRun(
    verdict.Reason.OVERLOADED, "the endpoints are busy", BUSY_RETRY_S
)
REJECTED = verdict.NotRun(
    verdict.Reason.OVERLOADED,
    "the endpoints accept no more requests",
    BUSY_RETRY_S,
)
UNREACHED = verdict.NotRun(
    verdict.Reason.NO_ENDPOINT, "no endpoint is reachable", UNREACHED_RETRY_S
)
NO_INSTANCE = verdict.NotRun(
    verdict.Reason.UNAUTHENTICATED,
    "only instances of this system may use this address",
)
CONDEMNED = verdict.NotRun(
    verdict.Reason.CONDEMNED,
    "endpoints were lost each time they ran this request",
    CONDEMNED_RETRY_S,
)
SUSPECTED = verdict.NotRun(
    verdict.Reason.CONDEMNED,
    "endpoints were lost with this request, maybe for another reason",
    SUSPECTED_RETRY_S,
)
UNKNOWN_ORIGIN = verdict.NotRun(
    verdict.Reason.NO_ENDPOINT,
    "it is not known which software began the stream",
    UNREACHED_RETRY_S,
)
TOO_LATE = verdict.NotRun(
    verdict.Reason.DEADLINE,
    "the deadline passed before an endpoint got the request",
)
TIMED_OUT = verdict.MayHaveRun(
    verdict.Reason.DEADLINE, "the endpoint did not answer in time"
)
CUT_OFF = verdict.MayHaveRun(
    verdict.Reason.LEAVING,
    "this instance stopped before the endpoint answered",
)
LOST = verdict.MayHaveRun(
    verdict.Reason.ENDPOINT_LOST, "the endpoint's answer was lost"
)


class MalformedCallError(Exception):
    """A caller's request that cannot be decoded."""


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A refusal, encoded for the caller.

    Attributes
    ----------
    status
        HTTP status.
    headers
        Headers of the answer.
    body
        A JSON document.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Refusals:
    """Sends verdicts to callers.

    Parameters
    ----------
    encode
        Returns the status, headers and body for a verdict.
    """

    def __init__(
        self, encode: typing.Callable[[verdict.Verdict], Refusal]
    ) -> None:
        self.encode = encode

    def send(
        self, exchange: server.Exchange, final_verdict: verdict.Verdict
    ) -> None:
        """Send a verdict as the final answer."""
        refusal = self.encode(final_verdict)
        exchange.answer(refusal.status, refusal.headers, refusal.body)


def malformed(detail: str) -> verdict.NotRun:
    """Return the verdict on a request that cannot be decoded."""
    return verdict.NotRun(verdict.Reason.MALFORMED, detail)


def busy(retry_after_s: float) -> verdict.NotRun:
    """Return the verdict on a request for which there is no capacity.

    Parameters
    ----------
    retry_after_s
        When there will be, in seconds.
    """
    return dataclasses.replace(BUSY, retry_after_s=retry_after_s)


def not_taken(retry_after_s: float | None) -> verdict.NotRun:
    """Return the verdict on a request that no instance could take.

    Parameters
    ----------
    retry_after_s
        When the last of them advised to retry, in seconds, if it did.
    """
    return verdict.NotRun(
        verdict.Reason.NO_ENDPOINT,
        "no endpoint is reachable, and no other instance takes the request",
        UNREACHED_RETRY_S if retry_after_s is None else retry_after_s,
    )


def verdict_of(
    ending: supervision.Ending, may_have_run: bool
) -> verdict.Verdict:
    """Return the verdict on a request that was ended early."""
    match ending, may_have_run:
        case supervision.Ending.CUT_OFF, True:
            return CUT_OFF
        case supervision.Ending.CUT_OFF, False:
            return LEAVING
        case _, True:
            return TIMED_OUT
        case _:
            return TOO_LATE
