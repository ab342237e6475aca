"""What whole idle agents cost in cells of several sizes.

Run from the top of the tree::

    PYTHONPATH=src python bench/agent_cost.py

Starts ``briarseam agent`` processes with the default intervals over
stand-ins in this process, and reads each one's processor time and memory
while no caller asks anything.  Writes one JSON file.
"""

from __future__ import annotations

import argparse
import contextlib
import dataclasses
import json
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time

from briarseam.testing import deployment
from briarseam.testing import ports

SIZES = (1, 2, 4, 8, 16)
HERE = pathlib.Path(__file__).parent
RESULT = HERE / "results" / "agent_cost.json"
SETTLE_S = 12.0
FAST = ("heartbeat_interval_ms = 100ms", "suspect_after_ms = 1s")
USUAL = ("heartbeat_interval_ms = 1s", "suspect_after_ms = 3s")


@dataclasses.dataclass(frozen=True)
class Usage:
    """What one process has used.

    Attributes
    ----------
    cpu_s
        Processor time in seconds.
    rss_mb
        Resident memory.
    """

    cpu_s: float
    rss_mb: float


@dataclasses.dataclass(frozen=True)
class Cost:
    """Mean cost of one idle agent among some.

    Attributes
    ----------
    core_percent, core_percent_max
        Processor time as a part of one core.
    rss_mb, rss_mb_max
        Resident memory.
    """

    agents: int
    core_percent: float
    core_percent_max: float
    rss_mb: float
    rss_mb_max: float


def usage_of(process: subprocess.Popen[bytes]) -> Usage:
    """Return a process's usage."""
    folder = pathlib.Path("/proc") / str(process.pid)
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    lines = (folder / "status").read_text().splitlines()
    rss = next(line.split()[1] for line in lines if line.startswith("VmRSS"))
    return Usage(ticks / os.sysconf("SC_CLK_TCK"), int(rss) / 1024)


def start(settings: str) -> subprocess.Popen[bytes]:
    """Start an agent and wait until it listens."""
    process = subprocess.Popen(
        [sys.executable, "-m", "briarseam", "agent", "--settings", settings],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        env={**os.environ, "PYTHONPATH": str(HERE.parent / "src")},
    )
    assert process.stdout is not None
    assert process.stdout.readline()
    return process


def measure(count: int, seconds: float) -> Cost:
    """Return the cost of ``count`` agents over ``seconds``."""
    with contextlib.ExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        shape = deployment.Shape(instances=0, engines=2, stores=1)
        stand_ins = deployment.Deployment(folder, shape)
        stack.enter_context(stand_ins)
        free = ports.free_ports(2 * count)
        agents = [f"127.0.0.1:{port}" for port in free[:count]]
        processes = []
        for number, agent in enumerate(agents):
            entry = f"127.0.0.1:{free[count + number]}"
            stand_ins.write_settings(number, agent, entry, agents)
            path = folder / f"instance-{number}.ini"
            text = path.read_text()
            for fast, usual in zip(FAST, USUAL, strict=True):
                assert fast in text
                text = text.replace(fast, usual)
            path.write_text(text)
            process = start(str(path))
            stack.callback(process.wait)
            stack.callback(process.kill)
            processes.append(process)
        time.sleep(SETTLE_S)
        return measure_steady(processes, seconds)


def measure_steady(
    processes: list[subprocess.Popen[bytes]], seconds: float
) -> Cost:
    """Return the mean cost over a stretch in which nothing changes."""
    started = time.monotonic()
    before = [usage_of(process) for process in processes]
    time.sleep(seconds)
    after = [usage_of(process) for process in processes]
    took_s = time.monotonic() - started
    cpu = [
        100 * (late.cpu_s - early.cpu_s) / took_s
        for early, late in zip(before, after, strict=True)
    ]
    rss = [late.rss_mb for late in after]
    return Cost(
        agents=len(processes),
        core_percent=round(statistics.mean(cpu), 2),
        core_percent_max=round(max(cpu), 2),
        rss_mb=round(statistics.mean(rss), 1),
        rss_mb_max=round(max(rss), 1),
    )


def main() -> None:
    """Measure and write the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--output", type=pathlib.Path, default=RESULT)
    args = parser.parse_args()
    load_before = os.getloadavg()[0]
    costs = []
    for size in SIZES:
        costs.append(measure(size, args.seconds))
        print(costs[-1], flush=True)
    result = {
        "processors": os.cpu_count(),
        "load_before": load_before,
        "load_after": os.getloadavg()[0],
        "seconds": args.seconds,
        "costs": [dataclasses.asdict(cost) for cost in costs],
    }
    args.output.parent.mkdir(exist_ok=True)
    args.output.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()
