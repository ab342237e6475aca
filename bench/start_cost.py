"""Processor time of `briarseam serve` from its start to its first answer.

Run from the top of the tree, after the build that the deploy file names::

    sh deploy/build && .venv/bin/python bench/start_cost.py

Starts the command of the deploy file again and again, each time in a fresh
process with a store that refuses connections, and asks it for its readiness
until it answers.  With `--tree`, starts those of other trees in turn with
this one's, so that both are measured under the same load.  Writes
bench/results/start-cost.json.
"""

from __future__ import annotations

import argparse
import contextlib
import dataclasses
import os
import pathlib
import shutil
import socket
import subprocess
import tempfile
import time
import tomllib

import measuring

STARTS = 41
# Between two attempts to connect; the process does nothing for them.
ATTEMPT_S = 0.002
START_S = 20.0
SECTIONS = ("callers", "readiness", "lookups", "peers", "metrics")


@dataclasses.dataclass(frozen=True)
class Start:
    """What one start cost until the first answer.

    Attributes
    ----------
    processor_ms
        User and system time of all threads.
    wall_ms
        Time that passed.
    """

    processor_ms: float
    wall_ms: float


@dataclasses.dataclass(frozen=True)
class Summary:
    """All starts of one tree.

    Attributes
    ----------
    tree
        The last part of its path.
    starts
        How many.
    processor_ms, wall_ms
        As of each start.
    """

    tree: str
    starts: int
    processor_ms: measuring.Spread
    wall_ms: measuring.Spread


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for one in sockets:
            one.bind(("127.0.0.1", 0))
        return [one.getsockname()[1] for one in sockets]


def settings_text(ports: list[int]) -> str:
    """Return settings with a listener on each port, the store on the last."""
    listeners = "".join(
        f"{name} = 127.0.0.1:{port}\n"
        for name, port in zip(SECTIONS, ports[:-1], strict=True)
    )
    return (
        "[instance]\nname = one\nzone = a\nregion = north\n"
        f"[listen]\n{listeners}[store]\naddress = 127.0.0.1:{ports[-1]}\n"
    )


def command(tree: pathlib.Path) -> list[str]:
    """Return the command of a tree's deploy file."""
    text = (tree / "deploy" / "system.toml").read_text()
    roles = tomllib.loads(text)["roles"]
    words: list[str] = roles["briarseam"]["run"].split()
    # The tree's own environment has other libraries than the deployed one.
    interpreter = shutil.which(words[0], path=outer_path())
    return [interpreter or words[0], *words[1:]]


def outer_path() -> str:
    """Return the search path without the tree's own environment."""
    own = str(measuring.ROOT / ".venv")
    parts = os.environ["PATH"].split(os.pathsep)
    return os.pathsep.join(one for one in parts if not one.startswith(own))


def processor_s(pid: int) -> float:
    """Return the processor time of a process's threads, in seconds."""
    tasks = pathlib.Path(f"/proc/{pid}/task").iterdir()
    spent = [int((one / "schedstat").read_text().split()[0]) for one in tasks]
    return sum(spent) / 1e9


def wait_answer(port: int, until: float) -> None:
    """Ask for the readiness until there is an answer, whatever it says."""
    while time.monotonic() < until:
        try:
            with socket.create_connection(("127.0.0.1", port)) as connection:
                connection.sendall(b"GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n")
                if connection.recv(1):
                    return
        except ConnectionError:
            time.sleep(ATTEMPT_S)
    raise SystemExit(f"no answer within {START_S} s")


def start_once(tree: pathlib.Path, settings: pathlib.Path, port: int) -> Start:
    """Start a process, wait for its first answer and end it."""
    environment = {
        "PATH": outer_path(),
        "PYTHONPATH": str(tree / "target" / "deps"),
        "BRIARSEAM_CONFIG": str(settings),
    }
    begun = time.monotonic()
    child = subprocess.Popen(
        command(tree),
        cwd=tree,
        env=environment,
        stdout=subprocess.DEVNULL,
    )
    try:
        wait_answer(port, begun + START_S)
        wall_s = time.monotonic() - begun
        return Start(processor_s(child.pid) * 1000, wall_s * 1000)
    finally:
        child.kill()
        child.wait(measuring.STOP_S)


def summarize(tree: pathlib.Path, starts: list[Start]) -> Summary:
    """Return the spread of a tree's starts."""
    return Summary(
        tree.name,
        len(starts),
        measuring.spread([one.processor_ms for one in starts], 1),
        measuring.spread([one.wall_ms for one in starts], 1),
    )


def measure(trees: list[pathlib.Path], count: int) -> list[Summary]:
    """Start each tree `count` times, in turn."""
    ports = free_ports(len(SECTIONS) + 1)
    starts: dict[pathlib.Path, list[Start]] = {tree: [] for tree in trees}
    with tempfile.TemporaryDirectory() as folder:
        settings = pathlib.Path(folder) / "settings.ini"
        settings.write_text(settings_text(ports))
        for _ in range(count):
            for tree, found in starts.items():
                found.append(start_once(tree, settings, ports[1]))
    return [summarize(tree, found) for tree, found in starts.items()]


def main() -> None:
    """Measure all starts, print and write their medians."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--starts", type=int, default=STARTS)
    parser.add_argument(
        "--tree", type=pathlib.Path, action="append", default=[]
    )
    chosen = parser.parse_args()
    trees = [measuring.ROOT, *(tree.resolve() for tree in chosen.tree)]
    summaries = measure(trees, chosen.starts)
    for summary in summaries:
        print(summary)
    measuring.write("start-cost", summaries)


if __name__ == "__main__":
    main()
