"""What membership costs an agent, and how lookups spread sessions.

Run from the top of the tree::

    PYTHONPATH=src python bench/membership_cost.py

Starts cells of several sizes as real processes on loopback, measures each
agent's processor time, bytes and memory while nothing changes, and works
out in this process how sessions spread and move.  Writes one JSON file.
"""

from __future__ import annotations

import argparse
import collections
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import statistics
import subprocess
import sys
import time
import typing

import membership_node as node

from briarseam.lookup import layout as layouts
from briarseam.lookup import rank
from briarseam.lookup import service as lookup
from briarseam.membership import state
from briarseam.testing import instance_list
from briarseam.testing import waiting

SIZES = (1, 2, 4, 8, 16, 32)
HERE = pathlib.Path(__file__).parent
RESULT = HERE / "results" / "membership_cost.json"
START_TIMEOUT_S = 60.0
SETTLE_S = 3.0
SESSIONS = 100_000
ZONES = 12
TIMED_LOOKUPS = 5_000
# Per heartbeat on one connection: a data segment each way and one pure
# acknowledgement, each with IP and TCP headers and the timestamp option.
HEADER_BYTES = 52
SEGMENTS_PER_BEAT = 3


@dataclasses.dataclass(frozen=True)
class Cost:
    """Mean cost of one agent in a cell of some size.

    Attributes
    ----------
    core_percent
        Processor time as a part of one core.
    payload_kb_s
        Frames sent and received, kilobytes a second.
    wire_kb_s
        The same with computed IP and TCP headers.
    rss_mb, rss_growth_mb
        Resident memory; what it is above the cell of one.
    """

    agents: int
    core_percent: float
    core_percent_max: float
    payload_kb_s: float
    wire_kb_s: float
    rss_mb: float
    rss_growth_mb: float = 0.0


@dataclasses.dataclass(frozen=True)
class Spread:
    """How one layout of members spreads sessions.

    Attributes
    ----------
    max_over_mean
        Sessions of the busiest entry over the mean.
    moved_on_leave, moved_on_join
        Part of the sessions that changed their first address.
    chance_max_over_mean
        The same had each session an entry by chance, from one draw.
    least_possible_on_leave
        One over the number of members.
    lookup_us
        Mean time of one lookup.
    """

    members: int
    cells: int
    max_over_mean: float
    chance_max_over_mean: float
    moved_on_leave: float
    moved_on_join: float
    least_possible_on_leave: float
    lookup_us: float


class Process:
    """One agent process."""

    def __init__(self, name: str, list_address: str) -> None:
        command = [sys.executable, str(HERE / "membership_node.py")]
        command += ["--name", name, "--list", list_address]
        self.process = subprocess.Popen(
            command,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
            env={**os.environ, "PYTHONPATH": str(HERE.parent / "src")},
        )
        self.name = name
        self.address = self.read()

    def read(self) -> str:
        """Return the process's next line."""
        stdout = typing.cast("typing.TextIO", self.process.stdout)
        line = stdout.readline().strip()
        if not line:
            raise RuntimeError(f"{self.name} ended")
        return line

    def report(self) -> node.Counters:
        """Return the process's counters."""
        stdin = typing.cast("typing.TextIO", self.process.stdin)
        stdin.write("report\n")
        stdin.flush()
        return node.Counters(**json.loads(self.read()))

    def stop(self) -> None:
        """End the process."""
        with contextlib.suppress(OSError):
            typing.cast("typing.TextIO", self.process.stdin).close()
        self.process.wait(timeout=10)


def measure_cell(size: int, seconds: float) -> Cost:
    """Return the cost of an agent in a steady cell."""
    listing = instance_list.InstanceList()
    listing.start()
    processes: list[Process] = []
    try:
        for number in range(size):
            process = Process(f"agent-{number}", str(listing.address))
            processes.append(process)
            listing.put(
                process.name,
                instance_list.Registration("agent", process.address, "bench"),
            )
        waiting.until(
            lambda: all(each.report().members == size for each in processes),
            START_TIMEOUT_S,
            "a whole cell",
        )
        time.sleep(SETTLE_S)
        return measure_steady(processes, seconds)
    finally:
        for process in processes:
            process.stop()
        listing.stop()


