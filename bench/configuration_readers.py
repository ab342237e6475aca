"""Measure how configuration reaches agents: everyone polling, or two a cell.

Each agent is a process of its own with a configuration reader and a wire
server, the log stand-in another.  Prints a table and writes one JSON file.

    python bench/configuration_readers.py --out bench/results/NAME.json
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time
import typing

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "src"))

import configuration_node  # noqa: E402

from briarseam.backing import log as logs  # noqa: E402
from briarseam.configuration import records  # noqa: E402

NODE = str(pathlib.Path(__file__).with_name("configuration_node.py"))
SIZES = (2, 4, 8, 16, 32)
LATENCY_SIZES = (6, 32)
# A real cell's tree: this many endpoints besides the model that changes.
ENDPOINTS = 150
SUSPECT_AFTER_S = 3.0
FREEZE_S = 3.0
OUTAGE_S = 1.0


class Agent:
    """The parent's handle on one worker process."""

    def __init__(self, name: str, log: str, everyone: bool) -> None:
        self.name = name
        self.process = subprocess.Popen(
            [sys.executable, NODE, "--agent", name, "--log", log]
            + (["--everyone"] if everyone else []),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        self.address = self.answer()

    def answer(self) -> str:
        """Return its next answer."""
        assert self.process.stdout is not None
        return self.process.stdout.readline().strip()

    def order(self, **words: typing.Any) -> None:
        """Send an order."""
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps(words) + "\n")
        self.process.stdin.flush()

    def report(self) -> dict[str, typing.Any]:
        """Return what it counted."""
        self.order(do="report")
        return typing.cast("dict[str, typing.Any]", json.loads(self.answer()))

    def kill(self) -> None:
        """Kill it."""
        self.process.kill()
        self.process.wait()


class Cell:
    """A cell of agents and their log."""

    def __init__(self, count: int, everyone: bool) -> None:
        self.log = LogProcess()
        self.client = logs.LogClient(self.log.address)
        self.revision = 0
        self.frozen: set[str] = set()
        self.first_change()
        self.agents = [
            Agent(f"agent-{number}", self.log.address, everyone)
            for number in range(count)
        ]
        self.tell_members()
        for agent in self.agents:
            agent.order(do="start")
        deadline = time.monotonic() + 30
        while any(agent.report()["offset"] < 1 for agent in self.agents):
            assert time.monotonic() < deadline, "agents did not start"
            time.sleep(0.2)

    def tell_members(self) -> None:
        """Tell all agents who is there."""
        members = {agent.name: agent.address for agent in self.agents}
        for agent in self.agents:
            agent.order(do="members", members=members)

    def first_change(self) -> None:
        """Publish a tree of a usual size."""
        sets: dict[str, typing.Any] = {
            f"endpoints/engine-{number}": {
                "kind": "engine",
                "address": f"127.0.0.1:{10000 + number}",
                "zone": "zone-a",
                "models": ["draft"],
            }
            for number in range(ENDPOINTS)
        }
        sets["models/draft"] = {"version": "0"}
        self.publish(sets, {path: 0 for path in sets})

    def publish(
        self, sets: dict[str, typing.Any], expects: dict[str, int]
    ) -> float:
        """Append one change; return when its append was answered."""
        change = records.Change(
            records.new_id(), "bench", "", self.revision, expects, sets
        )
        data = records.encode(change, configuration_node.TEAMS.sign)
        while True:
            outcome = self.client.append(records.STREAM, data)
            if isinstance(outcome, logs.Appended):
                self.revision = outcome.offset
                return time.monotonic()
            time.sleep(0.05)

    def change_version(self, number: int) -> float:
        """Publish one small change."""
        return self.publish(
            {"models/draft": {"version": str(number)}},
            {"models/draft": self.revision},
        )

    def stop(self) -> None:
        """Kill all processes."""
        for agent in self.agents:
            agent.kill()
        self.log.kill()


