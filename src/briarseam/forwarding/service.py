"""Answering a caller's request through one endpoint, or several in turn."""

from __future__ import annotations

import dataclasses
import typing

import structlog

from briarseam import clocks
from briarseam import verdict
from briarseam.forwarding import attempts
from briarseam.forwarding import crash_guard
from briarseam.forwarding import outcomes
from briarseam.forwarding import refusing
from briarseam.forwarding import server
from briarseam.forwarding import shutdown as shutdowns
from briarseam.forwarding import supervision
from briarseam.placement import chooser as choosers
from briarseam.routes import model as routes
from briarseam.routes import table as tables

if typing.TYPE_CHECKING:
    from briarseam.forwarding import calls
    from briarseam.forwarding import retry_budget
    from briarseam.metrics import instruments
    from briarseam.metrics import labels

# Part of a route's aim for which a request waits for room.  One that waits
# longer would be late anyhow, and its caller is better told to come back.
HOLD_SHARE = 0.25
# A caller that left meanwhile is noticed this often.
ROOM_POLL_S = 0.05
log = structlog.get_logger("briarseam.forwarding")


class Border(typing.Protocol):
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
    whole_us: instruments.Latency


@dataclasses.dataclass(frozen=True)
class Parts:
    """What forwarding needs.

    Attributes
    ----------
    table
        Returns the configuration in force; ``None`` before the first.
    border
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
    shutdown
        What this process still takes on while it shuts down.
    metrics
        What is counted.
    """

    table: typing.Callable[[], tables.RouteTable | None]
    border: Border
    refusals: refusing.Refusals
    chooser: choosers.Chooser
    sender: attempts.Sender
    guard: crash_guard.CrashGuard
    supervisor: supervision.Supervisor
    budget: retry_budget.RetryBudget
    shutdown: shutdowns.Shutdown
    metrics: Metrics


@dataclasses.dataclass
class Work:
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

    def request(self) -> choosers.Request:
        """Return what is to be placed."""
        organisation = None
        if isinstance(self.caller, tables.Known):
            organisation = self.caller.organisation
        return choosers.Request(
            self.call,
            self.route,
            self.service,
            organisation,
            frozenset(self.tried),
        )


