"""What callers and endpoints saw, held against what is promised."""

from __future__ import annotations

import enum
import math
import typing

from tests.platform import worker as workers
from tests.soak import announced
from tests.soak import callers
from tests.soak import crashes
from tests.soak import deadly
from tests.soak import faults
from tests.soak import isolation
from tests.soak import parts
from tests.soak import paths
from tests.soak import processes
from tests.soak import releases
from tests.soak import serving

from briarseam.eligibility import cold_starts

# Statuses that say that a request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
OK = 200
NOT_FOUND = 404
# Longest time from an acknowledged change until it is in force.
APPLY_S = 2.0
DRAIN_S = 2.0
# What an answer may take beyond the deadline, on a machine that runs
# sixteen processes on few cores.
LATE_S = 1.0
# An answer is due if its endpoint had it ready this long before the deadline.
READY_AHEAD_S = 0.5
# What an endpoint is at work on in the last sixth of the time to shut down
# may be cut off, if it came in the first 3/8.  With so much time the deadline
# of each such request passes before that.
PATIENT_S = callers.DEADLINE_MS / 1000 / (5 / 6 - 3 / 8)


class Unanswered(enum.StrEnum):
    """Why a request has no whole answer."""

    STRUCK = "its instance was paused or killed"
    NOT_READ = "its instance never read it"
    BROKEN_OFF = "its endpoint broke off"
    TOO_LATE = "its deadline passed"
    LOST = "lost"


def check(
    deployment: serving.Deployment, sent: list[callers.Sent]
) -> typing.Iterator[str]:
    """Yield each broken promise, one sentence each."""
    ran = deployment.ran()
    known = {one.id for one in sent}
    for request_id in ran.keys() - known:
        yield f"{describe(deployment, request_id)} that no caller sent"
    for one in sent:
        yield from check_request(deployment, one, ran.get(one.id, []))
        if deployment.shutdown_s >= PATIENT_S:
            yield from check_answered(deployment, one)
        if deployment.slots:
            yield from check_ready(deployment, one)
    by_id = {one.id: one for one in sent}
    yield from check_leaving(deployment, by_id)
    yield from check_evacuations(deployment, by_id)
    yield from check_cold(deployment)
    yield from announced.check(deployment, by_id)
    yield from crashes.check(deployment, sent)
    yield from parts.check(deployment, sent)
    yield from deadly.check(deployment, sent)
    yield from paths.check(deployment.path_cuts, sent)
    yield from isolation.check(deployment, sent)
    for instance in deployment.instances:
        yield from instance.killed


def describe(deployment: serving.Deployment, request_id: str) -> str:
    """Return where a request was run, and what it was."""
    found = [
        f"{worker.id} ran {request.method} /{'/'.join(request.path)} "
        f"with {sorted(request.headers)}"
        for worker in deployment.past
        for request in worker.arrived
        if request.headers.get("request-id", "") == request_id
    ]
    return f"{request_id!r}: {'; '.join(found)}"


def check_request(
    deployment: serving.Deployment, one: callers.Sent, ran_at: list[str]
) -> typing.Iterator[str]:
    """Yield what is broken about one request."""
    name = f"{one.id} ({one.kind.name} at {one.instance.name})"
    if one.kind.once and len(ran_at) > 1:
        yield f"{name} ran at {ran_at}"
    if one.kind.once and one.status in NOT_RUN and ran_at:
        yield f"{name} was told {one.status} and ran at {ran_at}"
    looks_whole = one.whole and not may_be_cut_by_kill(one)
    if one.kind is releases.TAKEN_UP:
        # Checked with the requests that began its stream.
        pass
    elif one.status == OK and looks_whole:
        yield from check_success(one, name, ran_at)
    elif one.status == OK and one.kind.stream:
        yield from check_part(one, name)
    limit_s = callers.DEADLINE_MS / 1000 + LATE_S
    limit_s += one.read_pause_s
    limit_s += deployment.stall_watch.stalled_s(one.sent_s, one.ended_s)
    calm = one.instance.troubled_until < one.sent_s
    if calm and one.ended_s - one.sent_s > limit_s:
        took_s = one.ended_s - one.sent_s
        yield f"{name} took {took_s:.1f} s: {one.status} {one.detail}"


