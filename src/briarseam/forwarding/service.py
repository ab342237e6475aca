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
from briarseam.forwarding import supervision
from briarseam.forwarding import under_way
from briarseam.forwarding import work as works
from briarseam.placement import requests as placements
from briarseam.routes import model as routes
from briarseam.routes import table as tables

if typing.TYPE_CHECKING:
    from briarseam.forwarding import calls

# Part of a route's aim for which a request waits for room.  One that waits
# longer would be late anyhow, and its caller is better told to come back.
HOLD_SHARE = 0.25
# The address has another endpoint now, or the endpoint other weights; the
# entries will tell within a second.
MOVED = 421
# A caller that left meanwhile is noticed this often.
ROOM_POLL_S = 0.05
log = structlog.get_logger("briarseam.forwarding")


class Forwarding:
    """Answers callers' requests.

    Parameters
    ----------
    parts
        What it needs.
    """

    def __init__(self, parts: works.Parts) -> None:
        self.parts = parts
        self.under_way = under_way.UnderWay()

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
        try:
            call = self.parts.border.decode_call(
                exchange.method, exchange.target, exchange.headers
            )
        except refusing.MalformedCallError as error:
            self.refuse(exchange, "", refusing.malformed(str(error)))
            return
        if self.parts.shutdown.begun:
            # Some hundred lines at most: it ends with the process.
            log.info(
                "request_read",
                request=call.id,
                stopping_for_ms=self.parts.shutdown.since_ms(),
                in_flight=self.parts.in_flight.count,
            )
        found = self.find(exchange, call, body, arrived_s)
        if isinstance(found, works.Work):
            self.run(found)
        else:
            self.refuse(exchange, call.id, found)

    def find(
        self,
        exchange: server.Exchange,
        call: calls.Call,
        body: bytes,
        arrived_s: float,
    ) -> works.Work | verdict.Verdict:
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
        wait_s = route.timeout_s
        if call.time_left_s is not None:
            wait_s = min(wait_s, call.time_left_s)
        deadline_s = arrived_s + wait_s
        refusing_all = self.parts.in_flight.refusing
        if refusing_all or not self.parts.shutdown.takes(deadline_s):
            return refusing.LEAVING
        session = call.id
        if call.prompt is not None:
            session = placements.session_of(call.prompt)
        name = tables.pick_share(route, session)
        service = table.configuration.services.get(name)
        if service is None:
            service = routes.Service(name)
        organisation = caller.name if isinstance(caller, tables.Known) else ""
        digest = crash_guard.digest_of(call.target, organisation, body)
        if self.parts.guard.is_refused(digest):
            return refusing.CONDEMNED
        return works.Work(
            exchange=exchange,
            call=call,
            body=body,
            route=route,
            service=service,
            caller=caller,
            configuration=table.configuration.version,
            watch=supervision.Watch(exchange.socket, deadline_s),
            digest=digest,
            arrived_s=arrived_s,
            progress=attempts.Progress(last_event_id=call.last_event_id),
        )

    def run(self, work: works.Work) -> None:
        """Answer one request that the configuration allows."""
        self.parts.budget.earn(work.service.name)
        self.parts.chooser.record_arrival(work.request())
        with self.under_way.holding(work):
            self.parts.supervisor.watch(work.watch)
            try:
                ended = self.try_endpoints(work)
            except supervision.EndedError as error:
                ended = self.end(work, error.ending)
            finally:
                self.parts.supervisor.forget(work.watch)
        self.note(work, ended)

    def try_endpoints(self, work: works.Work) -> str:
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
            if not works.may_go_on(work):
                return self.give_up(work)

    def place(self, work: works.Work) -> placements.Placement | verdict.NotRun:
        """Return where a request goes, waiting a little for room."""
        chooser = self.parts.chooser
        hold_s = work.route.target_latency_s * HOLD_SHARE
        since_s = clocks.boot_clock() if work.sends else work.arrived_s
        until_s = since_s + hold_s
        while True:
            work.watch.check()
            if work.watch.left_s() <= 0:
                # The supervisor looks each 50 ms only.  Sent on meanwhile,
                # the request would run for nobody, and its caller could not
                # be told that it has not.
                raise supervision.EndedError(supervision.Ending.TIMED_OUT)
            placed = chooser.choose(work.request())
            if not isinstance(placed, placements.NoCapacity):
                return placed
            left_s = until_s - clocks.boot_clock()
            if left_s <= 0:
                work.steps.append(f"no-room {placed}")
                return refusing.BUSY
            chooser.loads.wait_for_decrease(min(left_s, ROOM_POLL_S))

    def take_failure(
        self, work: works.Work, endpoint: str, outcome: outcomes.Outcome
    ) -> None:
        """Draw what follows from an endpoint that did not answer well."""
        match outcome:
            case outcomes.Unreached():
                self.parts.chooser.avoid(endpoint)
                work.refusal = work.refusal or refusing.UNREACHED
                return
            case outcomes.Rejected():
                work.refusal = refusing.rejected(outcome)
                if outcome.status == MOVED:
                    self.parts.chooser.avoid(endpoint)
            case outcomes.Failed():
                work.failed = outcome
                work.may_have_run = True
            case outcomes.Broken():
                work.may_have_run = True
                self.parts.chooser.avoid(endpoint)
                self.parts.guard.note_lost(work.digest, endpoint)
        work.sends += 1

    def send(
        self, work: works.Work, placed: placements.Placement
    ) -> outcomes.Outcome:
        """Send the request to one endpoint."""
        chooser = self.parts.chooser
        request = work.request()
        sent_s = clocks.boot_clock()
        first_ms = -1
        added = chooser.record_start(placed, work.call)
        log.info(
            "request_sent",
            request=work.call.id,
            endpoint=placed.endpoint.id,
            time_left_ms=round(work.watch.left_s() * 1000),
            **placed.log_fields(),
        )

        def on_first_event() -> None:
            nonlocal added, first_ms
            now_s = clocks.boot_clock()
            took_s = now_s - sent_s
            added = chooser.record_first_event(placed, request, added, took_s)
            first_ms = round(took_s * 1000)
            if not work.progress.events_sent:
                waited_s = now_s - work.arrived_s
                self.parts.metrics.first_event_us.record_s(waited_s)

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
        except supervision.EndedError:
            work.may_have_run = work.may_have_run or work.progress.asked
            raise
        finally:
            chooser.record_end(placed, work.call, added)
            self.note_send(work, placed, outcome, first_ms)
        return outcome

    def note_send(
        self,
        work: works.Work,
        placed: placements.Placement,
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

    def give_up(self, work: works.Work) -> str:
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

    def end(self, work: works.Work, ending: supervision.Ending) -> str:
        """Answer, as far as one can, a request that was ended."""
        if (
            ending is supervision.Ending.CALLER_GONE
            or work.progress.events_sent
        ):
            work.exchange.abort()
        else:
            self.answer(work.exchange, verdict_of(ending, work.may_have_run))
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

    def note(self, work: works.Work, ended: str) -> None:
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
            **work.size(),
        )


def verdict_of(
    ending: supervision.Ending, may_have_run: bool
) -> verdict.Verdict:
    """Return what a caller is told of a request that was ended."""
    match ending, may_have_run:
        case supervision.Ending.CUT_OFF, True:
            return refusing.CUT_OFF
        case supervision.Ending.CUT_OFF, False:
            return refusing.LEAVING
        case _, True:
            return refusing.TIMED_OUT
        case _:
            return refusing.TOO_LATE
