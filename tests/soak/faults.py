"""Faults from outside the processes, drawn from a seed."""

from __future__ import annotations

import dataclasses
import itertools
import random
import signal
import typing

from tests.platform import raw_answers
from tests.soak import links
from tests.soak import paths
from tests.soak import serving

# A fault excuses what it strikes for so long after its end.
STABLE_S = 3.0
CUTS = (
    links.State.SILENT,
    links.State.ANSWERS_SILENT,
    links.State.REFUSING,
    links.State.SLOW,
)
BAD_SETTINGS = "retry_ratio = much\n"
SIGNALS = (signal.SIGKILL, signal.SIGTERM)
# Switches of an endpoint and how many requests they strike.
MISBEHAVIOUR = {
    "reject": 5,
    "fail": 3,
    "reset": 3,
    "unsigned": 3,
    "foreign": 2,
    "break_streams": 3,
}
STORE_SWITCHES: tuple[dict[str, typing.Any], ...] = (
    {"outage": True},
    {"delay_ms": 400},
    {"lose_answers": 6},
    {"late_writes": 2},
)
STORE_CALM = {
    "outage": False,
    "delay_ms": 0,
    "lose_answers": 0,
    "late_writes": 0,
}


@dataclasses.dataclass(frozen=True)
class StoreTrouble:
    """The store is down, slow, loses answers or writes late."""

    switches: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class StoreRestored:
    """The store is down and returns from an older copy.

    Attributes
    ----------
    age_s
        Age of the copy.
    rewrite_s
        After the return, others write again what they wrote.
    """

    age_s: float
    rewrite_s: float


@dataclasses.dataclass(frozen=True)
class StoreCut:
    """One instance's link to the store is cut in some way."""

    instance: int
    state: links.State
    reset: bool


@dataclasses.dataclass(frozen=True)
class EndpointCut:
    """The link to one endpoint is cut in some way."""

    endpoint: int
    state: links.State
    reset: bool


@dataclasses.dataclass(frozen=True)
class EndpointReplaced:
    """One endpoint is gone; another takes over its address."""

    endpoint: int


@dataclasses.dataclass(frozen=True)
class EndpointLeaves:
    """One endpoint says that it leaves, and is replaced later."""

    endpoint: int


@dataclasses.dataclass(frozen=True)
class Misbehaviour:
    """One endpoint answers wrongly a few times."""

    endpoint: int
    switch: str


@dataclasses.dataclass(frozen=True)
class Paused:
    """One instance stands still."""

    instance: int


@dataclasses.dataclass(frozen=True)
class Ended:
    """One instance is killed or stopped, and started again."""

    instance: int
    by: signal.Signals


@dataclasses.dataclass(frozen=True)
class Reloaded:
    """One instance reads its settings again, good or bad ones."""

    instance: int
    extra: str


@dataclasses.dataclass(frozen=True)
class Reconfigured:
    """The operators write a configuration with or without a route."""

    toggled: bool


@dataclasses.dataclass(frozen=True)
class Evacuated:
    """A zone is evacuated; its endpoints are cold when that ends."""

    zone: str


@dataclasses.dataclass(frozen=True)
class StoppedInTurn:
    """Instances are stopped one after the other and started again.

    Attributes
    ----------
    instances
        Which, in this order.
    gap_s
        From one SIGTERM to the next.
    again_s
        Each gets a second SIGTERM after this; 0 for none.
    early_s
        Each is stopped once more so soon after its start; 0 for not.
    crowded
        Whether callers keep each of them busy until it is gone.
    """

    instances: tuple[int, ...]
    gap_s: float
    again_s: float
    early_s: float
    crowded: bool


@dataclasses.dataclass(frozen=True)
class RateLimited:
    """One endpoint names a limit in its answers, then another one."""

    endpoint: int
    per_s: tuple[float, float]


@dataclasses.dataclass(frozen=True)
class LeavesByAnswer:
    """One endpoint says in its answers that it leaves; its entry does not."""

    endpoint: int


@dataclasses.dataclass(frozen=True)
class BackoffRequested:
    """One endpoint rejects all requests and asks for a backoff."""

    endpoint: int
    backoff_s: float


@dataclasses.dataclass(frozen=True)
class PathsCut:
    """Some instances lose their links to all endpoints."""

    instances: tuple[int, ...]
    kind: paths.CutKind


