"""What a run of the soak of ``briarseam serve`` found."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass
class Report:
    """What a run found.

    Attributes
    ----------
    seed, seconds, instances, stops, restores, zones, announcements, paths,
    framings, releases, crashes, parts, deadly, contention,
    ordered_waiting, floods, isolations, freeing
        The run.
    requests, runs
        How many requests were sent, and how often endpoints ran one.
    answers
        Requests by kind and status, 0 for none.
    unanswered
        Requests without a whole answer, by reason.
    faults
        How often each struck.
    announced
        Answers by what they said of their endpoint.
    cuts
        Answers of endpoints that were cut short, by framing, place and end.
    taken_up
        Requests that could take streams up again, and those that did.
    organisations
        Requests by API key and status.
    crashed
        Endpoints that requests crashed.
    parts_used
        How often requests ran on a cached part.
    fetches
        Fetches of stored parts and calls that free some, by what they were.
    flooded
        Answers without end that instances have closed.
    growth
        The most by which an instance has grown beside them, in bytes.
    stalled_s
        How long the machine gave the run no processor time, in seconds.
    broken
        Broken promises.
    """

    seed: int
    seconds: float
    instances: int
    stops: bool = False
    restores: bool = False
    zones: bool = False
    announcements: bool = False
    paths: bool = False
    framings: bool = False
    releases: bool = False
    crashes: bool = False
    parts: bool = False
    deadly: bool = False
    contention: bool = False
    ordered_waiting: bool = False
    floods: bool = False
    isolations: bool = False
    freeing: bool = False
    requests: int = 0
    runs: int = 0
    answers: dict[str, int] = dataclasses.field(default_factory=dict)
    unanswered: dict[str, int] = dataclasses.field(default_factory=dict)
    faults: dict[str, int] = dataclasses.field(default_factory=dict)
    announced: dict[str, int] = dataclasses.field(default_factory=dict)
    cuts: dict[str, int] = dataclasses.field(default_factory=dict)
    taken_up: tuple[int, int] = (0, 0)
    organisations: dict[str, int] = dataclasses.field(default_factory=dict)
    crashed: int = 0
    parts_used: int = 0
    fetches: dict[str, int] = dataclasses.field(default_factory=dict)
    flooded: int = 0
    growth: int = 0
    stalled_s: float = 0.0
    broken: list[str] = dataclasses.field(default_factory=list)
