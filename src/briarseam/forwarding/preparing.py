"""Checks of a caller's request before an endpoint is chosen for it."""

from __future__ import annotations

import typing

from briarseam.crashes import loss_keys
from briarseam.forwarding import crash_checks
from briarseam.forwarding import refusing
from briarseam.forwarding import request_context
from briarseam.forwarding import streams
from briarseam.forwarding import supervision
from briarseam.placement import requests as placements
from briarseam.routes import model as routes
from briarseam.routes import table as tables

if typing.TYPE_CHECKING:
    from briarseam import verdict
    from briarseam.forwarding import calls
    from briarseam.forwarding import relay_headers
    from briarseam.forwarding import server


def prepare(
    deps: request_context.Dependencies,
    exchange: server.Exchange,
    call: calls.Call,
    body: bytes,
    arrived_s: float,
    usage: relay_headers.Usage,
) -> request_context.Context | verdict.Verdict:
    """Return the context of a call, or the verdict if it is refused."""
    table = deps.table()
    if table is None:
        return refusing.NO_CONFIGURATION
    route = table.find(call.host, call.path)
    if route is None:
        return refusing.NO_ROUTE
    caller = table.identify(route, call.key)
    if isinstance(caller, tables.UnknownCaller):
        return refusing.UNKNOWN_KEY
    wait_s = route.timeout_s
    if call.time_left_s is not None:
        wait_s = min(wait_s, call.time_left_s)
    deadline_s = arrived_s + wait_s
    refusing_all = deps.in_flight.refusing
    if refusing_all or not deps.shutdown.accepts(deadline_s):
        return refusing.LEAVING
    session = call.id
    if call.prompt is not None:
        session = placements.session_of(call.prompt)
    name = tables.select_service(route, session)
    service = table.configuration.services.get(name)
    if service is None:
        service = routes.Service(name)
    organisation = (
        caller.name if isinstance(caller, tables.KnownCaller) else ""
    )
    own_name = deps.chooser.sharing.own_name(organisation)
    crash_state = crash_checks.CrashState(
        call.id,
        loss_keys.key_of_request(call.target, organisation, body),
        crash_checks.keys_of_parts(call.prompt, own_name),
        crash_checks.keys_of_parts(call.prompt, "") if own_name else {},
    )
    refusal = deps.crashes.refusal_on_arrival(crash_state)
    if refusal is not None:
        return refusal
    context = request_context.Context(
        exchange=exchange,
        call=call,
        body=body,
        route=route,
        service=service,
        caller=caller,
        configuration=table.configuration.version,
        watch=supervision.Watch(exchange.socket, deadline_s),
        crash_state=crash_state,
        arrived_s=arrived_s - usage.waited_s,
        progress=streams.Progress(last_event_id=call.last_event_id),
        sends=usage.sends,
        counted=usage.counted,
        software=usage.software,
        table=deps.table,
    )
    return with_software(deps, context)


def with_software(
    deps: request_context.Dependencies, context: request_context.Context
) -> request_context.Context | verdict.Verdict:
    """Return a context with the software that must continue its stream."""
    call = context.call
    if not context.route.resumable or not call.continues_stream:
        return context
    if context.software is None:
        context.software = deps.origins.find(call, context.service.name)
    return refusing.UNKNOWN_ORIGIN if context.software is None else context
