"""Telling a caller why it gets no answer, and when to come back."""

from __future__ import annotations

import dataclasses
import typing

from briarseam import verdict
from briarseam.forwarding import outcomes
from briarseam.forwarding import server

# Callers honour this up to a third of the time they have left.  A busy
# endpoint frees a place about as often as it answers, every 20 ms or so;
# much sooner the caller would meet the same queue.
BUSY_RETRY_S = 0.3
# The configuration is read within a second of the store's return.
CONFIGURATION_RETRY_S = 1.0
# About the time after which an endpoint that was lost is off the list.
UNREACHED_RETRY_S = 0.5

# The caller's next connection goes to another instance.
LEAVING_RETRY_S = 0.05
# Losses count for a minute.
CONDEMNED_RETRY_S = 60.0

NO_CONFIGURATION = verdict.NotRun(
    verdict.Reason.NOT_CURRENT,
    "this instance has no configuration yet",
    CONFIGURATION_RETRY_S,
)
LEAVING = verdict.NotRun(
    verdict.Reason.LEAVING,
    "this instance shuts down; others serve",
    LEAVING_RETRY_S,
)
NO_ROUTE = verdict.NotRun(
    verdict.Reason.UNKNOWN_SERVICE, "no route has this host and path"
)
UNKNOWN_KEY = verdict.NotRun(
    verdict.Reason.UNAUTHENTICATED, "the key belongs to no organisation"
)
TOO_LARGE = verdict.NotRun(
    verdict.Reason.TOO_LARGE, "the body is larger than callers may send"
)
BUSY = verdict.NotRun(
    verdict.Reason.OVERLOADED, "the endpoints are busy", BUSY_RETRY_S
)
UNREACHED = verdict.NotRun(
    verdict.Reason.NO_ENDPOINT, "no endpoint is reached", UNREACHED_RETRY_S
)
CONDEMNED = verdict.NotRun(
    verdict.Reason.CONDEMNED,
    "endpoints were lost each time that they ran this request",
    CONDEMNED_RETRY_S,
)
TOO_LATE = verdict.NotRun(
    verdict.Reason.DEADLINE, "no endpoint was asked before the deadline"
)
TIMED_OUT = verdict.MayHaveRun(
    verdict.Reason.DEADLINE, "the endpoint did not answer in time"
)
CUT_OFF = verdict.MayHaveRun(
    verdict.Reason.LEAVING, "this instance ended before the endpoint answered"
)
LOST = verdict.MayHaveRun(
    verdict.Reason.ENDPOINT_LOST, "the endpoint's answer was lost"
)


class MalformedCallError(Exception):
    """A caller's request that can't be understood."""


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A refusal as it goes to the caller.

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
        Returns status, headers and body of a verdict.
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
    """Return the verdict about a request that can't be understood."""
    return verdict.NotRun(verdict.Reason.MALFORMED, detail)


def rejected(outcome: outcomes.Rejected) -> verdict.NotRun:
    """Return the verdict about a request that endpoints did not take."""
    retry_s = outcome.retry_after_s
    return verdict.NotRun(
        verdict.Reason.OVERLOADED,
        "the endpoints take no more requests",
        BUSY_RETRY_S if retry_s is None else retry_s,
    )
