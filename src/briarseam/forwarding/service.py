"""Forwards a caller's request to one endpoint, or to several in turn."""

from __future__ import annotations

import dataclasses
import threading
import typing

import structlog

from briarseam import clocks
from briarseam import verdict
from briarseam.forwarding import active_requests
from briarseam.forwarding import attempts
from briarseam.forwarding import bodies
from briarseam.forwarding import crash_checks
from briarseam.forwarding import final_answers
from briarseam.forwarding import ordered_waiting
from briarseam.forwarding import outcomes
from briarseam.forwarding import preparing
from briarseam.forwarding import refusing
from briarseam.forwarding import relay_headers
from briarseam.forwarding import request_context
from briarseam.forwarding import steps
from briarseam.forwarding import streams
from briarseam.forwarding import supervision
from briarseam.placement import avoidance
from briarseam.placement import requests as placements

if typing.TYPE_CHECKING:
    from briarseam.discovery import model as discovery
    from briarseam.forwarding import server
    from briarseam.placement import loads

# Share of a route's target latency for which a request waits for capacity.
# After a longer wait the answer would be late anyway, so the caller is asked
# to retry instead.
MAX_WAIT_SHARE = 0.25
# How often a request that waits for capacity checks for an early end.
CAPACITY_POLL_S = 0.05
# Requests that are processed at a time for instances without a path to
# endpoints; the callers of this instance must not be crowded out.
MAX_RELAYED = 200
log = structlog.get_logger("briarseam.forwarding")


