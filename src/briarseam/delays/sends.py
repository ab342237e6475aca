"""Joins the log lines of each request into sends and refusals."""

from __future__ import annotations

import dataclasses
import re
import typing

from briarseam.delays import lines

if typing.TYPE_CHECKING:
    import collections.abc

    Key = tuple[str, str]

FIRST_EVENT_PATTERN = re.compile(r" first=(\d+)ms$")
ANSWERED_PREFIX = "answered-"
REFUSED_PREFIX = "refused-"


@dataclasses.dataclass(frozen=True)
class Send:
    """One send of a request to an endpoint.

    Attributes
    ----------
    sent
        Log line of the send, with what was known at the time.
    route
        Name of the route; empty if the request's end is not in the logs.
    answered
        Whether the endpoint answered completely.
    sent_s
        Time of the send, in seconds since the epoch.
    first_ms
        Time to the first event, in ms; ``None`` if none was received or
        none is expected.
    ended_s
        Time of its end, in seconds since the epoch; ``None`` if that is not
        in the logs.
    """

    sent: lines.RequestSent
    route: str
    answered: bool
    sent_s: float
    first_ms: int | None
    ended_s: float | None


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A request that no endpoint answered.

    Attributes
    ----------
    at_s
        Time of the refusal, in seconds since the epoch.
    request
        Id of the request.
    route
        Name of the route; empty if the request was refused before it had
        one.
    reason
        Code of the reason.
    """

    at_s: float
    request: str
    route: str
    reason: str


@dataclasses.dataclass(frozen=True)
class Joined:
    """Sends and refusals, each in order of time."""

    sends: list[Send]
    refusals: list[Refusal]


def join(read: collections.abc.Iterable[lines.Line]) -> Joined:
    """Return the sends and refusals of log lines that are in order.

    Lines belong to the same request if their instance and their id are the
    same: a caller may use an id at several instances, but a retry at the
    same instance has another id.
    """
    joined = Joined([], [])
    open_sends: dict[Key, list[lines.RequestSent]] = {}
    for line in read:
        key = (line.process, line.request)
        match line:
            case lines.RequestSent():
                open_sends.setdefault(key, []).append(line)
            case lines.RequestEnded():
                sent = open_sends.pop(key, [])
                joined.sends.extend(ended_sends(sent, line))
                joined.refusals.extend(refusals_at_end(line))
            case lines.RequestRefused():
                joined.refusals.append(
                    Refusal(
                        line.timestamp.timestamp(),
                        line.request,
                        "",
                        line.reason,
                    )
                )
    for sent in open_sends.values():
        joined.sends.extend(map(unended_send, sent))
    joined.sends.sort(key=lambda send: send.sent_s)
    return joined


def ended_sends(
    sent: list[lines.RequestSent], ended: lines.RequestEnded
) -> collections.abc.Iterator[Send]:
    """Yield the sends of a request that ended, with their outcomes."""
    steps = iter(ended.steps)
    ends = [line.timestamp for line in sent[1:]] + [ended.timestamp]
    for line, end in zip(sent, ends, strict=False):
        step = next_step(steps, line.endpoint)
        first = FIRST_EVENT_PATTERN.search(step)
        yield Send(
            sent=line,
            route=ended.route,
            answered=step.startswith(ANSWERED_PREFIX),
            sent_s=line.timestamp.timestamp(),
            first_ms=int(first[1]) if first else None,
            ended_s=end.timestamp(),
        )


def next_step(steps: collections.abc.Iterator[str], endpoint: str) -> str:
    """Return the outcome of the next send to an endpoint; empty if none.

    Steps of no endpoint or of other endpoints, such as ``no-room``, are
    skipped.
    """
    for step in steps:
        if step.startswith(f"{endpoint}:"):
            return step.removeprefix(f"{endpoint}:")
    return ""


def unended_send(line: lines.RequestSent) -> Send:
    """Return a send whose request's end is not in the logs."""
    return Send(
        sent=line,
        route="",
        answered=False,
        sent_s=line.timestamp.timestamp(),
        first_ms=None,
        ended_s=None,
    )


def refusals_at_end(
    ended: lines.RequestEnded,
) -> collections.abc.Iterator[Refusal]:
    """Yield the refusal of a request that ended as refused."""
    if ended.outcome.startswith(REFUSED_PREFIX):
        yield Refusal(
            ended.timestamp.timestamp(),
            ended.request,
            ended.route,
            ended.outcome.removeprefix(REFUSED_PREFIX),
        )