class LogProcess:
    """The log stand-in in a process of its own."""

    def __init__(self) -> None:
        self.process = subprocess.Popen(
            [sys.executable, NODE],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        assert self.process.stdout is not None
        self.address = self.process.stdout.readline().strip()

    def outage(self, down: bool) -> None:
        """Begin or end an outage."""
        assert self.process.stdin is not None
        self.process.stdin.write(f"{int(down)}\n")
        self.process.stdin.flush()

    def kill(self) -> None:
        """Kill it."""
        self.process.kill()
        self.process.wait()


@dataclasses.dataclass
class Cost:
    """What reading costs, per second, at one size."""

    agents: int
    mode: str
    seconds: float
    log_reads_per_s: float
    log_bytes_per_s: float
    peer_bytes_per_s: float
    bytes_per_s_most_of_one_agent: float
    cpu_share_mean: float
    cpu_share_most: float
    rss_mb_mean: float


def measure_cost(count: int, everyone: bool, seconds: float) -> Cost:
    """Measure the cost of reading at one change a second."""
    cell = Cell(count, everyone)
    time.sleep(2)
    before = [agent.report() for agent in cell.agents]
    for number in range(int(seconds)):
        cell.change_version(number)
        time.sleep(1)
    after = [agent.report() for agent in cell.agents]
    cell.stop()

    def rates(name: str) -> list[float]:
        return [
            (b[name] - a[name]) / (b["at"] - a["at"])
            for a, b in zip(before, after, strict=True)
        ]

    log_bytes, peer_bytes = rates("log_bytes"), rates("peer_bytes")
    cpu = rates("cpu_s")
    # A reading agent also serves; its share of what the others ask.
    served = sum(peer_bytes) / (1 if everyone else min(2, count))
    return Cost(
        agents=count,
        mode="everyone" if everyone else "two",
        seconds=seconds,
        log_reads_per_s=round(sum(rates("log_reads")), 2),
        log_bytes_per_s=round(sum(log_bytes), 1),
        peer_bytes_per_s=round(sum(peer_bytes), 1),
        bytes_per_s_most_of_one_agent=round(max(log_bytes) + served, 1),
        cpu_share_mean=round(sum(cpu) / count, 5),
        cpu_share_most=round(max(cpu), 5),
        rss_mb_mean=round(sum(r["rss_mb"] for r in after) / count, 1),
    )


@dataclasses.dataclass
class Latency:
    """Time from an append's answer to in force at every agent, in ms."""

    agents: int
    mode: str
    faults: str
    changes: int
    p50_ms: float
    p99_ms: float
    max_ms: float
    max_unfrozen_ms: float
    missing: int
    reverts: int


def measure_latency(
    count: int, everyone: bool, faults: bool, changes: int
) -> Latency:
    """Measure how soon changes are in force at all agents."""
    cell = Cell(count, everyone)
    time.sleep(1)
    accepted: dict[int, float] = {}
    for number in range(changes):
        if faults:
            strike(cell, number, changes)
        at = cell.change_version(number)
        accepted[cell.revision] = at
        time.sleep(0.2)
    time.sleep(4)
    reports = [agent.report() for agent in cell.agents]
    cell.stop()
    times = [dict(map(tuple, report["in_force"])) for report in reports]
    missing = sum(offset not in t for offset in accepted for t in times)
    unfrozen = [
        t
        for agent, t in zip(cell.agents, times, strict=True)
        if agent.name not in cell.frozen
    ]
    waits = sorted(
        1000 * max(t[offset] - at for t in times if offset in t)
        for offset, at in accepted.items()
    )
    return Latency(
        agents=count,
        mode="everyone" if everyone else "two",
        faults="kill, freeze, outage" if faults else "none",
        changes=changes,
        p50_ms=round(waits[len(waits) // 2], 1),
        p99_ms=round(waits[int(len(waits) * 0.99)], 1),
        max_ms=round(waits[-1], 1),
        max_unfrozen_ms=round(
            1000
            * max(
                t[offset] - at
                for offset, at in accepted.items()
                for t in unfrozen
                if offset in t
            ),
            1,
        ),
        missing=missing,
        reverts=sum(report["reverts"] for report in reports),
    )


def strike(cell: Cell, number: int, changes: int) -> None:
    """Kill one reader, freeze another, then let the log have an outage."""
    if number == changes // 4:
        victim = reading(cell)[0]
        cell.agents.remove(victim)
        victim.kill()
        threading.Timer(SUSPECT_AFTER_S, cell.tell_members).start()
    if number == changes // 2:
        agent = reading(cell)[0]
        cell.frozen.add(agent.name)
        frozen = agent.process
        os.kill(frozen.pid, signal.SIGSTOP)
        threading.Timer(
            FREEZE_S, lambda: os.kill(frozen.pid, signal.SIGCONT)
        ).start()
    if number == 3 * changes // 4:
        cell.log.outage(True)
        threading.Timer(OUTAGE_S, lambda: cell.log.outage(False)).start()


def reading(cell: Cell) -> list[Agent]:
    """Return the agents that follow the log."""
    return [
        agent
        for agent in cell.agents
        if agent.report()["reader_rank"] is not None
    ]


def show(rows: list[typing.Any]) -> None:
    """Print rows as a table."""
    names = [field.name for field in dataclasses.fields(rows[0])]
    print(*names, sep="\t")
    for row in rows:
        print(*(getattr(row, name) for name in names), sep="\t", flush=True)


def main() -> None:
    """Run as the bench, or as one of its processes."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--changes", type=int, default=100)
    parser.add_argument("--out", default="bench/results/configuration.json")
    args = parser.parse_args()
    started = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime())
    costs = [
        measure_cost(count, everyone, args.seconds)
        for count in SIZES
        for everyone in (True, False)
    ]
    show(costs)
    latencies = [
        measure_latency(count, everyone, faults, args.changes)
        for count in LATENCY_SIZES
        for everyone in (True, False)
        for faults in (False, True)
    ]
    show(latencies)
    result = {
        "started": started,
        "load_average": os.getloadavg(),
        "cores": os.cpu_count(),
        "costs": [dataclasses.asdict(row) for row in costs],
        "latencies": [dataclasses.asdict(row) for row in latencies],
    }
    out = pathlib.Path(args.out)
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(json.dumps(result, indent=2) + "\n")


if __name__ == "__main__":
    main()
