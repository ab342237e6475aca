"""Decoding and validation of the log lines about requests."""

from __future__ import annotations

import dataclasses
import datetime
import typing

import msgspec

if typing.TYPE_CHECKING:
    import collections.abc

# Only lines that contain one of these are decoded; most lines contain none.
EVENT_MARKERS = ('"request_sent"', '"request_ended"', '"request_refused"')


class RequestSent(
    msgspec.Struct, frozen=True, tag_field="event", tag="request_sent"
):
    """A request was sent to an endpoint.

    Attributes
    ----------
    timestamp
        Time by the clock of the instance.
    process
        Name of the instance.
    request
        Id of the request.
    endpoint
        Name of the endpoint, with the time of its start if that is known.
    requests_there
        Known requests of all instances at the endpoint.
    tokens_waiting_there
        Known prompt tokens that wait at the endpoint; ``None`` for a request
        without a prompt.
    tokens_held, tokens_fetched, tokens_to_read
        Prompt tokens that the endpoint holds, fetches and computes; 0 for a
        request without a prompt.
    fetch_late_ms
        Time after which the fetched tokens count as late, in ms; 0 if the
        endpoint fetches none.
    predicted_first_ms
        Predicted time to the first event, in ms; ``None`` if endpoints were
        not compared by predicted times.
    endpoint_ratio
        Ratio of actual to predicted times that was assumed for the endpoint.
    expected_late
        Expected number of answers that are late because of the request.
    """

    timestamp: datetime.datetime
    process: str
    request: str
    endpoint: str
    requests_there: int
    tokens_waiting_there: int | None = None
    tokens_held: int = 0
    tokens_fetched: int = 0
    tokens_to_read: int = 0
    fetch_late_ms: int = 0
    predicted_first_ms: int | None = None
    endpoint_ratio: float = 1.0
    expected_late: float = 0.0


class RequestEnded(
    msgspec.Struct, frozen=True, tag_field="event", tag="request_ended"
):
    """A request that had a route ended.

    Attributes
    ----------
    timestamp, process, request
        As of `RequestSent`.
    route
        Name of the route.
    steps
        Endpoint and outcome of each send, in order; other steps, such as
        ``no-room``, name no endpoint.
    outcome
        Outcome for the caller.
    took_ms
        Time since the arrival of the request, in ms.
    memory_tokens
        Engine memory that the prompt and answer may take, in tokens;
        ``None`` for a request without a prompt.
    """

    timestamp: datetime.datetime
    process: str
    request: str
    route: str
    steps: tuple[str, ...]
    outcome: str
    took_ms: int
    memory_tokens: int | None = None


class RequestRefused(
    msgspec.Struct, frozen=True, tag_field="event", tag="request_refused"
):
    """A request was refused before it had a route.

    Attributes
    ----------
    timestamp, process, request
        As of `RequestSent`; the id is empty if it could not be read.
    reason
        Code of the reason.
    """

    timestamp: datetime.datetime
    process: str
    request: str
    reason: str


Line = RequestSent | RequestEnded | RequestRefused
decoder = msgspec.json.Decoder(Line)


@dataclasses.dataclass
class RequestLines:
    """Log lines about requests.

    Attributes
    ----------
    lines
        Decoded lines, in the order of their timestamps.
    undecodable
        Number of lines that could not be decoded.
    """

    lines: list[Line]
    undecodable: int = 0


def read(documents: collections.abc.Iterable[str]) -> RequestLines:
    """Return the lines about requests of JSON log lines."""
    result = RequestLines([])
    for text in documents:
        if not any(marker in text for marker in EVENT_MARKERS):
            continue
        try:
            result.lines.append(decoder.decode(text))
        except msgspec.DecodeError:
            result.undecodable += 1
    result.lines.sort(key=lambda line: line.timestamp)
    return result
