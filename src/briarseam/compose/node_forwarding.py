"""Composition of forwarding in the serving process."""

from __future__ import annotations

import dataclasses
import typing

from briarseam.compose import node_metrics
from briarseam.forwarding import refusing
from briarseam.forwarding import request_context
from briarseam.forwarding import retry_budget
from briarseam.platform import answers
from briarseam.platform import call_codec
from briarseam.queueing import service as queueing
from briarseam.queueing import sharing

if typing.TYPE_CHECKING:
    from briarseam import inflight
    from briarseam.compose import node_instances
    from briarseam.forwarding import attempts
    from briarseam.forwarding import crash_checks
    from briarseam.forwarding import relaying
    from briarseam.forwarding import shutdown as shutdowns
    from briarseam.forwarding import stream_origins
    from briarseam.forwarding import supervision
    from briarseam.metrics import registry
    from briarseam.placement import chooser as choosers
    from briarseam.routes import model as routes
    from briarseam.routes import table as tables
    from briarseam.settings import serving


@dataclasses.dataclass(frozen=True)
class Parts:
    """The parts of an instance that forwarding needs.

    Attributes
    ----------
    table, chooser, sender, relays, crashes, origins, supervisor, in_flight,
    shutdown, waiting
        As in :class:`briarseam.forwarding.request_context.Dependencies`.
    instances
        All instances, which share the slack of the retry budget.
    metrics
        The registry of metrics.
    """

    table: typing.Callable[[], tables.RouteTable | None]
    chooser: choosers.Chooser
    sender: attempts.Sender
    relays: relaying.Relaying
    crashes: crash_checks.CrashChecks
    origins: stream_origins.StreamOrigins
    supervisor: supervision.Supervisor
    instances: node_instances.Instances
    in_flight: inflight.InFlight
    shutdown: shutdowns.Shutdown
    metrics: registry.Registry
    waiting: queueing.WaitingQueue | None


def waiting_queue(
    load: serving.Load,
    chooser: choosers.Chooser,
    table: typing.Callable[[], tables.RouteTable | None],
    metrics: registry.Registry,
) -> queueing.WaitingQueue | None:
    """Return the queue of waiting requests; ``None`` if it is switched off.

    Parameters
    ----------
    load
        Settings of decisions under heavy load.
    chooser
        Knows the endpoints and their load.
    table
        Returns the current configuration; ``None`` before the first one.
    metrics
        The registry of metrics.
    """

    def service(name: str) -> routes.Service | None:
        current = table()
        if current is None:
            return None
        return current.configuration.services.get(name)

    queue_metrics = node_metrics.queue_metrics(metrics)
    if not load.ordered_waiting:
        return None
    limits = queueing.Limits(load.queue_requests, load.queue_bytes)
    return queueing.WaitingQueue(
        limits,
        chooser.loads,
        queue_metrics,
        sharing.Sharing(chooser.loads, chooser.endpoints, service),
    )


def dependencies(
    bounds: serving.Bounds, parts: Parts
) -> request_context.Dependencies:
    """Return the dependencies of forwarding.

    Parameters
    ----------
    bounds
        Limits that the deployment sets.
    parts
        The parts of the instance.
    """
    return request_context.Dependencies(
        table=parts.table,
        codec=call_codec.CallCodec(),
        refusals=refusing.Refusals(answers.encode_verdict),
        chooser=parts.chooser,
        sender=parts.sender,
        relays=parts.relays,
        crashes=parts.crashes,
        origins=parts.origins,
        supervisor=parts.supervisor,
        budget=retry_budget.RetryBudget(
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window_s,
            parts.instances.known_count,
        ),
        in_flight=parts.in_flight,
        shutdown=parts.shutdown,
        metrics=node_metrics.forwarding_metrics(parts.metrics),
        waiting=parts.waiting,
    )
