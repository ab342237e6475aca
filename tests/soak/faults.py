"""Faults from outside the processes, drawn from a seed."""

from __future__ import annotations

import dataclasses
import signal
import typing

from tests.platform import raw_answers
from tests.soak import cache_faults
from tests.soak import links
from tests.soak import paths

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
class EnginesEnded:
    """All engines, or endpoints of another service, end together."""

    service: str = "engines"


@dataclasses.dataclass(frozen=True)
class InstancesKilled:
    """Instances are killed at once, or in turn, and started again."""

    instances: tuple[int, ...]
    # Between the start of one and the end of the next; 0 for all at once.
    gap_s: float


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
class SlowedDown:
    """One endpoint takes some times as long for each request."""

    endpoint: int
    factor: float


@dataclasses.dataclass(frozen=True)
class Contended:
    """One organisation sends ten times the requests of the others."""


@dataclasses.dataclass(frozen=True)
class SoftwareReleased:
    """One endpoint is replaced by one of another software version.

    Attributes
    ----------
    endpoint
        The endpoint.
    version
        The version.
    keeps_name
        Whether it restarts under its name.
    """

    endpoint: int
    version: str
    keeps_name: bool


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


@dataclasses.dataclass(frozen=True)
class AnswersWithoutEnd:
    """An endpoint sends a part of some answers without end.

    Attributes
    ----------
    endpoint
        The endpoint.
    flood, pace
        Which part, and how fast.
    answers
        How many of its next answers.
    """

    endpoint: int
    flood: str
    pace: str
    answers: int


@dataclasses.dataclass(frozen=True)
class Isolated:
    """A configuration changes who is isolated.

    Attributes
    ----------
    organisations
        All that are isolated from then on.
    keyless
        Those without a key.
    """

    organisations: tuple[str, ...]
    keyless: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class WeightsReplaced:
    """All engines have the next weights."""


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
    | AnswersWithoutEnd
    | SoftwareReleased
    | EnginesEnded
    | InstancesKilled
    | SlowedDown
    | Contended
    | Isolated
    | WeightsReplaced
    | cache_faults.Freeing
)


def label(fault: Fault) -> str:
    """Return what a fault is counted as."""
    return f"{type(fault).__name__} {getattr(fault, 'how', '')}".strip()


@dataclasses.dataclass(frozen=True)
class Planned:
    """A fault with its time, in seconds from the start."""

    at_s: float
    for_s: float
    fault: Fault
