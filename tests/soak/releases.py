"""Endpoints of several software versions, and streams taken up again."""

from __future__ import annotations

import dataclasses
import re
import typing

from tests.platform import worker as workers
from tests.soak import callers
from tests.soak import raw_callers

if typing.TYPE_CHECKING:
    from tests.soak import processes
    from tests.soak import serving

VERSIONS = ("v1", "v1", "v1.1")
VERSION_LINE = re.compile(rb"^: (v[\d.]+)\r?\n", re.MULTILINE)
EVENT_ID = re.compile(rb"^id: (\d+)", re.MULTILINE)
# How long a stream takes, so that kills strike in the middle.
STREAM_MS = 360
TRIES = 4
TAKE_UP_PAUSE_S = (0.02, 0.6)
TAKEN_UP = callers.Kind("taken-up", "POST", "/draft/x", stream=True)
# Streams that may mix versions, by the promise.
ALLOWED_MIXED = 2
# The share that goes on is held against new streams from so many on.
MIN_TAKEN_UP = 12
MIN_SHARE = 0.5
MIN_ENGINES = 2
# Within which instances learn that an endpoint has come or gone.
KNOWN_S = 3.0
OK = 200


class VersionedWorker(workers.Worker):
    """Endpoint that may name its software version in each event."""

    def __init__(
        self, id: str, listen: str, born: int | None, version: str
    ) -> None:
        super().__init__(id, listen, born)
        self.version = version
        self.names_version = False

    def start_fields(self) -> dict[str, typing.Any]:
        """Return the start time and version as fields of entries."""
        return {**super().start_fields(), "version": self.version}

    def event(self, number: int) -> bytes:
        """Return one event of a stream."""
        event = super().event(number)
        if not self.names_version:
            return event
        # Not the first line: an event that is cut after a comment is none.
        first, rest = event.split(b"\n", 1)
        return b"\n".join((first, f": {self.version}".encode(), rest))


@dataclasses.dataclass
class ServingPeriod:
    """Time in which an endpoint ran one version and took new work."""

    version: str
    began_s: float
    ended_s: float = float("inf")


@dataclasses.dataclass
class TakenUpStream:
    """A stream over all requests of its caller."""

    begun: callers.Sent
    tries: list[callers.Sent] = dataclasses.field(default_factory=list)

    def all(self) -> list[callers.Sent]:
        """Return all requests, the first one first."""
        return [self.begun, *self.tries]

    def events(self) -> bytes:
        """Return all whole events."""
        return b"".join(whole_events(one) for one in self.all())

    def version(self) -> str:
        """Return the version that began it; empty if unknown."""
        return min(versions_of(self.begun), default=b"").decode()


class TakingUpCaller(raw_callers.RawCaller):
    """A caller that takes a stream up again, at any instance."""

    def __init__(self, *args: typing.Any) -> None:
        super().__init__(*args)
        self.taken: list[TakenUpStream] = []

    def send(
        self, kind: callers.Kind, instance: processes.Instance
    ) -> callers.Sent:
        """Send a request; take its stream up again while it is broken."""
        sent = super().send(kind, instance)
        if kind.name != "draft" or sent.whole or not whole_events(sent):
            return sent
        taken = TakenUpStream(sent)
        self.taken.append(taken)
        for _ in range(TRIES):
            self.stopping.wait(self.random.uniform(*TAKE_UP_PAUSE_S))
            last = super().send(TAKEN_UP, self.random.choice(self.instances))
            taken.tries.append(last)
            if last.whole and last.status == OK:
                break
        return sent

    def request_of(
        self, sent: callers.Sent
    ) -> tuple[dict[str, str], bytes | None]:
        """Return the headers and the body of a request."""
        headers, body = super().request_of(sent)
        if sent.kind is TAKEN_UP:
            taken = self.taken[-1]
            headers["Resumes"] = taken.begun.id
            headers["Last-Event-Id"] = EVENT_ID.findall(taken.events())[
                -1
            ].decode()
        return headers, body


def whole_events(sent: callers.Sent) -> bytes:
    """Return the whole events that an answer brought."""
    if sent.status != OK:
        return b""
    head, separator, _rest = sent.body.rpartition(b"\n\n")
    return head + separator


def versions_of(sent: callers.Sent) -> set[bytes]:
    """Return the versions whose events an answer has."""
    return set(VERSION_LINE.findall(whole_events(sent)))


def check(
    deployment: serving.Deployment,
    sent: list[callers.Sent],
    taken: list[TakenUpStream],
) -> typing.Iterator[str]:
    """Yield each broken promise, one sentence each."""
    chains = {one.begun.id: one.all() for one in taken}
    mixed = [
        describe(chains.get(one.id, [one]))
        for one in sent
        if one.kind is not TAKEN_UP
        and len(set().union(*map(versions_of, chains.get(one.id, [one])))) > 1
    ]
    if len(mixed) > ALLOWED_MIXED:
        yield f"streams with events of two versions: {mixed}"
    for one in taken:
        ids = list(map(int, EVENT_ID.findall(one.events())))
        if ids != list(range(1, len(ids) + 1)):
            yield f"{one.begun.id} got events {ids}"
    yield from check_share(deployment, sent, taken)


def describe(chain: list[callers.Sent]) -> str:
    """Return which versions answered the requests of a stream."""
    return ", ".join(
        f"{one.id} at {one.instance.name}: {one.status} "
        + b" ".join(sorted(versions_of(one))).decode()
        for one in chain
    )


def check_share(
    deployment: serving.Deployment,
    sent: list[callers.Sent],
    taken: list[TakenUpStream],
) -> typing.Iterator[str]:
    """Yield that too few streams go on, of those that could."""
    tried, went_on = shares(deployment, taken)
    new = [
        one
        for one in sent
        if one.kind.name == "draft" and is_in_touch(deployment, one)
    ]
    if tried < MIN_TAKEN_UP or not new:
        return
    begun_share = sum(one.status == OK for one in new) / len(new)
    if went_on / tried < MIN_SHARE * begun_share:
        yield (
            f"{went_on} of {tried} streams went on, while {begun_share:.2f} "
            "of new ones began"
        )


def shares(
    deployment: serving.Deployment, taken: list[TakenUpStream]
) -> tuple[int, int]:
    """Return how many requests could take streams up, and how many did."""
    tries = [
        one
        for chain in taken
        for one in chain.tries
        if is_in_touch(deployment, one)
        and engines_of(deployment, chain.version(), one) >= MIN_ENGINES
    ]
    return len(tries), sum(one.status == OK for one in tries)


def is_in_touch(deployment: serving.Deployment, one: callers.Sent) -> bool:
    """Return whether no fault excuses an instance."""
    latest = max(one.instance.troubled_until, deployment.store_troubled_until)
    return latest < one.sent_s


def engines_of(
    deployment: serving.Deployment, version: str, one: callers.Sent
) -> int:
    """Return how many endpoints of a version serve during a request."""
    return sum(
        period.version == version
        and period.began_s + KNOWN_S < one.sent_s
        and one.ended_s < period.ended_s
        for period in deployment.serving_periods
    )


def stream_without_versions(body: bytes) -> bytes:
    """Return a stream without the lines that name versions."""
    return VERSION_LINE.sub(b"", body)