class Forwarding:
    """Answers callers' requests.

    Parameters
    ----------
    deps
        Dependencies of the service.
    """

    def __init__(self, deps: request_context.Dependencies) -> None:
        self.deps = deps
        self.answers = final_answers.FinalAnswers(deps)
        self.relayed_slots = threading.BoundedSemaphore(MAX_RELAYED)
        self.active_requests = active_requests.ActiveRequests()

    def handle_relayed(self, exchange: server.Exchange) -> None:
        """Answer a request that another instance passes on."""
        exchange.relayed = True
        if not self.relayed_slots.acquire(blocking=False):
            # The body is still unread.
            exchange.close_after()
            self.answers.refuse(exchange, "", refusing.BUSY)
            return
        try:
            self.handle(exchange)
        finally:
            self.relayed_slots.release()

    def handle(self, exchange: server.Exchange) -> None:
        """Answer one request; called in its connection's thread."""
        arrived_s = clocks.boot_clock()
        if exchange.framing_error:
            self.answers.refuse_and_close(exchange, exchange.framing_error)
            return
        try:
            body = exchange.read_body()
        except bodies.BodyNotHeldError:
            self.answers.refuse_unread(exchange, refusing.BYTES_HELD)
            return
        except bodies.BodyTooLargeError:
            exchange.close_after()
            self.answers.refuse(exchange, "", refusing.TOO_LARGE)
            return
        except bodies.BodyError as error:
            self.answers.refuse_and_close(exchange, str(error))
            return
        try:
            with exchange.turn():
                call = self.deps.codec.decode_call(
                    exchange.method, exchange.target, exchange.headers
                )
        except refusing.MalformedCallError as error:
            self.answers.refuse(exchange, "", refusing.malformed(str(error)))
            return
        exchange.record_request_id(call.id)
        if self.deps.shutdown.begun:
            # At most some hundred lines until the process ends.
            log.info(
                "request_read",
                request=call.id,
                stopping_for_ms=self.deps.shutdown.elapsed_ms(),
                in_flight=self.deps.in_flight.count,
            )
        usage: relay_headers.Usage | None = relay_headers.Usage()
        if exchange.relayed:
            usage = self.deps.relays.decode_usage(call, exchange.headers)
        if usage is None:
            self.answers.refuse(exchange, call.id, refusing.NO_INSTANCE)
            return
        prepared = preparing.prepare(
            self.deps, exchange, call, body, arrived_s, usage
        )
        if isinstance(prepared, request_context.Context):
            self.run(prepared)
        else:
            self.answers.refuse(exchange, call.id, prepared)

    def run(self, context: request_context.Context) -> None:
        """Answer one request that was not refused."""
        self.deps.chooser.record_arrival(context.request())
        with self.active_requests.tracking(context):
            self.deps.supervisor.watch(context.watch)
            try:
                result = self.try_endpoints(context)
            except supervision.EndedError as error:
                result = self.answers.answer_ended(context, error.ending)
            finally:
                self.deps.supervisor.unwatch(context.watch)
                self.deps.crashes.end_trial(context.crash_state)
        self.answers.record_end(context, result)

    def try_endpoints(self, context: request_context.Context) -> str:
        """Send the request to endpoints until one answers.

        Returns
        -------
        str
            Result, for the log.
        """
        while True:
            placement = self.choose_endpoint(context)
            if isinstance(placement, placements.Unreachable):
                return self.relay(context, placement)
            self.count(context)
            if isinstance(placement, verdict.NotRun):
                context.refusal = context.refusal or placement
                return self.answers.answer_failure(context)
            refusal = self.refusal_of_send(context)
            if refusal is not None:
                self.release_unsent(context, placement)
                context.steps.append(f"excluded ({refusal.detail})")
                context.refusal = refusal
                return self.answers.answer_failure(context)
            if context.sends and not self.deps.budget.try_withdraw(
                context.service.name
            ):
                self.release_unsent(context, placement)
                context.steps.append("no-retry-budget")
                return self.answers.answer_failure(context)
            outcome = self.send(context, placement)
            if isinstance(outcome, outcomes.Withheld):
                # Not a failure of the endpoint, which may be chosen again.
                continue
            context.tried.add(placement.endpoint.id)
            if isinstance(outcome, outcomes.Answered):
                self.deps.origins.record_end(context.call)
                return f"answered-{outcome.status}"
            self.handle_failure(context, placement.endpoint, outcome)
            if not request_context.may_retry(context):
                return self.answers.answer_failure(context)

    def refusal_of_send(
        self, context: request_context.Context
    ) -> verdict.NotRun | None:
        """Return the refusal of a request that may crash its endpoint.

        The caller may leave while the trial is granted, which takes a call to
        another instance: the time that a trial goes on begins before.
        """
        crashes = self.deps.crashes
        if crashes.is_suspected(context.crash_state):
            context.watch.begin_grace(
                crash_checks.TRIAL_GRACE_S, context.exchange.discard
            )
        refusal = crashes.refusal_of_send(context.crash_state)
        if refusal is not None:
            context.watch.end_grace()
        return refusal

    def release_unsent(
        self, context: request_context.Context, placement: placements.Placement
    ) -> None:
        """Free the capacity of a request that is not sent after all."""
        self.deps.chooser.release(placement)
        counted = context.take_counted_load()
        if counted is not None:
            self.deps.chooser.record_end(placement, context.call, counted)

    def count(self, context: request_context.Context) -> None:
        """Count a request once, at the instance that has it answered."""
        if not context.counted:
            context.counted = True
            self.deps.budget.deposit(context.service.name)

    def relay(
        self,
        context: request_context.Context,
        unreachable: placements.Unreachable,
    ) -> str:
        """Have another instance answer a request.

        A request that was passed on may have been sent as often as its route
        allows, so it is not sent again.

        Returns
        -------
        str
            Result, for the log.
        """
        context.steps.append(str(unreachable))
        if context.exchange.relayed:
            # Passing requests on further could go round in circles.
            context.refusal = refusing.UNREACHED
            return self.answers.answer_failure(context)
        outcome = self.deps.relays.relay(context)
        match outcome:
            case outcomes.Answered():
                self.deps.crashes.record_complete_answer(context.crash_state)
                return f"relayed-{outcome.status}"
            case outcomes.Unreached():
                context.refusal = refusing.UNREACHED
            case outcomes.Rejected():
                context.refusal = refusing.not_taken(outcome.retry_after_s)
            case outcomes.Failed():
                context.failed = outcome
                context.may_have_run = True
            case outcomes.Broken():
                context.may_have_run = True
        return self.answers.answer_failure(context)

    def choose_endpoint(
        self, context: request_context.Context
    ) -> placements.Placement | placements.Unreachable | verdict.NotRun:
        """Return the endpoint for a request, waiting briefly for capacity."""
        chooser = self.deps.chooser
        if self.deps.waiting is not None:
            return ordered_waiting.acquire(self.deps.waiting, chooser, context)
        max_wait_s = context.route.target_latency_s * MAX_WAIT_SHARE
        start_s = clocks.boot_clock() if context.sends else context.arrived_s
        wait_until_s = start_s + max_wait_s
        while True:
            context.watch.check()
            if context.watch.remaining_s() <= 0:
                # The supervisor polls only every 50 ms.  If the request
                # were sent now, it would run for no caller, and could no
                # longer be reported as not run.
                raise supervision.EndedError(supervision.Ending.TIMED_OUT)
            placement = chooser.choose(context.request())
            if isinstance(placement, verdict.NotRun):
                context.steps.append(f"excluded ({placement.detail})")
            if not isinstance(placement, placements.Unplaced):
                return placement
            remaining_s = wait_until_s - clocks.boot_clock()
            if remaining_s <= 0:
                context.steps.append(f"no-room {placement}")
                return refusing.BUSY
            chooser.loads.wait_for_decrease(min(remaining_s, CAPACITY_POLL_S))

    def handle_failure(
        self,
        context: request_context.Context,
        endpoint: discovery.Endpoint,
        outcome: outcomes.Outcome,
    ) -> None:
        """Update the state after an attempt without a final answer."""
        avoided = self.deps.chooser.avoided
        match outcome:
            case outcomes.Unreached():
                avoided.add_unconfirmed(endpoint.id, avoidance.AVOID_S)
                self.deps.chooser.reachability.record_unreached(endpoint)
                context.refusal = context.refusal or refusing.UNREACHED
                return
            case outcomes.Rejected():
                context.refusal = refusing.REJECTED
                if outcome.status == attempts.MISDIRECTED:
                    # The list of endpoints shows within a second whether
                    # the address belongs to another endpoint.
                    avoided.add_unconfirmed(endpoint.id, 0.0)
            case outcomes.Failed():
                context.failed = outcome
                context.may_have_run = True
            case outcomes.Broken():
                context.may_have_run = True
                avoided.add(endpoint.id)
        context.sends += 1

    def record_origin(
        self,
        context: request_context.Context,
        endpoint: discovery.Endpoint,
    ) -> None:
        """Record which software version sends a stream's events.

        Raises
        ------
        NotContinuedError
            If the stream began with other software, as far as is known.
        """
        if not context.route.resumable:
            return
        version = self.deps.origins.record(context.call, endpoint)
        if context.software is not None and version != context.software:
            raise streams.NotContinuedError(
                f"software {version!r} does not continue {context.software!r}"
            )
        context.software = version

    def record_heard(
        self, endpoint: discovery.Endpoint, outcome: outcomes.Outcome
    ) -> None:
        """Record what an outcome shows of the path and of the endpoint."""
        reachability = self.deps.chooser.reachability
        if not isinstance(
            outcome,
            outcomes.Unreached | outcomes.Withheld | outcomes.Broken,
        ):
            reachability.record_heard(endpoint.service)
        if shows_endpoint(outcome):
            reachability.record_heard_from(endpoint)

    def count_load(
        self, context: request_context.Context, placement: placements.Placement
    ) -> loads.Load:
        """Return the load of a request to be sent, counted just once."""
        counted = context.take_counted_load()
        if counted is not None:
            return counted
        return self.deps.chooser.record_start(placement, context.call)

    def record_answer_time(
        self,
        context: request_context.Context,
        took_s: float,
        first_event_ms: int | None = None,
    ) -> None:
        """Record the time from a send to its first event, or its answer.

        Parameters
        ----------
        context
            The request.
        took_s
            That time, in seconds.
        first_event_ms
            Time to the first event if that was recorded before, in ms.
        """
        if self.deps.waiting is not None and first_event_ms is None:
            self.deps.waiting.record_answer(context.service.name, took_s)

    def send(
        self, context: request_context.Context, placement: placements.Placement
    ) -> outcomes.Outcome:
        """Send the request to one endpoint."""
        chooser = self.deps.chooser
        crashes = self.deps.crashes
        request = context.request()
        sent_s = clocks.boot_clock()
        first_event_ms: int | None = None
        undecided = True
        added = self.count_load(context, placement)
        chooser.reachability.record_sent(placement.endpoint.service)
        crashes.record_start(context.crash_state)
        if context.exchange.relayed:
            context.exchange.extra_headers = relay_headers.of_endpoint(
                placement.endpoint.id
            )
        log.info(
            "request_sent",
            request=context.call.id,
            endpoint=placement.endpoint.id,
            time_left_ms=round(context.watch.remaining_s() * 1000),
            **placement.log_fields(),
        )

        def on_first_event() -> None:
            nonlocal added, first_event_ms, undecided
            self.record_origin(context, placement.endpoint)
            crashes.record_first_event(context.crash_state)
            chooser.release(placement)
            undecided = False
            now_s = clocks.boot_clock()
            took_s = now_s - sent_s
            chooser.reachability.record_heard(placement.endpoint.service)
            added = chooser.record_first_event(
                placement, request, added, took_s
            )
            first_event_ms = round(took_s * 1000)
            self.record_answer_time(context, took_s)
            if not context.progress.events_sent:
                waited_s = now_s - context.arrived_s
                self.deps.metrics.first_event_us.record_s(waited_s)

        def on_data() -> None:
            chooser.reachability.record_heard_from(placement.endpoint)
            crashes.record_data(context.crash_state)

        instructions = dataclasses.replace(
            placement.instructions,
            time_left_s=max(0.0, context.watch.remaining_s()),
            last_event_id=context.progress.last_event_id,
        )
        attempt = attempts.Attempt(
            exchange=context.exchange,
            call=context.call,
            body=context.body,
            route=context.route,
            endpoint=placement.endpoint,
            headers=self.deps.codec.encode_headers(context.call, instructions),
            watch=context.watch,
            progress=context.progress,
            on_first_event=on_first_event,
            on_data=on_data,
            is_current=lambda: chooser.is_current(placement, request),
            holding=context.exchange.holding,
            max_part_s=request_context.max_part_s(context),
        )
        outcome: outcomes.Outcome | None = None
        context.progress.maybe_sent = False
        try:
            outcome = self.deps.sender.send(attempt)
            self.record_heard(placement.endpoint, outcome)
            if isinstance(outcome, outcomes.Answered):
                took_s = clocks.boot_clock() - sent_s
                chooser.record_answer(placement, request, took_s)
                self.record_answer_time(context, took_s, first_event_ms)
            crashes.record_outcome(
                context.crash_state, placement.endpoint, outcome, sent_s
            )
        except supervision.EndedError as error:
            if context.progress.maybe_sent:
                context.may_have_run = True
                crashes.record_abandoned(
                    context.crash_state,
                    placement.endpoint,
                    error.ending,
                    sent_s,
                )
            raise
        finally:
            context.watch.end_grace()
            if undecided:
                rejected = isinstance(outcome, outcomes.Rejected)
                chooser.release(placement, rejected)
            chooser.record_end(placement, context.call, added)
            context.steps.append(
                steps.describe_send(
                    placement.endpoint.id,
                    outcome,
                    first_event_ms,
                    attempt.transfer,
                )
            )
            self.deps.metrics.record_send(outcome, attempt.transfer)
        return outcome


def shows_endpoint(outcome: outcomes.Outcome) -> bool:
    """Return whether an outcome shows that the endpoint goes on.

    A misdirected request was answered by another start at its address, maybe
    since this one has crashed.
    """
    match outcome:
        case outcomes.Unreached() | outcomes.Withheld() | outcomes.Broken():
            return False
        case outcomes.Rejected(attempts.MISDIRECTED):
            return False
    return True