@dataclasses.dataclass(frozen=True)
class ServiceFragile:
    """Endpoints of a service have little room and fail if they reject more.

    Attributes
    ----------
    service
        The service.
    per_s
        How many requests each may reject in a second.
    room
        Requests that each runs at a time.
    """

    service: str
    per_s: int
    room: int


@dataclasses.dataclass(frozen=True)
class AnswersFramed:
    """An endpoint sends its answers in a form, and cuts some short.

    Attributes
    ----------
    endpoint
        The endpoint.
    form
        Form of the answers.
    cuts
        How many of them are cut short.
    line_end
        Line end in streams.
    """

    endpoint: int
    form: raw_answers.Form
    cuts: int
    line_end: str


Fault = (
    StoreTrouble
    | StoreRestored
    | StoreCut
    | EndpointCut
    | EndpointReplaced
    | EndpointLeaves
    | Misbehaviour
    | Paused
    | Ended
    | Reloaded
    | Reconfigured
    | StoppedInTurn
    | Evacuated
    | RateLimited
    | LeavesByAnswer
    | BackoffRequested
    | PathsCut
    | ServiceFragile
    | AnswersFramed
)


@dataclasses.dataclass(frozen=True)
class Planned:
    """A fault with its time, in seconds from the start."""

    at_s: float
    for_s: float
    fault: Fault


def draw(random_: random.Random, instances: int) -> Fault:
    """Return a fault of any kind."""
    instance = random_.randrange(instances)
    endpoint = random_.randrange(len(serving.SERVICES))
    state = random_.choice(CUTS)
    reset = random_.random() < 0.5
    extras = ("retry_ratio = 0.3\n", BAD_SETTINGS, "")
    made: list[Fault] = [
        StoreTrouble(random_.choice(STORE_SWITCHES)),
        StoreCut(instance, state, reset),
        EndpointCut(endpoint, state, reset),
        EndpointReplaced(endpoint),
        EndpointLeaves(endpoint),
        Misbehaviour(endpoint, random_.choice(sorted(MISBEHAVIOUR))),
        Paused(instance),
        Ended(instance, random_.choice(SIGNALS)),
        Reloaded(instance, random_.choice(extras)),
        Reconfigured(random_.random() < 0.5),
    ]
    return random_.choice(made)


def plan(seed: int, seconds: float, instances: int) -> list[Planned]:
    """Return the faults of a run, overlapping and in series."""
    random_ = random.Random(seed)
    found = []
    at_s = 0.5
    while at_s < seconds - 2.0:
        for_s = random_.uniform(0.3, 3.0)
        fault = draw(random_, instances)
        found.append(Planned(at_s, for_s, fault))
        at_s += random_.choice((0.05, random_.uniform(0.3, 1.5)))
    return found


def plan_stops(seed: int, seconds: float, instances: int) -> list[Planned]:
    """Return stops in series that overlap; a third have other faults too."""
    random_ = random.Random(f"{seed}/stops")
    found = plan(seed, seconds, instances) if seed % 3 == 0 else []
    at_s = 0.5
    while at_s < seconds - 2.0:
        stopped = draw_stops(random_, instances)
        found.append(Planned(at_s, random_.uniform(0.3, 3.0), stopped))
        at_s += random_.choice((0.3, random_.uniform(1.0, 6.0)))
    return sorted(found, key=lambda one: one.at_s)


def plan_restores(seed: int, seconds: float, instances: int) -> list[Planned]:
    """Return restores of the store; two of three have other faults too."""
    random_ = random.Random(f"{seed}/restores")
    found = plan(seed, seconds, instances) if seed % 3 else []
    at_s = random_.uniform(0.5, 2.0)
    while at_s < seconds - 2.0:
        restored = StoreRestored(
            age_s=random_.uniform(0.2, 4.0),
            rewrite_s=random_.choice((0.0, random_.uniform(0.1, 1.5))),
        )
        found.append(Planned(at_s, random_.uniform(0.1, 1.5), restored))
        at_s += random_.uniform(2.0, 6.0)
    return sorted(found, key=lambda one: one.at_s)


def plan_zones(seed: int, seconds: float, instances: int) -> list[Planned]:
    """Return evacuations and restarts of endpoints, beside other faults."""
    random_ = random.Random(f"{seed}/zones")
    found = plan(seed, seconds, instances) if seed % 3 else []
    at_s = 0.5
    while at_s < seconds - 2.0:
        fault = random_.choice(
            (
                Evacuated(random_.choice(serving.ZONES)),
                EndpointReplaced(random_.randrange(len(serving.SERVICES))),
            )
        )
        found.append(Planned(at_s, random_.uniform(1.0, 5.0), fault))
        at_s += random_.uniform(0.3, 3.0)
    return sorted(found, key=lambda one: one.at_s)


