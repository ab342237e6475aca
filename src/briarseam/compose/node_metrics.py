"""Metrics of the serving process."""

from __future__ import annotations

import dataclasses
import typing

from briarseam import malformed
from briarseam.forwarding import request_context
from briarseam.placement import notice_recipients
from briarseam.queueing import service as queueing

if typing.TYPE_CHECKING:
    from briarseam.metrics import instruments
    from briarseam.metrics import labels
    from briarseam.metrics import registry as metrics

Reading = typing.Callable[[], int]


@dataclasses.dataclass(frozen=True)
class Readings:
    """Values that are read from the parts at each scrape.

    Attributes
    ----------
    in_flight, held_bytes, held_bytes_limit, connections_opened, store_calls
    store_era, topic_reads_direct
    topic_reads_shared, configuration_version, endpoints_known
    endpoints_cold, endpoints_in_backoff, endpoints_rate_limited
    endpoints_rejection_limited, software_versions, services_unreachable
    parts_suspected, requests_suspected, zones_evacuated
        The metrics of the same names; see their help texts.
    """

    in_flight: Reading
    held_bytes: Reading
    held_bytes_limit: Reading
    connections_opened: Reading
    store_calls: Reading
    store_era: Reading
    topic_reads_direct: Reading
    topic_reads_shared: Reading
    configuration_version: Reading
    endpoints_known: Reading
    endpoints_cold: Reading
    endpoints_in_backoff: Reading
    endpoints_rate_limited: Reading
    endpoints_rejection_limited: Reading
    software_versions: Reading
    services_unreachable: Reading
    parts_suspected: Reading
    requests_suspected: Reading
    zones_evacuated: Reading


def register(registry: metrics.Registry, readings: Readings) -> None:
    """Register metrics for the values of the parts."""
    for name, text, reading in (
        (
            "requests_in_flight",
            "Requests of callers under way",
            readings.in_flight,
        ),
        (
            "held_bytes",
            "Bytes of requests and answers that are held now",
            readings.held_bytes,
        ),
        (
            "held_bytes_limit",
            "Bytes above which new requests are refused; 0 without a limit",
            readings.held_bytes_limit,
        ),
        (
            "endpoint_connections_opened",
            "Connections opened to endpoints since start",
            readings.connections_opened,
        ),
        (
            "store_calls",
            "Calls to the platform's store since start",
            readings.store_calls,
        ),
        (
            "store_era",
            "Era of the platform's store; rises when it is restored",
            readings.store_era,
        ),
        (
            "topic_reads_direct",
            "Reads of topics from the store itself since start",
            readings.topic_reads_direct,
        ),
        (
            "topic_reads_shared",
            "Reads of topics through the reader of the cell since start",
            readings.topic_reads_shared,
        ),
        (
            "configuration_version",
            "Version of the configuration in force; 0 before the first",
            readings.configuration_version,
        ),
        (
            "endpoints_known",
            "Endpoints that have an entry",
            readings.endpoints_known,
        ),
        (
            "endpoints_cold",
            "Endpoints that are warming up and take few requests",
            readings.endpoints_cold,
        ),
        (
            "endpoints_in_backoff",
            "Endpoints that want no requests from this instance",
            readings.endpoints_in_backoff,
        ),
        (
            "endpoints_rate_limited",
            "Endpoints that limit the rate of their requests",
            readings.endpoints_rate_limited,
        ),
        (
            "endpoints_rejection_limited",
            "Endpoints that fail if they must reject too many requests",
            readings.endpoints_rejection_limited,
        ),
        (
            "software_versions",
            "Most software versions that endpoints of one service run",
            readings.software_versions,
        ),
        (
            "services_unreachable",
            "Services of which this instance can't reach any endpoint",
            readings.services_unreachable,
        ),
        (
            "parts_suspected",
            "Parts of prompts that are suspected of crashing endpoints",
            readings.parts_suspected,
        ),
        (
            "requests_suspected",
            "Requests that are suspected of crashing endpoints",
            readings.requests_suspected,
        ),
        (
            "zones_evacuated",
            "Availability zones whose endpoints get no requests",
            readings.zones_evacuated,
        ),
    ):
        registry.callback_gauge(name, text, reading)


