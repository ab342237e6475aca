"""Sends and refusals in groups, with what describes each group."""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
import statistics
import typing

from briarseam.delays import unseen

if typing.TYPE_CHECKING:
    from briarseam.delays import sends

MEDIAN = 0.5
TAIL = 0.95
UNKNOWN_ROUTE = "(unknown)"


class By(enum.StrEnum):
    """What groups are made of."""

    ROUTE = "route"
    SECOND = "second"
    ENDPOINT = "endpoint"


@dataclasses.dataclass(frozen=True)
class Group:
    """Sends and refusals that have something in common.

    Attributes
    ----------
    name
        Route, endpoint or first second of the group.
    sends
        Sends to endpoints.
    unanswered
        Those that the endpoint did not answer to the end.
    first_p50_ms, first_p95_ms
        Time to the first event, for sends that had one.
    fetch_due_p50_ms
        Time after which fetched tokens count as late, for sends that fetch.
    fetch_overdue
        Sends whose first event came after that.
    held, fetched, read
        Prompt tokens of a send on average: held, fetched and computed.
    unseen_requests, unseen_tokens
        Work at the endpoint beyond what was known, on average of the sends
        that there was more for; tokens to compute without a first event.
    unseen_sends
        Sends with a request unseen or more.
    refused
        Requests refused.
    """

    name: str
    sends: int
    unanswered: int
    first_p50_ms: float | None
    first_p95_ms: float | None
    fetch_due_p50_ms: float | None
    fetch_overdue: int
    held: float | None
    fetched: float | None
    read: float | None
    unseen_sends: int
    unseen_requests: float | None
    unseen_tokens: float | None
    refused: int


@dataclasses.dataclass(frozen=True)
class Reason:
    """Refusals for one reason.

    Attributes
    ----------
    reason
        Word for it.
    route
        The kind of request.
    refused
        How many.
    first_s, last_s
        When, in seconds since the first line.
    example
        Id of the last request.
    """

    reason: str
    route: str
    refused: int
    first_s: float
    last_s: float
    example: str


@dataclasses.dataclass
class Members:
    """What belongs to one group."""

    sends: list[sends.Send]
    unseen: list[unseen.Unseen]
    refused: int = 0


@dataclasses.dataclass(frozen=True)
class Naming:
    """How groups are named.

    Attributes
    ----------
    by
        What groups are made of.
    start_s
        Time from which seconds are counted, in seconds since the epoch.
    window_s
        Length of a group by time, in seconds.
    """

    by: By
    start_s: float
    window_s: float

    def of_send(self, send: sends.Send) -> str:
        """Return the name of a send's group."""
        match self.by:
            case By.ROUTE:
                return send.route or UNKNOWN_ROUTE
            case By.SECOND:
                return self.window(send.sent_s)
            case By.ENDPOINT:
                return send.sent.endpoint

    def of_refusal(self, refusal: sends.Refusal) -> str | None:
        """Return the name of a refusal's group; it has no endpoint."""
        match self.by:
            case By.ROUTE:
                return refusal.route or UNKNOWN_ROUTE
            case By.SECOND:
                return self.window(refusal.at_s)
            case By.ENDPOINT:
                return None

    def window(self, at_s: float) -> str:
        """Return the second at which a time's window begins."""
        since_s = at_s - self.start_s
        return f"{since_s // self.window_s * self.window_s:g}"


def groups(joined: sends.Joined, by: By, window_s: float) -> list[Group]:
    """Return the groups of sends and refusals, by name or time.

    Parameters
    ----------
    joined
        Sends and refusals.
    by
        What groups are made of; refusals have no endpoint.
    window_s
        Length of a group by time, in seconds.
    """
    naming = Naming(by, beginning_s(joined), window_s)
    found: dict[str, Members] = collections.defaultdict(
        lambda: Members([], [])
    )
    unseen_work = unseen.find(joined.sends)
    for send, missing in zip(joined.sends, unseen_work, strict=True):
        members = found[naming.of_send(send)]
        members.sends.append(send)
        members.unseen.append(missing)
    for refusal in joined.refusals:
        name = naming.of_refusal(refusal)
        if name is not None:
            found[name].refused += 1
    return [summarize(name, found[name]) for name in sorted(found, key=order)]


def beginning_s(joined: sends.Joined) -> float:
    """Return the time of the first send or refusal."""
    times = [send.sent_s for send in joined.sends]
    times.extend(refusal.at_s for refusal in joined.refusals)
    return min(times, default=0.0)


def order(name: str) -> tuple[float, str]:
    """Return a key by which numbers stand in order before names."""
    try:
        return float(name), ""
    except ValueError:
        return math.inf, name


def summarize(name: str, members: Members) -> Group:
    """Return what describes a group."""
    first = [one.first_ms for one in members.sends if one.first_ms is not None]
    sent = [one.sent for one in members.sends]
    prompts = [one for one in sent if one.tokens_waiting_there is not None]
    due = [one.fetch_late_ms for one in prompts if one.tokens_fetched]
    requests = [one.requests for one in members.unseen if one.requests > 0]
    return Group(
        name=name,
        sends=len(members.sends),
        unanswered=sum(not one.answered for one in members.sends),
        first_p50_ms=quantile(first, MEDIAN),
        first_p95_ms=quantile(first, TAIL),
        fetch_due_p50_ms=quantile(due, MEDIAN),
        fetch_overdue=sum(map(is_overdue, members.sends)),
        held=mean([one.tokens_held for one in prompts]),
        fetched=mean([one.tokens_fetched for one in prompts]),
        read=mean([one.tokens_to_read for one in prompts]),
        unseen_sends=len(requests),
        unseen_requests=mean(requests),
        unseen_tokens=mean(
            [one.tokens for one in members.unseen if one.tokens > 0]
        ),
        refused=members.refused,
    )


def is_overdue(send: sends.Send) -> bool:
    """Return whether a send that fetches had its first event too late."""
    return (
        send.sent.tokens_fetched > 0
        and send.first_ms is not None
        and send.first_ms > send.sent.fetch_late_ms
    )


def quantile(values: list[int], share: float) -> float | None:
    """Return a value that a share of all do not exceed, none of none."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[math.ceil(share * len(ordered)) - 1]


def mean(values: list[int]) -> float | None:
    """Return the mean, none of none."""
    return statistics.fmean(values) if values else None


def reasons(joined: sends.Joined) -> list[Reason]:
    """Return the refusals by reason and route, most frequent first."""
    start_s = beginning_s(joined)
    found: dict[tuple[str, str], list[sends.Refusal]] = (
        collections.defaultdict(list)
    )
    for refusal in joined.refusals:
        found[refusal.reason, refusal.route or UNKNOWN_ROUTE].append(refusal)
    return sorted(
        (
            Reason(
                reason,
                route,
                len(refusals),
                min(one.at_s for one in refusals) - start_s,
                max(one.at_s for one in refusals) - start_s,
                refusals[-1].request,
            )
            for (reason, route), refusals in found.items()
        ),
        key=lambda one: (-one.refused, one.reason, one.route),
    )
