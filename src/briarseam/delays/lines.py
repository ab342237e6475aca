"""The log lines that tell of a request's delays, validated."""

from __future__ import annotations

import dataclasses
import datetime
import typing

import msgspec

if typing.TYPE_CHECKING:
    import collections.abc

# Which lines are decoded at all: most others are of other kinds.
MARKS = ('"request_sent"', '"request_ended"', '"request_refused"')


class RequestSent(
    msgspec.Struct, frozen=True, tag_field="event", tag="request_sent"
):
    """A request was sent to an endpoint.

    Attributes
    ----------
    timestamp
        Of the instance's clock.
    process
        The instance.
    request
        The request's id.
    endpoint
        The endpoint's name, with its birth where it is known.
    requests_there
        Requests known to be at the endpoint, over all instances.
    tokens_waiting_there
        Prompt tokens known to wait there; ``None`` for a request without a
        prompt, as the three below.
    tokens_held, tokens_fetched, tokens_to_read
        Prompt tokens that the endpoint has, fetches and computes.
    fetch_late_ms
        Time after which what it fetches counts as late; 0 if it fetches
        nothing.
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


class RequestEnded(
    msgspec.Struct, frozen=True, tag_field="event", tag="request_ended"
):
    """A request that had a route ended.

    Attributes
    ----------
    timestamp, process, request
        As of `RequestSent`.
    route
        The kind of request.
    steps
        Each endpoint with what became of the send, in order.
    outcome
        What the caller got.
    took_ms
        Time from its arrival, in ms.
    memory_tokens
        Memory of an engine that its prompt and answer may take, in tokens;
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
        As of `RequestSent`; the id is empty where it could not be read.
    reason
        Word for the reason.
    """

    timestamp: datetime.datetime
    process: str
    request: str
    reason: str


Line = RequestSent | RequestEnded | RequestRefused
decoder = msgspec.json.Decoder(Line)


@dataclasses.dataclass
class RequestLines:
    """What was read of logs.

    Attributes
    ----------
    lines
        Lines about requests, in the order of their timestamps.
    undecodable
        Lines about requests that could not be decoded.
    """

    lines: list[Line]
    undecodable: int = 0


def read(documents: collections.abc.Iterable[str]) -> RequestLines:
    """Return the lines about requests among documents of logs."""
    found = RequestLines([])
    for text in documents:
        if not any(mark in text for mark in MARKS):
            continue
        try:
            found.lines.append(decoder.decode(text))
        except msgspec.DecodeError:
            found.undecodable += 1
    found.lines.sort(key=lambda line: line.timestamp)
    return found