class Forwarding:
    """Answers callers' requests.

    Parameters
    ----------
    parts
        What it needs.
    """

    def __init__(self, parts: Parts) -> None:
        self.parts = parts
        self.in_flight = 0

    def handle(self, exchange: server.Exchange) -> None:
        """Answer one request; the body of its connection's thread."""
        arrived_s = clocks.boot_clock()
        if exchange.framing_problem:
            self.refuse_unread(exchange, exchange.framing_problem)
            return
        try:
            body = exchange.read_body()
        except server.BodyTooLargeError:
            exchange.close_after()
            self.refuse(exchange, "", refusing.TOO_LARGE)
            return
        except server.BodyError as error:
            self.refuse_unread(exchange, str(error))
            return
        if self.parts.shutdown.begun:
            exchange.close_after()
        try:
            call = self.parts.border.decode_call(
                exchange.method, exchange.target, exchange.headers
            )
        except refusing.MalformedCallError as error:
            self.refuse(exchange, "", refusing.malformed(str(error)))
            return
        found = self.find(exchange, call, body, arrived_s)
        if isinstance(found, Work):
            self.run(found)
        else:
            self.refuse(exchange, call.id, found)

    def find(
        self,
        exchange: server.Exchange,
        call: calls.Call,
        body: bytes,
        arrived_s: float,
    ) -> Work | verdict.Verdict:
        """Return the work that a call makes, or why there is none."""
        table = self.parts.table()
        if table is None:
            return refusing.NO_CONFIGURATION
        route = table.find(call.host, call.path)
        if route is None:
            return refusing.NO_ROUTE
        caller = table.identify(route, call.key)
        if isinstance(caller, tables.Unknown):
            return refusing.UNKNOWN_KEY
        if not self.parts.shutdown.takes(route):
            return refusing.LEAVING
        session = call.id
        if call.prompt is not None:
            session = choosers.session_of(call.prompt)
        name = tables.pick_share(route, session)
        service = table.configuration.services.get(name)
        if service is None:
            service = routes.Service(name)
        organisation = caller.name if isinstance(caller, tables.Known) else ""
        digest = crash_guard.digest_of(call.target, organisation, body)
        if self.parts.guard.is_refused(digest):
            return refusing.CONDEMNED
        wait_s = route.timeout_s
        if call.time_left_s is not None:
            wait_s = min(wait_s, call.time_left_s)
        return Work(
            exchange=exchange,
            call=call,
            body=body,
            route=route,
            service=service,
            caller=caller,
            configuration=table.configuration.version,
            watch=supervision.Watch(exchange.socket, arrived_s + wait_s),
            digest=digest,
            arrived_s=arrived_s,
            progress=attempts.Progress(last_event_id=call.last_event_id),
        )

    def run(self, work: Work) -> None:
        """Answer one request that the configuration allows."""
        self.in_flight += 1
        self.parts.budget.earn(work.service.name)
        self.parts.supervisor.watch(work.watch)
        try:
            ended = self.try_endpoints(work)
        except supervision.EndedError as error:
            ended = self.end(work, error.ending)
        finally:
            self.parts.supervisor.forget(work.watch)
            self.in_flight -= 1
        self.note(work, ended)

    def try_endpoints(self, work: Work) -> str:
        """Send the request to endpoints until one answers.

        Returns
        -------
        str
            How it ended, for the log.
        """
        while True:
            placed = self.place(work)
            if isinstance(placed, verdict.NotRun):
                work.refusal = work.refusal or placed
                return self.give_up(work)
            if work.sends and not self.parts.budget.spend(work.service.name):
                work.steps.append("no-retry-budget")
                return self.give_up(work)
            outcome = self.send(work, placed)
            work.tried.add(placed.endpoint.id)
            if isinstance(outcome, outcomes.Answered):
                self.parts.guard.note_answered(work.digest)
                return f"answered-{outcome.status}"
            self.take_failure(work, placed.endpoint.id, outcome)
            if not may_go_on(work):
                return self.give_up(work)

    def place(self, work: Work) -> choosers.Placement | verdict.NotRun:
        """Return where a request goes, waiting a little for room."""
        chooser = self.parts.chooser
        hold_s = work.route.target_latency_s * HOLD_SHARE
        until_s = work.arrived_s + hold_s
        while True:
            work.watch.check()
            placed = chooser.choose(work.request())
            if not isinstance(placed, choosers.Full):
                return placed
            left_s = until_s - clocks.boot_clock()
            if left_s <= 0:
                work.steps.append(f"no-room {placed}")
                return refusing.BUSY
            chooser.loads.wait_for_ease(min(left_s, ROOM_POLL_S))

    def take_failure(
        self, work: Work, endpoint: str, outcome: outcomes.Outcome
    ) -> None:
        """Draw what follows from an endpoint that did not answer well."""
        match outcome:
            case outcomes.Unreached():
                self.parts.chooser.avoid(endpoint)
                work.refusal = work.refusal or refusing.UNREACHED
                return
            case outcomes.Rejected():
                work.refusal = refusing.rejected(outcome)
            case outcomes.Failed():
                work.failed = outcome
                work.may_have_run = True
            case outcomes.Broken():
                work.may_have_run = True
                self.parts.chooser.avoid(endpoint)
                self.parts.guard.note_lost(work.digest, endpoint)
        work.sends += 1

    def send(self, work: Work, placed: choosers.Placement) -> outcomes.Outcome:
        """Send the request to one endpoint."""
        chooser = self.parts.chooser
        request = work.request()
        sent_s = clocks.boot_clock()
        first_ms = -1
        added = chooser.started(placed, work.call.prompt)
        log.info(
            "request_sent",
            request=work.call.id,
            endpoint=placed.endpoint.id,
            time_left_ms=round(work.watch.left_s() * 1000),
            **placed.reasons(),
        )

        def on_first_event() -> None:
            nonlocal added, first_ms
            added = chooser.first_event(placed, request, added)
            now_s = clocks.boot_clock()
            first_ms = round((now_s - sent_s) * 1000)
            self.parts.metrics.first_event_us.record_s(now_s - work.arrived_s)

        instructions = dataclasses.replace(
            placed.instructions,
            time_left_s=max(0.0, work.watch.left_s()),
            last_event_id=work.progress.last_event_id,
        )
        errand = attempts.Errand(
            exchange=work.exchange,
            call=work.call,
            body=work.body,
            route=work.route,
            endpoint=placed.endpoint,
            headers=self.parts.border.encode_headers(work.call, instructions),
            watch=work.watch,
            progress=work.progress,
            on_first_event=on_first_event,
        )
        outcome: outcomes.Outcome | None = None
        try:
            outcome = self.parts.sender.send(errand)
        finally:
            chooser.ended(placed, added)
            self.note_send(work, placed, outcome, first_ms)
        return outcome

    def note_send(
        self,
        work: Work,
        placed: choosers.Placement,
        outcome: outcomes.Outcome | None,
        first_ms: int,
    ) -> None:
        """Count what became of a send, and keep it for the log."""
        name = type(outcome).__name__.lower() if outcome else "ended"
        step = f"{placed.endpoint.id}:{name}"
        match outcome:
            case outcomes.Unreached(detail) | outcomes.Broken(detail):
                step = f"{step} ({detail})"
            case outcomes.Rejected(status) | outcomes.Answered(status):
                step = f"{step}-{status}"
        if first_ms >= 0:
            step = f"{step} first={first_ms}ms"
        work.steps.append(step)
        self.parts.metrics.sends.labelled(name).add()

    def give_up(self, work: Work) -> str:
        """Give the caller a final answer at once, without a good one."""
        if work.progress.events_sent:
            work.exchange.abort()
            return "broken-off"
        failed = work.failed
        if failed is not None and (
            failed.head.status not in attempts.PROMISING
        ):
            work.watch.detach()
            attempts.deliver(work.exchange, failed.head, failed.body)
            return f"failed-{failed.head.status}"
        given = work.refusal
        if work.may_have_run or given is None:
            given = refusing.LOST
        self.answer(work.exchange, given)
        return f"refused-{given.reason.value}"

    def end(self, work: Work, ending: supervision.Ending) -> str:
        """Answer, as far as one can, a request that was ended."""
        if (
            ending is supervision.Ending.CALLER_GONE
            or work.progress.events_sent
        ):
            work.exchange.abort()
        elif work.steps:
            self.answer(work.exchange, refusing.TIMED_OUT)
        else:
            self.answer(work.exchange, refusing.TOO_LATE)
        return ending.value

    def refuse_unread(self, exchange: server.Exchange, detail: str) -> None:
        """Refuse a request whose end is not known, and its connection."""
        exchange.close_after()
        self.refuse(exchange, "", refusing.malformed(detail))

    def refuse(
        self, exchange: server.Exchange, call_id: str, given: verdict.Verdict
    ) -> None:
        """Refuse a request that no endpoint was asked about."""
        self.answer(exchange, given)
        self.parts.metrics.answers.labelled(
            f"refused-{given.reason.value}"
        ).add()
        log.info(
            "request_refused",
            request=call_id,
            host_path=exchange.target[:120],
            reason=given.reason.value,
            ran=verdict.ran_word(given),
            detail=given.detail,
        )

    def answer(
        self, exchange: server.Exchange, given: verdict.Verdict
    ) -> None:
        """Send a verdict; a caller that has gone does not matter."""
        try:
            self.parts.refusals.send(exchange, given)
        except OSError as error:
            log.info("caller_gone", detail=str(error))
            exchange.abort()

    def note(self, work: Work, ended: str) -> None:
        """Count a request and log what was decided about it."""
        took_s = clocks.boot_clock() - work.arrived_s
        self.parts.metrics.answers.labelled(ended).add()
        self.parts.metrics.whole_us.record_s(took_s)
        log.info(
            "request_ended",
            request=work.call.id,
            route=work.route.name,
            service=work.service.name,
            configuration=work.configuration,
            steps=work.steps,
            outcome=ended,
            took_ms=round(took_s * 1000),
        )


def may_go_on(work: Work) -> bool:
    """Tell whether a request may go to another endpoint."""
    if work.may_have_run and not work.route.idempotent:
        return False
    if work.progress.events_sent and not work.route.resumable:
        return False
    return work.sends < work.route.max_endpoints