def may_be_cut_by_kill(one: callers.Sent) -> bool:
    """Tell whether the end of a process may look like that of an answer.

    When a process is killed, its kernel closes connections in order, and
    streams to callers of HTTP/1.0 have neither a length nor chunks.
    """
    return one.version == "1.0" and one.kind.stream and is_struck(one)


def check_success(
    one: callers.Sent, name: str, ran_at: list[str]
) -> typing.Iterator[str]:
    """Yield what is broken about an answer that looks good."""
    if one.echo != one.id:
        yield f"{name} got the answer to {one.echo!r}"
    if one.signature != workers.SIGNATURE:
        yield f"{name} got a success that no endpoint signed"
    expected = {f"{worker} did it".encode() for worker in ran_at}
    body = one.body
    if one.kind.stream:
        expected = {stream_of(range(1, serving.EVENTS + 1))}
        body = with_lf(body)
    if body not in expected:
        yield (
            f"{name} got {one.body!r} as complete by HTTP/{one.version}, and "
            f"not {expected}"
        )


def check_part(one: callers.Sent, name: str) -> typing.Iterator[str]:
    """Yield a stream that was broken off and is no beginning of the whole."""
    whole = stream_of(range(1, serving.EVENTS + 1))
    if not whole.startswith(with_lf(one.body).removesuffix(b"\n")):
        yield f"{name} got {one.body!r} before the stream was broken off"


def stream_of(numbers: typing.Iterable[int]) -> bytes:
    """Return the bytes of some events."""
    return "".join(map(workers.EVENT.format, numbers)).encode()


def with_lf(body: bytes) -> bytes:
    """Return a stream with LF only, and without the endpoints' versions."""
    body = body.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
    return releases.stream_without_versions(body)


def check_answered(
    deployment: serving.Deployment, one: callers.Sent
) -> typing.Iterator[str]:
    """Yield a request that was taken and is without a whole answer."""
    if one.whole or why_unanswered(deployment, one) != Unanswered.LOST:
        return
    since = [
        f"{one.sent_s - at:.3f} s after SIGTERM "
        for at in one.instance.stopped
        if at <= one.ended_s
    ]
    yield (
        f"{one.id} ({one.kind.name} at {one.instance.name}), sent "
        f"{''.join(since[-1:])}and taken, got no whole answer in "
        f"{one.ended_s - one.sent_s:.3f} s: {one.detail}"
    )


def check_ready(
    deployment: serving.Deployment, one: callers.Sent
) -> typing.Iterator[str]:
    """Yield an answer that was ready in time and was not delivered."""
    ready_s = min(
        worker.ready_s.get(one.id, math.inf) for worker in deployment.past
    )
    # The deadline includes the time in which the caller does not read.
    read_s = max(one.sent_s, one.answered_s) + one.read_pause_s
    due_s = one.sent_s + callers.DEADLINE_MS / 1000 - READY_AHEAD_S
    if (one.whole and one.status == OK) or max(ready_s, read_s) > due_s:
        return
    excuses = (Unanswered.STRUCK, Unanswered.BROKEN_OFF)
    if why_unanswered(deployment, one) not in excuses:
        yield (
            f"{one.id} ({one.kind.name} at {one.instance.name}) was ready "
            f"after {ready_s - one.sent_s:.2f} s, and its caller was told "
            f"{one.status} after {one.ended_s - one.sent_s:.2f} s: "
            f"{one.detail}"
        )


def why_unanswered(
    deployment: serving.Deployment, one: callers.Sent
) -> Unanswered:
    """Return why a request has no whole answer."""
    took = [
        endpoint
        for endpoint in deployment.endpoints
        if one.id in endpoint.link.seen
    ]
    if is_struck(one):
        return Unanswered.STRUCK
    if not one.is_read() and not took:
        return Unanswered.NOT_READ
    if one.ended_s - one.sent_s >= callers.DEADLINE_MS / 1000:
        return Unanswered.TOO_LATE
    if any(broke_off(deployment, endpoint, one) for endpoint in took):
        return Unanswered.BROKEN_OFF
    return Unanswered.LOST


