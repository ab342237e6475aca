"""Context of a request, and the dependencies of forwarding."""

from __future__ import annotations

import dataclasses
import typing

from briarseam import bounded_reads
from briarseam import clocks
from briarseam import transfers
from briarseam import verdict
from briarseam.forwarding import answer_limits
from briarseam.forwarding import attempts
from briarseam.forwarding import outcomes
from briarseam.forwarding import streams
from briarseam.placement import chooser as choosers
from briarseam.placement import requests as placements
from briarseam.routes import table as tables

if typing.TYPE_CHECKING:
    from briarseam import inflight
    from briarseam.forwarding import calls
    from briarseam.forwarding import crash_checks
    from briarseam.forwarding import refusing
    from briarseam.forwarding import relay_headers
    from briarseam.forwarding import retry_budget
    from briarseam.forwarding import server
    from briarseam.forwarding import shutdown as shutdowns
    from briarseam.forwarding import stream_origins
    from briarseam.forwarding import supervision
    from briarseam.metrics import instruments
    from briarseam.metrics import labels
    from briarseam.placement import loads
    from briarseam.queueing import service as queueing
    from briarseam.routes import model as routes


class CallCodec(typing.Protocol):
    """Decodes callers' requests and encodes requests to endpoints."""

    def decode_call(
        self, method: str, target: str, headers: server.Headers
    ) -> calls.Call:
        """Return a caller's request; raises ``MalformedCallError``."""

    def encode_headers(
        self, call: calls.Call, instructions: calls.Instructions
    ) -> dict[str, str]:
        """Return the headers for an endpoint."""


class Relays(typing.Protocol):
    """Passes requests on to other instances."""

    def relay(self, context: Context) -> outcomes.Outcome:
        """Have another instance answer a request."""

    def decode_usage(
        self, call: calls.Call, headers: server.Headers
    ) -> relay_headers.Usage | None:
        """Return what a request has used up that an instance passed on.

        ``None`` unless an instance of this system has sent it.
        """