def measure_steady(processes: list[Process], seconds: float) -> Cost:
    """Return the mean cost over a stretch in which nothing changes."""
    started = time.monotonic()
    before = [each.report() for each in processes]
    time.sleep(seconds)
    after = [each.report() for each in processes]
    took_s = time.monotonic() - started
    size = len(processes)
    cpu = [
        100 * (late.cpu_s - early.cpu_s) / took_s
        for early, late in zip(before, after, strict=True)
    ]
    payload = [
        late.sent + late.received - early.sent - early.received
        for early, late in zip(before, after, strict=True)
    ]
    # Each agent beats to every peer and answers every peer's beat.
    headers = 2 * (size - 1) * SEGMENTS_PER_BEAT * HEADER_BYTES
    payload_kb_s = statistics.mean(payload) / took_s / 1000
    return Cost(
        agents=size,
        core_percent=round(statistics.mean(cpu), 3),
        core_percent_max=round(max(cpu), 3),
        payload_kb_s=round(payload_kb_s, 3),
        wire_kb_s=round(payload_kb_s + headers / 1000, 3),
        rss_mb=round(statistics.mean(c.rss_kb for c in after) / 1024, 2),
    )


def members_of(count: int, cells: int) -> tuple[state.Member, ...]:
    """Return members spread over cells in turn, at most 12 zones."""
    zones = min(cells, ZONES)
    return tuple(
        state.Member(
            name=f"instance-{number}",
            zone=f"zone-{number % zones}",
            cell=f"zone-{number % zones}/{number % cells // zones}",
            agent_address="127.0.0.1:1",
            entry_addresses=(f"entry-{number}",),
            state=state.MemberState.ALIVE,
        )
        for number in range(count)
    )


def firsts(members: tuple[state.Member, ...], sessions: int) -> list[str]:
    """Return the member that each session's first address belongs to."""
    layout = layouts.build(members)
    return [
        layout.order(rank.session_key("organisation", str(number)), 1)[0].name
        for number in range(sessions)
    ]


def time_lookups(members: tuple[state.Member, ...], sessions: int) -> float:
    """Return the mean microseconds of a whole lookup."""
    service = lookup.Lookup(lambda: members, lambda digest: None)
    service.where("organisation", "warm-up")
    started = time.perf_counter()
    for number in range(sessions):
        service.where("organisation", str(number))
    return 1e6 * (time.perf_counter() - started) / sessions


def largest_over_mean(names: list[str], count: int) -> float:
    """Return the sessions of the busiest member over the mean."""
    counts = collections.Counter(names)
    return round(max(counts.values()) * count / len(names), 4)


def measure_spread(count: int, cells: int, sessions: int) -> Spread:
    """Return how a layout spreads sessions and moves them."""
    members = members_of(count, cells)
    before = firsts(members, sessions)
    fewer = firsts(members[:-1], sessions)
    more = firsts(members_of(count + 1, cells), sessions)
    drawn = random.Random(1).choices(range(count), k=sessions)
    timed = min(sessions, TIMED_LOOKUPS)
    return Spread(
        members=count,
        cells=cells,
        max_over_mean=largest_over_mean(before, count),
        chance_max_over_mean=largest_over_mean(list(map(str, drawn)), count),
        moved_on_leave=round(moved(before, fewer), 5),
        moved_on_join=round(moved(before, more), 5),
        least_possible_on_leave=round(1 / count, 5),
        lookup_us=round(time_lookups(members, timed), 1),
    )


def moved(before: list[str], after: list[str]) -> float:
    """Return the part of the sessions whose first address changed."""
    changed = sum(old != new for old, new in zip(before, after, strict=True))
    return changed / len(before)


def main() -> None:
    """Measure and write the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--sessions", type=int, default=SESSIONS)
    parser.add_argument("--output", type=pathlib.Path, default=RESULT)
    args = parser.parse_args()
    load_before = os.getloadavg()[0]
    costs: list[Cost] = []
    for size in SIZES:
        cost = measure_cell(size, args.seconds)
        first = costs[0] if costs else cost
        growth = round(cost.rss_mb - first.rss_mb, 2)
        costs.append(dataclasses.replace(cost, rss_growth_mb=growth))
        print(costs[-1], flush=True)
    spreads = []
    for count, cells in ((7, 3), (16, 1), (48, 3), (920, 60)):
        spreads.append(measure_spread(count, cells, args.sessions))
        print(spreads[-1], flush=True)
    result = {
        "processors": os.cpu_count(),
        "load_before": load_before,
        "load_after": os.getloadavg()[0],
        "seconds": args.seconds,
        "section_bytes": node.SECTION_BYTES,
        "costs": [dataclasses.asdict(cost) for cost in costs],
        "spreads": [dataclasses.asdict(spread) for spread in spreads],
    }
    args.output.parent.mkdir(exist_ok=True)
    args.output.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()
