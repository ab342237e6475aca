"""One request under way, and what answering it needs."""

from __future__ import annotations

import dataclasses
import typing

from briarseam import clocks
from briarseam import verdict
from briarseam.forwarding import attempts
from briarseam.forwarding import outcomes
from briarseam.placement import chooser as choosers
from briarseam.placement import requests as placements
from briarseam.routes import table as tables

if typing.TYPE_CHECKING:
    from briarseam import inflight
    from briarseam.forwarding import calls
    from briarseam.forwarding import crash_guard
    from briarseam.forwarding import refusing
    from briarseam.forwarding import retry_budget
    from briarseam.forwarding import server
    from briarseam.forwarding import shutdown as shutdowns
    from briarseam.forwarding import supervision
    from briarseam.metrics import instruments
    from briarseam.metrics import labels
    from briarseam.routes import model as routes


class CallCodec(typing.Protocol):
    """Decodes and encodes what crosses the border of the system."""

    def decode_call(
        self, method: str, target: str, headers: server.Headers
    ) -> calls.Call:
        """Return a caller's request; raises ``MalformedError``."""

    def encode_headers(
        self, call: calls.Call, instructions: calls.Instructions
    ) -> dict[str, str]:
        """Return the headers for an endpoint."""


@dataclasses.dataclass(frozen=True)
class Metrics:
    """What forwarding counts and measures.

    Attributes
    ----------
    answers
        Requests by outcome and status.
    sends
        Sends to endpoints by outcome.
    first_event_us, whole_us
        Time to a stream's first event, and to a whole answer.
    """

    answers: labels.Family[instruments.Counter]
    sends: labels.Family[instruments.Counter]
    first_event_us: instruments.Latency
    answer_us: instruments.Latency


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """What forwarding needs.

    Attributes
    ----------
    table
        Returns the configuration in force; ``None`` before the first.
    codec
        Decodes and encodes.
    refusals
        Tells callers why they get no answer.
    chooser
        Chooses endpoints.
    sender
        Sends to endpoints.
    guard
        Knows requests that crash endpoints.
    supervisor
        Ends requests in time.
    budget
        Bounds sends to second endpoints.
    in_flight
        Counts requests, and says whether they are refused.
    shutdown
        What this process still takes on while it shuts down.
    metrics
        What is counted.
    """

    table: typing.Callable[[], tables.RouteTable | None]
    codec: CallCodec
    refusals: refusing.Refusals
    chooser: choosers.Chooser
    sender: attempts.Sender
    guard: crash_guard.CrashGuard
    supervisor: supervision.Supervisor
    budget: retry_budget.RetryBudget
    in_flight: inflight.InFlight
    shutdown: shutdowns.Shutdown
    metrics: Metrics


@dataclasses.dataclass
class Context:
    """One request under way.

    Attributes
    ----------
    exchange, call, body
        What was asked.
    route, service, caller
        What the configuration says about it.
    configuration
        Version that it is handled by.
    watch
        Ends it early.
    digest
        Equal for repeats of the same request.
    arrived_s
        When its headers had come, by the boot clock.
    progress
        What the caller has already.
    tried
        Endpoints that it was sent to.
    steps
        What became of it at each, for the log line.
    sends
        How often it was sent.
    may_have_run
        Whether an endpoint may have run it.
    refusal
        Why it has no answer, as far as it has not run.
    failed
        The last failure that an endpoint answered with.
    """

    exchange: server.Exchange
    call: calls.Call
    body: bytes
    route: routes.Route
    service: routes.Service
    caller: tables.Caller
    configuration: int
    watch: supervision.Watch
    digest: bytes
    arrived_s: float
    progress: attempts.Progress = dataclasses.field(
        default_factory=attempts.Progress
    )
    tried: set[str] = dataclasses.field(default_factory=set)
    steps: list[str] = dataclasses.field(default_factory=list)
    sends: int = 0
    may_have_run: bool = False
    refusal: verdict.Verdict | None = None
    failed: outcomes.Failed | None = None

    def request(self) -> placements.Request:
        """Return what is to be placed."""
        organisation = None
        if isinstance(self.caller, tables.Known):
            organisation = self.caller.organisation
        return placements.Request(
            self.call,
            self.route,
            self.service,
            organisation,
            self.arrived_s + self.route.target_latency_s - clocks.boot_clock(),
            frozenset(self.tried),
            self.progress.events_sent,
        )

    def log_fields(self) -> dict[str, int]:
        """Return how large its prompt is, for the log."""
        if self.call.prompt is None:
            return {}
        return {"memory_tokens": placements.memory_of(self.call.prompt)}


def may_retry(context: Context) -> bool:
    """Tell whether a request may go to another endpoint."""
    if context.may_have_run and not context.route.idempotent:
        return False
    if context.progress.events_sent and not context.route.resumable:
        return False
    return context.sends < context.route.max_endpoints