@dataclasses.dataclass(frozen=True)
class AnnouncementCounters:
    """Counters of answers by what they tell of their endpoint."""

    rate_limit: instruments.Counter
    rejection_limit: instruments.Counter
    leaving: instruments.Counter
    backoff: instruments.Counter


def announcement_counters(registry: metrics.Registry) -> AnnouncementCounters:
    """Return the counters of what answers tell; all exist from the start."""
    family = registry.counters(
        "endpoint_announcements_total",
        "Answers to requests that tell something of their endpoint, by what",
        ("kind",),
    )
    return AnnouncementCounters(
        family.labelled("rate-limit"),
        family.labelled("rejection-limit"),
        family.labelled("leaving"),
        family.labelled("backoff"),
    )


def notice_counters(registry: metrics.Registry) -> notice_recipients.Counters:
    """Return the counters of work notices; all exist from the start."""
    family = registry.counters(
        "work_notices_total",
        "Notices of large prompts to and from other cells, by what became of"
        " them",
        ("outcome",),
    )
    return notice_recipients.Counters(
        family.labelled("sent"),
        family.labelled("skipped"),
        family.labelled("received"),
        family.labelled("dropped"),
    )


def malformed_counter(
    registry: metrics.Registry,
) -> typing.Callable[[malformed.Kind], None]:
    """Return a function that counts malformed records by kind.

    All counters exist from the start, at 0.
    """
    family = registry.counters(
        "malformed_total",
        "Records and rows of others that could not be read, by kind",
        ("kind",),
    )
    counters = {kind: family.labelled(kind.value) for kind in malformed.Kind}
    return lambda kind: counters[kind].add()


def held_refusals(registry: metrics.Registry) -> instruments.Counter:
    """Return the counter of requests refused for bytes held."""
    return registry.counter(
        "held_bytes_refusals_total",
        "Requests refused since too many bytes of others were held",
    )


def callers_not_reading(registry: metrics.Registry) -> instruments.Counter:
    """Return the counter of callers whose connections were closed."""
    return registry.counter(
        "callers_not_reading_total",
        "Connections closed since their callers did not read",
    )


def loss_decisions(
    registry: metrics.Registry,
) -> labels.Family[instruments.Counter]:
    """Return the counters of decisions on lost requests."""
    return registry.counters(
        "request_losses_total",
        "Requests that were lost at an endpoint, by what was decided on them",
        ("decision",),
    )


def streams_taken_up(
    registry: metrics.Registry,
) -> labels.Family[instruments.Counter]:
    """Return the counters of streams that callers take up again."""
    return registry.counters(
        "streams_taken_up_total",
        "Streams that callers take up, by how their software is known",
        ("known_from",),
    )


def forwarding_metrics(registry: metrics.Registry) -> request_context.Metrics:
    """Return the counters and latencies of forwarding."""
    return request_context.Metrics(
        answers=registry.counters(
            "answers_total",
            "Requests of callers by how they ended",
            ("outcome",),
        ),
        sends=registry.counters(
            "sends_total",
            "Sends to endpoints by what became of them",
            ("outcome",),
        ),
        body_transfers=registry.counters(
            "transfers_total",
            "Answers of endpoints by the framing of the body and its end",
            ("framing", "end"),
        ),
        first_event_us=registry.latency(
            "first_event_us",
            "Time from a request to its stream's first event",
        ),
        answer_us=registry.latency(
            "answer_us", "Time from a request to the end of it"
        ),
    )


def queue_metrics(registry: metrics.Registry) -> queueing.Metrics:
    """Return the metrics of the queue of waiting requests."""
    return queueing.Metrics(
        waiting=registry.gauges(
            "queued_requests",
            "Requests that wait for capacity in the queue, by service",
            ("service",),
        ),
        ends=registry.counters(
            "queue_ends_total",
            "Requests by how their time in the queue ended",
            ("end",),
        ),
        wait_us=registry.latency(
            "queue_wait_us",
            "Time in the queue of requests that got no capacity at once",
        ),
    )
