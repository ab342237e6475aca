"""Waiting for capacity in the order of the instance's queue."""

from __future__ import annotations

import dataclasses
import math
import typing

from briarseam import clocks
from briarseam import verdict
from briarseam.forwarding import refusing
from briarseam.forwarding import supervision
from briarseam.placement import requests
from briarseam.queueing import service as queueing
from briarseam.queueing import tickets
from briarseam.queueing import waiters

if typing.TYPE_CHECKING:
    from briarseam.forwarding import request_context
    from briarseam.placement import chooser as choosers


# Share of the target latency for which a request waits that another instance
# passes on.  That instance tries others next; if it were held longer, the
# deadline could pass there while it is not known whether the request ran.
MAX_RELAYED_WAIT_SHARE = 0.25


def acquire(
    queue: queueing.WaitingQueue,
    chooser: choosers.Chooser,
    context: request_context.Context,
) -> tickets.Final:
    """Return the endpoint for a request, once it is its turn.

    The load of a placed request is counted at once and is kept in
    ``context.counted_load``.
    """

    def try_place(kept_free: frozenset[str]) -> tickets.Result:
        check_active(context)
        request = context.request()
        if kept_free:
            request = dataclasses.replace(
                request, tried=request.tried | kept_free
            )
        result = chooser.choose(request)
        if isinstance(result, requests.Placement):
            # Requests that are placed in the same round must see its load.
            context.counted_load = chooser.record_start(result, context.call)
        return result

    result = queue.acquire(
        waiter_of(context, clocks.boot_clock()),
        try_place,
        context.watch.check,
    )
    match result:
        case tickets.Refused():
            context.steps.append(
                f"no-room {result.obstacle} {result.cause.value}"
            )
            return refusing.busy(result.retry_after_s)
        case verdict.NotRun():
            context.steps.append(f"excluded ({result.detail})")
    return result


def check_active(context: request_context.Context) -> None:
    """Raise if a request was ended, or its deadline has passed.

    The supervisor only looks every 50 ms.  If the request were sent after its
    deadline, it would run for no caller.

    Raises
    ------
    EndedError
        If so.
    """
    context.watch.check()
    if context.watch.remaining_s() <= 0:
        raise supervision.EndedError(supervision.Ending.TIMED_OUT)


def waiter_of(
    context: request_context.Context, now_s: float
) -> waiters.Waiter:
    """Return how a request waits."""
    request = context.request()
    organisation = request.organisation
    priority = context.route.priority
    if organisation is not None and organisation.priority is not None:
        priority = organisation.priority
    prompt = context.call.prompt
    target_s = context.arrived_s + context.route.target_latency_s
    if not context.route.target_latency_s:
        # Without a target, any answer before the deadline is in time.
        target_s = context.watch.deadline_s
    return waiters.Waiter(
        service=context.service.name,
        route=context.route.name,
        organisation="" if organisation is None else organisation.name,
        priority=priority,
        arrived_s=now_s,
        target_s=target_s,
        deadline_s=context.watch.deadline_s,
        work=1 if prompt is None else max(prompt.input_tokens, 1),
        body_bytes=len(context.body),
        resumed=context.sends > 0 or context.progress.events_sent,
        constraints=constraints_of(request),
        wait_until_s=wait_until_s(context),
        request=context.call.id,
    )


def wait_until_s(context: request_context.Context) -> float:
    """Return when a request must not wait any more, by the boot clock."""
    if not context.exchange.relayed:
        return math.inf
    max_wait_s = context.route.target_latency_s * MAX_RELAYED_WAIT_SHARE
    return context.arrived_s + max_wait_s


def constraints_of(request: requests.Request) -> typing.Hashable:
    """Return what limits the endpoints that a request may be sent to."""
    prompt = request.call.prompt
    return (
        request.regions,
        request.tried,
        request.software,
        request.partly_answered,
        prompt and prompt.model,
        prompt is None or requests.can_fit(request, prompt),
    )