def is_struck(one: callers.Sent) -> bool:
    """Tell whether a request's instance was paused or killed by then."""
    return any(
        began_s < one.ended_s and ended_s + faults.STABLE_S > one.sent_s
        for began_s, ended_s in one.instance.struck
    )


def broke_off(
    deployment: serving.Deployment,
    endpoint: serving.Endpoint,
    one: callers.Sent,
) -> bool:
    """Tell whether an endpoint that got a request broke off."""
    link = endpoint.link
    return any(one.id in worker.broke for worker in deployment.past) or any(
        link.seen[one.id] <= reset_s <= one.ended_s for reset_s in link.resets
    )


def check_leaving(
    deployment: serving.Deployment, sent: dict[str, callers.Sent]
) -> typing.Iterator[str]:
    """Yield requests sent on to endpoints that had left long before."""
    for endpoint in deployment.endpoints:
        for worker in deployment.past:
            left_s = endpoint.left.get(worker.id)
            if left_s is None:
                continue
            for request_id in worker.ran:
                one = sent.get(request_id)
                if one is None or one.sent_s < left_s + DRAIN_S:
                    continue
                if is_calm(deployment, one, left_s):
                    yield (
                        f"{request_id} reached {worker.id} "
                        f"{one.sent_s - left_s:.1f} s after it left"
                    )


def check_evacuations(
    deployment: serving.Deployment, sent: dict[str, callers.Sent]
) -> typing.Iterator[str]:
    """Yield requests that reached a zone long after its evacuation began."""
    for evacuation in deployment.evacuations:
        in_force_s = evacuation.began_s + processes.EVACUATION_MS / 1000
        for worker in deployment.past:
            if deployment.zones[worker.id] != evacuation.zone:
                continue
            for request_id in worker.ran:
                one = sent.get(request_id)
                if one is None or one.sent_s < in_force_s:
                    continue
                late = one.ended_s < evacuation.ended_s
                if late and is_calm(deployment, one, evacuation.began_s):
                    yield (
                        f"{request_id} reached {worker.id} "
                        f"{one.sent_s - evacuation.began_s:.1f} s after the "
                        f"evacuation of {evacuation.zone}"
                    )


def check_cold(deployment: serving.Deployment) -> typing.Iterator[str]:
    """Yield cold endpoints that got more requests than they bear."""
    limits = cold_starts.Limits()
    bound = serving.COLD_PER_S * limits.factor + limits.slack
    for worker in deployment.past:
        for since_s in deployment.cold_since.get(worker.id, ()):
            until_s = since_s + serving.COLD_START_S
            times = [at for at in worker.arrived_s if since_s <= at < until_s]
            most = max(
                (sum(first <= at < first + 1.0 for at in times))
                for first in (*times, since_s)
            )
            if most > bound:
                yield f"{worker.id} got {most} requests in a second while cold"


def is_calm(
    deployment: serving.Deployment, one: callers.Sent, since_s: float
) -> bool:
    """Tell whether nothing excuses an instance since a moment.

    The latest fault alone is known, so earlier requests may be excused too
    often, never too seldom.
    """
    latest = max(one.instance.troubled_until, deployment.store_troubled_until)
    return latest < since_s


def check_configuration(
    deployment: serving.Deployment, one: callers.Sent
) -> typing.Iterator[str]:
    """Yield how a request on the changing route was handled wrongly.

    Call it right after the answer: what excuses an instance is known then.
    """
    changes = list(deployment.configured)
    last_s, toggled = changes[-1]
    in_force = one.sent_s > last_s + APPLY_S
    if not in_force or not is_calm(deployment, one, one.sent_s):
        return
    if toggled == (one.status == NOT_FOUND):
        yield (
            f"{one.id} at {one.instance.name} was told {one.status} "
            f"{one.sent_s - last_s:.1f} s after the route "
            f"{'came' if toggled else 'went'}"
        )
