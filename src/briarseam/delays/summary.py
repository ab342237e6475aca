"""Statistics of sends and refusals by group."""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
import statistics
import typing

from briarseam.delays import unseen

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.delays import sends

MEDIAN = 0.5
TAIL = 0.95
UNKNOWN_ROUTE = "(unknown)"


class By(enum.StrEnum):
    """Property by which sends and refusals are grouped."""

    ROUTE = "route"
    SECOND = "second"
    ENDPOINT = "endpoint"


@dataclasses.dataclass(frozen=True)
class Group:
    """Statistics of the sends and refusals of one group.

    Attributes
    ----------
    name
        Route, endpoint or start of the time window, in seconds.
    sends
        Number of sends to endpoints.
    unanswered
        Number of sends that the endpoint did not answer completely.
    first_p50_ms, first_p95_ms
        Median and 95th percentile of the time to the first event, over sends
        that had one.
    fetch_due_p50_ms
        Median of the time after which fetched tokens count as late, over
        sends that fetch.
    fetch_overdue
        Number of sends whose first event came after their own such time.
    held, fetched, read
        Mean prompt tokens that the endpoint holds, fetches and computes for
        a send.
    unseen_requests, unseen_tokens
        Mean work at the endpoint beyond what was known, over the sends that
        had such work: requests, and prompt tokens to compute of requests
        without a first event.
    unseen_sends
        Number of sends with at least one unseen request.
    refused
        Number of requests refused.
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
    """Refusals of one route for one reason.

    Attributes
    ----------
    reason
        Code of the reason.
    route
        Name of the route.
    refused
        Number of requests refused.
    first_s, last_s
        Times of the first and last, in seconds since the first send or
        refusal.
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
    """Sends and refusals of one group."""

    sends: list[sends.Send]
    unseen: list[unseen.Unseen]
    refused: int = 0


@dataclasses.dataclass(frozen=True)
class Naming:
    """Naming of groups.

    Attributes
    ----------
    by
        Property by which sends and refusals are grouped.
    start_s
        Start of the first time window, in seconds since the epoch.
    window_s
        Length of a time window, in seconds.
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
        """Return the name of a refusal's group; ``None`` by endpoint."""
        match self.by:
            case By.ROUTE:
                return refusal.route or UNKNOWN_ROUTE
            case By.SECOND:
                return self.window(refusal.at_s)
            case By.ENDPOINT:
                return None

    def window(self, at_s: float) -> str:
        """Return the start of the window of a time, in seconds."""
        elapsed_s = at_s - self.start_s
        return f"{elapsed_s // self.window_s * self.window_s:g}"


def groups(joined: sends.Joined, by: By, window_s: float) -> list[Group]:
    """Return statistics of each group, in order of time or name.

    Parameters
    ----------
    joined
        Sends and refusals.
    by
        Property by which they are grouped; refusals have no endpoint.
    window_s
        Length of a time window, in seconds.
    """
    naming = Naming(by, first_time_s(joined), window_s)
    by_name: dict[str, Members] = collections.defaultdict(
        lambda: Members([], [])
    )
    unseen_work = unseen.unseen_work(joined.sends)
    for send, work in zip(joined.sends, unseen_work, strict=True):
        members = by_name[naming.of_send(send)]
        members.sends.append(send)
        members.unseen.append(work)
    for refusal in joined.refusals:
        name = naming.of_refusal(refusal)
        if name is not None:
            by_name[name].refused += 1
    return [
        summarize(name, by_name[name])
        for name in sorted(by_name, key=sort_key)
    ]


def first_time_s(joined: sends.Joined) -> float:
    """Return the time of the first send or refusal."""
    times = [send.sent_s for send in joined.sends]
    times.extend(refusal.at_s for refusal in joined.refusals)
    return min(times, default=0.0)


def sort_key(name: str) -> tuple[float, str]:
    """Return a sort key that puts numbers, in order, before names."""
    try:
        return float(name), ""
    except ValueError:
        return math.inf, name


def summarize(name: str, members: Members) -> Group:
    """Return the statistics of a group."""
    first = [
        send.first_ms for send in members.sends if send.first_ms is not None
    ]
    sent = [send.sent for send in members.sends]
    prompts = [line for line in sent if line.tokens_waiting_there is not None]
    due = [line.fetch_late_ms for line in prompts if line.tokens_fetched]
    requests = [work.requests for work in members.unseen if work.requests > 0]
    return Group(
        name=name,
        sends=len(members.sends),
        unanswered=sum(not send.answered for send in members.sends),
        first_p50_ms=quantile(first, MEDIAN),
        first_p95_ms=quantile(first, TAIL),
        fetch_due_p50_ms=quantile(due, MEDIAN),
        fetch_overdue=sum(map(is_overdue, members.sends)),
        held=mean([line.tokens_held for line in prompts]),
        fetched=mean([line.tokens_fetched for line in prompts]),
        read=mean([line.tokens_to_read for line in prompts]),
        unseen_sends=len(requests),
        unseen_requests=mean(requests),
        unseen_tokens=mean(
            [work.tokens for work in members.unseen if work.tokens > 0]
        ),
        refused=members.refused,
    )


def is_overdue(send: sends.Send) -> bool:
    """Return whether the first event came after the fetch was late."""
    return (
        send.sent.tokens_fetched > 0
        and send.first_ms is not None
        and send.first_ms > send.sent.fetch_late_ms
    )


def quantile(
    values: collections.abc.Sequence[float], share: float
) -> float | None:
    """Return the nearest-rank quantile; ``None`` without values."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[math.ceil(share * len(ordered)) - 1]


def mean(values: list[int]) -> float | None:
    """Return the mean; ``None`` without values."""
    return statistics.fmean(values) if values else None


def reasons(joined: sends.Joined) -> list[Reason]:
    """Return the refusals by reason and route, most frequent first."""
    start_s = first_time_s(joined)
    by_reason: dict[tuple[str, str], list[sends.Refusal]] = (
        collections.defaultdict(list)
    )
    for refusal in joined.refusals:
        by_reason[refusal.reason, refusal.route or UNKNOWN_ROUTE].append(
            refusal
        )
    return sorted(
        (
            Reason(
                reason,
                route,
                len(refusals),
                min(refusal.at_s for refusal in refusals) - start_s,
                max(refusal.at_s for refusal in refusals) - start_s,
                refusals[-1].request,
            )
            for (reason, route), refusals in by_reason.items()
        ),
        key=lambda reason: (-reason.refused, reason.reason, reason.route),
    )
