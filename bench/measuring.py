"""What the measuring scripts share: processes, their memory and time."""

from __future__ import annotations

import contextlib
import dataclasses
import json
import os
import pathlib
import platform
import resource
import statistics
import subprocess
import sys
import time
import typing

ROOT = pathlib.Path(__file__).parents[1]
RESULTS = ROOT / "bench" / "results"
TICKS = os.sysconf("SC_CLK_TCK")
REPEATS = 3
STOP_S = 10.0


@dataclasses.dataclass(frozen=True)
class Spread:
    """A value measured several times."""

    median: float
    least: float
    most: float


@dataclasses.dataclass(frozen=True)
class Child:
    """A process of briarseam and the first line that it printed."""

    pid: int
    first_line: str


def spread(values: typing.Sequence[float], digits: int = 3) -> Spread:
    """Return the median and the range of measured values."""
    return Spread(
        round(statistics.median(values), digits),
        round(min(values), digits),
        round(max(values), digits),
    )


def rss_kb(pid: int | str = "self") -> int:
    """Return a process's resident memory in units of 1000 bytes."""
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * resource.getpagesize() // 1000


def cpu_s(pid: int) -> float:
    """Return the processor time a process has used, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def threads(pid: int) -> int:
    """Return how many threads a process has."""
    return len(os.listdir(f"/proc/{pid}/task"))


@contextlib.contextmanager
def process(*arguments: str) -> typing.Iterator[Child]:
    """Run a subcommand of briarseam from its first line until the end."""
    child = subprocess.Popen(
        [sys.executable, "-m", "briarseam", *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
        env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
    )
    try:
        assert child.stdout is not None
        line = child.stdout.readline()
        if not line:
            raise RuntimeError(f"{arguments[0]} ended")
        yield Child(child.pid, line)
    finally:
        child.kill()
        child.wait(STOP_S)


def relative(argument: str) -> str:
    """Return an argument, a path in this tree without what is above it."""
    return argument.replace(f"{ROOT.resolve()}/", "")


def write(name: str, rows: typing.Any) -> None:
    """Write rows with what they were measured on."""
    result = {
        "command": " ".join(["python", *map(relative, sys.argv)]),
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "python": platform.python_version(),
        "system": platform.system(),
        "cores": os.cpu_count(),
        "load_average": [round(one, 1) for one in os.getloadavg()],
        "rows": rows,
    }
    RESULTS.mkdir(exist_ok=True)
    text = json.dumps(result, indent=1, default=dataclasses.asdict)
    (RESULTS / f"{name}.json").write_text(text + "\n")
