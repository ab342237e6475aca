"""What endpoints said of themselves in answers, and what they got after."""

from __future__ import annotations

import collections
import dataclasses
import typing

from tests.platform import worker as workers
from tests.soak import callers
from tests.soak import serving

# What all instances together may send to an endpoint that limits its rate.
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5.0
LIMIT_SPAN_S = 4.0
# From then on after the endpoint first named the limit.
LIMIT_SETTLE_S = 3.0
# An instance that was told keeps to it from then on.
TOLD_S = 0.5
DRAIN_S = 2.0
MOST_IN_BACKOFF = 2
# Failures by rejections in one time, for all endpoints of a service.
ALLOWED_FALLS = 2
ALLOWED_FALLS_SHARE = 0.1

SentById = typing.Mapping[str, callers.Sent]


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that reached an endpoint.

    Attributes
    ----------
    sent
        The request.
    at_s
        When it came to the endpoint's link, which may hold it up.
    answered
        Whether its caller got this endpoint's answer, and no other's.
    """

    sent: callers.Sent
    at_s: float
    answered: bool


def check(
    deployment: serving.Deployment, sent: SentById
) -> typing.Iterator[str]:
    """Yield each broken promise, one sentence each."""
    for one in deployment.fragile:
        yield from check_falls(one)
    for worker in deployment.past:
        got = arrivals(deployment, worker, sent)
        for limit in deployment.limits:
            if limit.worker == worker.id:
                yield from check_limit(limit, got)
        yield from check_leaving(worker.id, got)
        yield from check_backoffs(worker, got, sent)


def check_falls(fragile: serving.Fragile) -> typing.Iterator[str]:
    """Yield a time in which too many endpoints failed by rejections."""
    falls = [
        fall for one in fragile.workers for fall in falls_of(fragile, one)
    ]
    allowed = ALLOWED_FALLS + ALLOWED_FALLS_SHARE * len(fragile.workers)
    if len(falls) > allowed:
        yield (
            f"endpoints that may reject {fragile.per_s} in a second rejected "
            f"more {len(falls)} times: {falls}"
        )


def falls_of(
    fragile: serving.Fragile, worker: workers.Worker
) -> typing.Iterator[str]:
    """Yield each second in which an endpoint rejected more than it may."""
    times = [
        at
        for at in worker.turned_away_s
        if fragile.began_s + LIMIT_SETTLE_S <= at < fragile.ended_s
    ]
    while times:
        burst = [at for at in times if at < times[0] + 1.0]
        if len(burst) > fragile.per_s:
            yield f"{worker.id} {len(burst)}"
            times = [at for at in times if at >= times[0] + 1.0]
        else:
            times = times[1:]


def arrivals(
    deployment: serving.Deployment, worker: workers.Worker, sent: SentById
) -> list[Arrival]:
    """Return the callers' requests that an endpoint got, by time."""
    ran = deployment.ran()
    found = []
    for request in worker.arrived:
        one = sent.get(request.headers.get("request-id", ""))
        if one is None or not worker.is_addressed(request):
            continue
        times = [
            endpoint.link.seen[one.id]
            for endpoint in deployment.endpoints
            if one.id in endpoint.link.seen
        ]
        answered = ran.get(one.id) == [worker.id]
        found.append(Arrival(one, min(times), answered))
    return sorted(found, key=lambda arrival: arrival.at_s)


def count(
    deployment: serving.Deployment, sent: typing.Iterable[callers.Sent]
) -> dict[str, int]:
    """Return the answers by what they said of their endpoint."""
    found = collections.Counter(
        backoff=sum(len(worker.backoffs) for worker in deployment.past)
    )
    for one in sent:
        found.update(limit=bool(one.limit), leaving=one.leaving)
    return {name: number for name, number in found.items() if number}


def check_limit(
    limit: serving.Limit, got: list[Arrival]
) -> typing.Iterator[str]:
    """Yield a span in which all instances together exceeded a limit."""
    told_s = first_answers(
        one.sent
        for one in got
        if one.answered
        and one.sent.limit
        and limit.began_s <= one.sent.answered_s < limit.ended_s
    )
    settled_s = max(limit.first_s + LIMIT_SETTLE_S, limit.began_s)
    times = [
        one.at_s
        for one in got
        if settled_s <= one.at_s < limit.ended_s
        and is_bound(one, limit.began_s, told_s)
    ]
    bound = LIMIT_FACTOR * limit.per_s * LIMIT_SPAN_S + LIMIT_SLACK
    most = max(
        (sum(first <= at < first + LIMIT_SPAN_S for at in times))
        for first in (*times, settled_s)
    )
    if most > bound:
        yield (
            f"{limit.worker} had named {limit.per_s:g}/s and got {most} "
            f"requests in {LIMIT_SPAN_S:g} s"
        )


def first_answers(
    answers: typing.Iterable[callers.Sent],
) -> dict[str, float]:
    """Return when each instance first passed on one of some answers."""
    found: dict[str, float] = {}
    for one in answers:
        name = one.instance.name
        found[name] = min(found.get(name, one.answered_s), one.answered_s)
    return found


def is_bound(
    arrival: Arrival, since_s: float, told_s: dict[str, float]
) -> bool:
    """Tell whether an instance had been told, and nothing excuses it."""
    instance = arrival.sent.instance
    heard_s = told_s.get(instance.name, float("inf"))
    return arrival.at_s >= heard_s + TOLD_S and not instance.restarted_since(
        since_s
    )


def check_leaving(worker: str, got: list[Arrival]) -> typing.Iterator[str]:
    """Yield requests that reached an endpoint long after it said it leaves."""
    told_s = first_answers(
        one.sent for one in got if one.answered and one.sent.leaving
    )
    for one in got:
        instance = one.sent.instance
        heard_s = told_s.get(instance.name, float("inf"))
        late = one.sent.sent_s >= heard_s + DRAIN_S
        if late and not instance.restarted_since(heard_s):
            yield (
                f"{one.sent.id} reached {worker} "
                f"{one.sent.sent_s - heard_s:.1f} s after {instance.name} "
                "passed on that it leaves"
            )


def check_backoffs(
    worker: workers.Worker, got: list[Arrival], sent: SentById
) -> typing.Iterator[str]:
    """Yield instances that sent too much during a backoff."""
    asked_s = {one.sent.id: one.at_s for one in got}
    for request_id, backoff_s in worker.backoffs.items():
        told = sent.get(request_id)
        if told is None or not told.whole:
            continue
        end_s = asked_s[request_id] + backoff_s
        meanwhile = [
            one
            for one in got
            if one.sent.instance is told.instance
            and told.ended_s + TOLD_S <= one.at_s < end_s
        ]
        excused = told.instance.restarted_since(asked_s[request_id])
        if len(meanwhile) > MOST_IN_BACKOFF and not excused:
            yield (
                f"{worker.id} asked {told.instance.name} for {backoff_s:g} s "
                f"without requests and got {len(meanwhile)}"
            )
            return