@dataclasses.dataclass(frozen=True)
class Metrics:
    """Metrics of forwarding.

    Attributes
    ----------
    answers
        Counts requests by result.
    sends
        Counts attempts by outcome.
    body_transfers
        Counts answers of endpoints by framing and end.
    first_event_us, answer_us
        Time until a stream's first event, and until the end of a request.
    """

    answers: labels.Family[instruments.Counter]
    sends: labels.Family[instruments.Counter]
    body_transfers: labels.Family[instruments.Counter]
    first_event_us: instruments.Latency
    answer_us: instruments.Latency

    def record_send(
        self, outcome: outcomes.Outcome | None, transfer: transfers.Transfer
    ) -> None:
        """Count a send, and its answer if one has ended."""
        self.sends.labelled(outcomes.name_of(outcome)).add()
        if transfer.end is not None and (
            transfer.framing is not None
            or transfer.end in transfers.ENDED_BY_READER
        ):
            framing = transfer.framing or "none"
            self.body_transfers.labelled(framing, transfer.end).add()


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Dependencies of forwarding.

    Attributes
    ----------
    table
        Returns the current configuration; ``None`` before the first one.
    codec
        Decodes requests and encodes headers.
    refusals
        Sends refusals to callers.
    chooser
        Chooses endpoints.
    sender
        Sends requests to endpoints.
    relays
        Passes requests on to other instances.
    crashes
        Refuses requests that crash endpoints.
    origins
        Tells which software version began a stream.
    supervisor
        Ends requests whose caller disconnects or whose deadline passes.
    budget
        Limits retries at other endpoints.
    in_flight
        Counts requests, and tells whether new ones are refused.
    shutdown
        Decides which requests are accepted during a shutdown.
    metrics
        Metrics of forwarding.
    waiting
        The queue in which requests wait for capacity; ``None`` if each waits
        by itself.
    """

    table: typing.Callable[[], tables.RouteTable | None]
    codec: CallCodec
    refusals: refusing.Refusals
    chooser: choosers.Chooser
    sender: attempts.Sender
    relays: Relays
    crashes: crash_checks.CrashChecks
    origins: stream_origins.StreamOrigins
    supervisor: supervision.Supervisor
    budget: retry_budget.RetryBudget
    in_flight: inflight.InFlight
    shutdown: shutdowns.Shutdown
    metrics: Metrics
    waiting: queueing.WaitingQueue | None = None


def no_table() -> None:
    """Return that there is no configuration; the default."""
    return


@dataclasses.dataclass
class Context:
    """Context of one active request.

    Attributes
    ----------
    exchange, call, body
        The caller's request.
    route, service, caller
        Its route, service and caller in the configuration.
    configuration
        Version of the configuration at the arrival of the request.
    watch
        Ends the request early.
    crash_state
        What is known of the request in view of crashes.
    arrived_s
        When its headers were received, by the boot clock.
    progress
        Progress of the answer to the caller.
    tried
        Endpoints that were tried.
    steps
        Outcome of each attempt, for the log line.
    sends
        Number of attempts that reached an endpoint.
    counted
        Whether a retry budget has counted the request.
    may_have_run
        Whether an endpoint may have run the request.
    refusal
        Verdict to send if no endpoint may have run the request.
    failed
        The last failure that an endpoint answered with.
    software
        Software version of the endpoint that began the stream, which must
        continue it; ``None`` before the first event.
    counted_load
        Load that was counted when the request was placed, until it is sent;
        ``None`` if it is counted when it is sent.
    table
        Returns the configuration in force; ``None`` before the first one.
    """

    exchange: server.Exchange
    call: calls.Call
    body: bytes
    route: routes.Route
    service: routes.Service
    caller: tables.Caller
    configuration: int
    watch: supervision.Watch
    crash_state: crash_checks.CrashState
    arrived_s: float
    progress: streams.Progress = dataclasses.field(
        default_factory=streams.Progress
    )
    tried: set[str] = dataclasses.field(default_factory=set)
    steps: list[str] = dataclasses.field(default_factory=list)
    sends: int = 0
    counted: bool = False
    may_have_run: bool = False
    refusal: verdict.Verdict | None = None
    failed: outcomes.Failed | None = None
    software: str | None = None
    counted_load: loads.Load | None = None
    table: typing.Callable[[], tables.RouteTable | None] = no_table

    def take_counted_load(self) -> loads.Load | None:
        """Return the load counted in advance, for the send to remove."""
        counted, self.counted_load = self.counted_load, None
        return counted

    def request(self) -> placements.Request:
        """Return the request for the endpoint chooser.

        It may have waited, or have been tried, for so long that the regions
        that it must not leave have changed since it arrived.
        """
        organisation = None
        if isinstance(self.caller, tables.KnownCaller):
            organisation = self.caller.organisation
        route = self.route
        table = self.table()
        if table is not None:
            route = table.with_regions(route)
            if organisation is not None:
                organisation = table.newest(organisation, self.call.key)
        return placements.Request(
            self.call,
            route,
            self.service,
            organisation,
            self.arrived_s + self.route.target_latency_s - clocks.boot_clock(),
            frozenset(self.tried),
            self.progress.events_sent,
            self.software,
            body_bytes=len(self.body),
        )

    def log_fields(self) -> dict[str, int]:
        """Return the size of the prompt, for the log."""
        if self.call.prompt is None:
            return {}
        return {"memory_tokens": placements.memory_of(self.call.prompt)}


def may_retry(context: Context) -> bool:
    """Return whether a request may be sent to another endpoint."""
    if context.may_have_run and not context.route.idempotent:
        return False
    progress = context.progress
    can_resume = context.route.resumable and progress.can_resume
    if progress.events_sent and (not can_resume or context.software is None):
        return False
    return context.sends < context.route.max_endpoints


def max_part_s(context: Context) -> float:
    """Return how long an endpoint may take for a part of its answer.

    It is unlimited if no other endpoint could be tried: then nothing is
    gained by giving up before the deadline.
    """
    is_last = context.sends + 1 >= context.route.max_endpoints
    if is_last or not context.route.idempotent:
        return bounded_reads.UNLIMITED_S
    return answer_limits.max_part_s(context.watch.remaining_s())
