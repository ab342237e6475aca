"""What to keep in a full store: LRU against value, over days of returns.

Replays seeded traces in compressed time through the retention module of the
kept cache itself: groups come, return after minutes to days or never, and
a store of limited size frees what the policy says.  Two traces have the
shapes of the two deployments.  ``furthest`` frees the group whose next
return is furthest away; no policy can know that, it shows what is left to
gain.  The share recomputed counts pieces of all prompts after the warm-up.

    PYTHONPATH=src python bench/retention.py OUT.json OUT.png
"""

from __future__ import annotations

from concurrent import futures
import dataclasses
import heapq
import json
import math
import pathlib
import random
import sys
import time

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

from briarseam.cache import retention  # noqa: E402

MINUTE = 60.0
HOUR = 3600.0
DAY = 24 * HOUR
SPAN_S = 21 * DAY
WARM_UP_S = 10 * DAY
SEEDS = (1, 2)
PARTS = (0.05, 0.1, 0.2, 0.4)
PROCESSES = 4
POLICIES = ("off", "lru", "value", "furthest")
ORGANISATIONS = 10
LARGE = 3
LARGE_SHARE = 0.7


@dataclasses.dataclass(frozen=True)
class Kind:
    """Sessions of one sort.

    Attributes
    ----------
    name
        For the results.
    a_day
        New sessions a day.
    pieces
        Least and greatest length at the start.
    growth
        Pieces that each return adds.
    returns
        Chance to return after each turn.
    gap_s
        Median of the gap before a return.
    spread
        Sigma of the gap's logarithm.
    """

    name: str
    a_day: float
    pieces: tuple[int, int]
    growth: int
    returns: float
    gap_s: float
    spread: float


SHAPES = {
    "hygiejnetjek": (
        Kind("inspection history", 50, (20, 60), 2, 0.8, 2.5 * DAY, 0.7),
        Kind("question", 100, (5, 15), 1, 0.35, 20 * MINUTE, 1.0),
        Kind("temperature log", 500, (2, 6), 0, 0.03, HOUR, 1.0),
    ),
    "kitasora": (
        Kind("briefing", 60, (8, 20), 1, 0.85, 7 * HOUR, 0.6),
        Kind("pickup", 300, (1, 3), 0, 0.3, 15 * MINUTE, 1.0),
        Kind("incident note", 240, (4, 10), 0, 0.02, DAY, 1.0),
    ),
}


@dataclasses.dataclass(frozen=True, order=True)
class Visit:
    """One prompt of a session.

    Attributes
    ----------
    at
        Seconds since the start.
    group
        The session, as the cache names it.
    pieces
        Its length now.
    next_at
        When it returns; infinity when never.
    """

    at: float
    group: bytes
    pieces: int
    next_at: float


def organisation(chance: random.Random) -> int:
    """Return an organisation; the large ones have most sessions."""
    if chance.random() < LARGE_SHARE:
        return chance.randrange(LARGE)
    return chance.randrange(LARGE, ORGANISATIONS)


def trace(kinds: tuple[Kind, ...], seed: int) -> list[Visit]:
    """Return all visits of a deployment in order of time."""
    chance = random.Random(seed)
    visits: list[Visit] = []
    for number, kind in enumerate(kinds):
        at = 0.0
        while at < SPAN_S:
            at += chance.expovariate(kind.a_day / DAY)
            group = organisation(chance).to_bytes(4, "big")
            group += bytes([number]) + chance.randbytes(7)
            visits += session(kind, group, at, chance)
    return sorted(visits)


def session(
    kind: Kind, group: bytes, at: float, chance: random.Random
) -> list[Visit]:
    """Return the visits of one session."""
    visits = []
    pieces = chance.randint(*kind.pieces)
    while at < SPAN_S:
        next_at = math.inf
        if chance.random() < kind.returns:
            gap_s = kind.gap_s * math.exp(chance.gauss(0.0, kind.spread))
            next_at = at + gap_s
        visits.append(Visit(at, group, pieces, next_at))
        at = next_at
        pieces += kind.growth
    return visits


@dataclasses.dataclass
class Kept:
    """A session's pieces in the store."""

    pieces: int
    used_at: float
    next_at: float


@dataclasses.dataclass
class Result:
    """One run of one policy.

    Attributes
    ----------
    asked, recomputed
        Pieces of prompts after the warm-up, and those of them computed.
    returning, returning_recomputed
        The same, of what sessions had computed before: only these can be
        saved.
    """

    asked: int = 0
    recomputed: int = 0
    returning: int = 0
    returning_recomputed: int = 0