def plan_announcements(
    seed: int, seconds: float, instances: int
) -> list[Planned]:
    """Return what endpoints say in answers; two of three beside faults."""
    random_ = random.Random(f"{seed}/announcements")
    found = plan(seed, seconds, instances) if seed % 3 else []
    at_s = 0.5
    while at_s < seconds - 2.0:
        endpoint = random_.randrange(len(serving.SERVICES))
        limits = [random_.choice((0.0, 0.5, 2.0, 3.8, 8.0)) for _ in "ab"]
        fault = random_.choice(
            (
                RateLimited(endpoint, (limits[0], limits[1])),
                LeavesByAnswer(endpoint),
                BackoffRequested(endpoint, random_.uniform(0.5, 3.0)),
            )
        )
        found.append(Planned(at_s, random_.uniform(2.0, 12.0), fault))
        at_s += random_.uniform(0.3, 3.0)
    return sorted(found, key=lambda one: one.at_s)


def plan_paths(seed: int, seconds: float, instances: int) -> list[Planned]:
    """Return cuts from all endpoints; two of three beside other faults."""
    random_ = random.Random(f"{seed}/paths")
    found = plan(seed, seconds, instances) if seed % 3 else []
    at_s = 0.5
    while at_s < seconds - 2.0:
        if random_.random() < 0.7:
            count = random_.randint(1, max(1, instances - 1))
            numbers = random_.sample(range(instances), count)
            fault: Fault = PathsCut(
                tuple(numbers), random_.choice(list(paths.CutKind))
            )
            for_s = random_.choice((0.4, 0.9, random_.uniform(4.0, 7.0)))
        else:
            fault = ServiceFragile(
                random_.choice(("portal", "engines")),
                per_s=random_.choice((1, 2, 3, 8)),
                room=random_.choice((1, 2, 4)),
            )
            for_s = random_.uniform(4.0, 8.0)
        found.append(Planned(at_s, for_s, fault))
        at_s += random_.uniform(0.5, 4.0)
    return sorted(found, key=lambda one: one.at_s)


def plan_framings(seed: int, seconds: float, instances: int) -> list[Planned]:
    """Return forms of answers; two of three seeds have other faults too."""
    random_ = random.Random(f"{seed}/framings")
    found = plan(seed, seconds, instances) if seed % 3 else []
    at_s = 0.2
    while at_s < seconds - 1.0:
        number = random_.randrange(len(serving.SERVICES))
        is_stream = serving.SERVICES[number] == "engines"
        framed = AnswersFramed(
            number,
            draw_form(random_, is_stream),
            random_.randint(1, 12),
            random_.choice(("\n", "\r\n", "\r")),
        )
        found.append(Planned(at_s, random_.uniform(0.3, 2.0), framed))
        at_s += random_.uniform(0.05, 0.5)
    return sorted(found, key=lambda one: one.at_s)


def draw_form(random_: random.Random, is_stream: bool) -> raw_answers.Form:
    """Return a form of answers whose cuts callers must not take for ends."""
    forms = [
        raw_answers.Form(*form)
        for form in itertools.product(
            raw_answers.Framing,
            ("1.0", "1.1"),
            raw_answers.Cut,
            raw_answers.Ending,
        )
    ]
    return random_.choice(
        [form for form in forms if raw_answers.is_noticed(form, is_stream)]
    )


def draw_delays(seed: int) -> list[int]:
    """Return how long the endpoints of a run with stops take, in ms."""
    random_ = random.Random(f"{seed}/delays")
    return [
        random_.choice((0, random_.randint(100, 600)))
        for _ in serving.SERVICES
    ]


def draw_stops(random_: random.Random, instances: int) -> StoppedInTurn:
    """Return stops of all instances in turn, or of one."""
    numbers = list(range(instances))
    random_.shuffle(numbers)
    return StoppedInTurn(
        tuple(numbers if random_.random() < 0.6 else numbers[:1]),
        gap_s=random_.uniform(0.3, 2.0),
        again_s=random_.choice((0.0, 0.0, 0.0, random_.uniform(0.1, 4.0))),
        early_s=random_.choice((0.0, 0.0, 0.0, random_.uniform(0.1, 2.0))),
        crowded=random_.random() < 0.3,
    )
