"""Joining log lines into sends and refusals."""

from __future__ import annotations

import dataclasses
import re
import typing

from briarseam.delays import lines

if typing.TYPE_CHECKING:
    import collections.abc

    Key = tuple[str, str]

FIRST_EVENT = re.compile(r" first=(\d+)ms$")
ANSWERED = "answered-"
REFUSED = "refused-"


@dataclasses.dataclass(frozen=True)
class Send:
    """One send of a request to an endpoint.

    Attributes
    ----------
    sent
        What was known when it was sent.
    route
        The kind of request; empty if its end is not in the logs.
    answered
        Whether the endpoint answered to the end.
    sent_s
        When it was sent, in seconds since the epoch.
    first_ms
        Time to the first event; ``None`` if none came or none is expected.
    ended_s
        When it had ended, in seconds since the epoch; ``None`` if that is
        not in the logs.
    """

    sent: lines.RequestSent
    route: str
    answered: bool
    sent_s: float
    first_ms: int | None
    ended_s: float | None


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A request that got no answer of an endpoint.

    Attributes
    ----------
    at_s
        When, in seconds since the epoch.
    request
        The request's id.
    route
        The kind of request; empty if it was refused before it had one.
    reason
        Word for the reason.
    """

    at_s: float
    request: str
    route: str
    reason: str


@dataclasses.dataclass(frozen=True)
class Joined:
    """All sends and refusals of some logs, each in order of time."""

    sends: list[Send]
    refusals: list[Refusal]


def join(read: collections.abc.Iterable[lines.Line]) -> Joined:
    """Return the sends and refusals that lines in order tell of.

    A request's lines are of one instance: a caller that asks again does so
    under another id, but may use the same one at another instance.
    """
    found = Joined([], [])
    open_sends: dict[Key, list[lines.RequestSent]] = {}
    for line in read:
        key = (line.process, line.request)
        match line:
            case lines.RequestSent():
                open_sends.setdefault(key, []).append(line)
            case lines.RequestEnded():
                sent = open_sends.pop(key, [])
                found.sends.extend(ended_sends(sent, line))
                found.refusals.extend(refusals_of(line))
            case lines.RequestRefused():
                found.refusals.append(
                    Refusal(
                        line.timestamp.timestamp(),
                        line.request,
                        "",
                        line.reason,
                    )
                )
    for sent in open_sends.values():
        found.sends.extend(map(unended_send, sent))
    found.sends.sort(key=lambda send: send.sent_s)
    return found


def ended_sends(
    sent: list[lines.RequestSent], ended: lines.RequestEnded
) -> collections.abc.Iterator[Send]:
    """Yield the sends of a request that ended, with their steps."""
    steps = iter(ended.steps)
    ends = [line.timestamp for line in sent[1:]] + [ended.timestamp]
    for line, end in zip(sent, ends, strict=False):
        step = next_step(steps, line.endpoint)
        first = FIRST_EVENT.search(step)
        yield Send(
            sent=line,
            route=ended.route,
            answered=step.startswith(ANSWERED),
            sent_s=line.timestamp.timestamp(),
            first_ms=int(first[1]) if first else None,
            ended_s=end.timestamp(),
        )


def next_step(steps: collections.abc.Iterator[str], endpoint: str) -> str:
    """Return what became of the next send to an endpoint, empty if unsaid.

    Steps without an endpoint, as ``no-room``, are passed over.
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


def refusals_of(
    ended: lines.RequestEnded,
) -> collections.abc.Iterator[Refusal]:
    """Yield a request that ended as the refusal that it was, if so."""
    if ended.outcome.startswith(REFUSED):
        yield Refusal(
            ended.timestamp.timestamp(),
            ended.request,
            ended.route,
            ended.outcome.removeprefix(REFUSED),
        )