class Store:
    """A store of limited size under one policy."""

    def __init__(self, policy: str, capacity: int, seed: int) -> None:
        self.policy = policy
        self.capacity = capacity
        self.chance = random.Random(seed)
        self.model = retention.ReturnModel()
        named = "lru" if policy == "lru" else "value"
        self.ranker = retention.Ranker(self.model, retention.Policy(named))
        self.kept: dict[bytes, Kept] = {}
        self.order: list[bytes] = []
        self.places: dict[bytes, int] = {}
        self.used = 0
        self.furthest: list[tuple[float, bytes]] = []

    def find(self, group: bytes) -> int:
        """Return the pieces that are kept of a session."""
        known = self.kept.get(group)
        return known.pieces if known else 0

    def put(self, visit: Visit) -> None:
        """Keep a session's pieces if the policy wants them."""
        self.model.record_use(visit.group, visit.pieces, visit.at)
        if self.policy == "off":
            return
        before = self.find(visit.group)
        if before == 0:
            self.places[visit.group] = len(self.order)
            self.order.append(visit.group)
        self.kept[visit.group] = Kept(visit.pieces, visit.at, visit.next_at)
        self.used += visit.pieces - before
        heapq.heappush(self.furthest, (-visit.next_at, visit.group))
        while self.used > self.capacity:
            self.free(visit.at)

    def free(self, now: float) -> None:
        """Free the end of the session that the policy gives up."""
        group = self.victim(now)
        kept = self.kept[group]
        freed = min(kept.pieces, self.used - self.capacity)
        kept.pieces -= freed
        self.used -= freed
        if kept.pieces:
            return
        del self.kept[group]
        place = self.places.pop(group)
        last = self.order.pop()
        if last != group:
            self.order[place] = last
            self.places[last] = place

    def victim(self, now: float) -> bytes:
        """Return the session to free first."""
        if self.policy == "furthest":
            return self.furthest_away()
        names = retention.sample_groups(self.order, self.chance)
        found = self.ranker.victim(self.candidate(name, now) for name in names)
        assert found is not None
        return found.group

    def furthest_away(self) -> bytes:
        """Return the session whose next return is furthest away."""
        while True:
            next_at, group = self.furthest[0]
            kept = self.kept.get(group)
            if kept is not None and kept.next_at == -next_at:
                return group
            heapq.heappop(self.furthest)

    def candidate(self, name: bytes, now: float) -> retention.Candidate:
        """Return what the kept cache knows of a session."""
        kept = self.kept[name]
        kind = self.model.group_class(name, kept.pieces)
        return retention.Candidate(name, kind, now - kept.used_at)


def replay(visits: list[Visit], policy: str, capacity: int) -> Result:
    """Return what a policy recomputes of a trace."""
    store = Store(policy, capacity, seed=7)
    seen: dict[bytes, int] = {}
    result = Result()
    for visit in visits:
        before = seen.get(visit.group, 0)
        hit = min(store.find(visit.group), before)
        if visit.at >= WARM_UP_S:
            result.asked += visit.pieces
            result.recomputed += visit.pieces - hit
            result.returning += before
            result.returning_recomputed += before - hit
        seen[visit.group] = visit.pieces
        store.put(visit)
    return result


def working_set(visits: list[Visit]) -> int:
    """Return the pieces of all sessions of the trace."""
    largest: dict[bytes, int] = {}
    for visit in visits:
        largest[visit.group] = visit.pieces
    return sum(largest.values())


def measure_one(deployment: str, seed: int) -> list[dict[str, object]]:
    """Return one row for each size and policy."""
    visits = trace(SHAPES[deployment], seed)
    total = working_set(visits)
    rows: list[dict[str, object]] = []
    for part in PARTS:
        for policy in POLICIES:
            began = time.perf_counter()
            result = replay(visits, policy, int(part * total))
            took_s = time.perf_counter() - began
            rows.append(
                {
                    "deployment": deployment,
                    "seed": seed,
                    "store_part": part,
                    "policy": policy,
                    "visits": len(visits),
                    "share_recomputed": result.recomputed / result.asked,
                    "returning_recomputed": (
                        result.returning_recomputed / result.returning
                    ),
                    "us_per_visit": 1e6 * took_s / len(visits),
                }
            )
    return rows


def measure() -> list[dict[str, object]]:
    """Return one row for each deployment, seed, size and policy."""
    asked = [(name, seed) for name in SHAPES for seed in SEEDS]
    with futures.ProcessPoolExecutor(PROCESSES) as pool:
        parts = list(pool.map(measure_one, *zip(*asked, strict=True)))
    return [row for part in parts for row in part]


def mean(rows: list[dict[str, object]], **wanted: object) -> float:
    """Return the mean of the returning part recomputed."""
    found = [
        float(str(row["returning_recomputed"]))
        for row in rows
        if all(row[name] == value for name, value in wanted.items())
    ]
    return sum(found) / len(found)


def show(rows: list[dict[str, object]]) -> None:
    """Print a table of means over the seeds."""
    print("part of what came before that was computed again")
    print(
        f"{'deployment':14}{'store':>7}"
        + "".join(f"{policy:>10}" for policy in POLICIES)
    )
    for deployment in SHAPES:
        for part in PARTS:
            line = f"{deployment:14}{part:7.0%}"
            for policy in POLICIES:
                value = mean(
                    rows,
                    deployment=deployment,
                    store_part=part,
                    policy=policy,
                )
                line += f"{value:10.3f}"
            print(line)


def plot(rows: list[dict[str, object]], path: pathlib.Path) -> None:
    """Draw the part recomputed over the store's size."""
    figure, axes = pyplot.subplots(1, 2, figsize=(10, 4), sharey=True)
    for axis, deployment in zip(axes, SHAPES, strict=True):
        for policy in POLICIES:
            values = [
                mean(
                    rows,
                    deployment=deployment,
                    store_part=part,
                    policy=policy,
                )
                for part in PARTS
            ]
            axis.plot(
                [100 * part for part in PARTS],
                values,
                marker="o",
                label=policy,
            )
        axis.set_title(deployment)
        axis.set_xlabel("store size, % of all sessions' pieces")
        axis.set_xscale("log")
        axis.set_xticks([100 * part for part in PARTS])
        axis.set_xticklabels([f"{part:.0%}" for part in PARTS])
        axis.minorticks_off()
        axis.grid(alpha=0.3)
    axes[0].set_ylabel("returning pieces recomputed")
    axes[0].set_ylim(0, 1.05)
    axes[1].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def main() -> None:
    """Measure, print, and write both files."""
    rows = measure()
    show(rows)
    pathlib.Path(sys.argv[1]).write_text(json.dumps(rows, indent=1) + "\n")
    plot(rows, pathlib.Path(sys.argv[2]))


if __name__ == "__main__":
    main()
