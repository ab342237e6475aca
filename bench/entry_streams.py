"""What one entry process costs per stream and per token.

Run from the top of the tree with the environment that `scripts/test` makes::

    PYTHONPATH=src .venv/bin/python bench/entry_streams.py

One agent, one entry and several stand-in engines, all real processes; the
callers are processes that read many streams each.  Gaps are taken between
reads at the caller, so they hold the engines', the entry's and the callers'
own delays.  Writes bench/results/entry-streams.json.
"""

from __future__ import annotations

import argparse
import contextlib
import dataclasses
import json
import os
import pathlib
import selectors
import socket
import subprocess
import sys
import tempfile
import time
import typing

import measuring

from briarseam.testing import deployment
from briarseam.testing import ports

STREAMS = (50, 100, 200, 400, 800)
ENGINES = 8
CALLERS = 4
TOKEN_S = 0.05
RAMP_S = 4.0
MEASURED_S = 8.0
SLACK_S = 6.0
READ_BYTES = 65536
ORGANISATION = deployment.ORGANISATIONS[0]
P95 = 0.95


@dataclasses.dataclass(frozen=True)
class Seen:
    """What one process of callers saw."""

    tokens: int
    gaps_ms: list[float]
    refused: int


@dataclasses.dataclass(frozen=True)
class Row:
    """One entry under a number of streams."""

    streams: int
    tokens_per_s: float
    refused: int
    gap_p50_ms: float
    gap_p95_ms: float
    entry_core_percent: float
    entry_us_per_token: float
    entry_rss_kb: int
    entry_threads: int
    entry_memory: dict[str, int]
    agent_core_percent: float
    agent_rss_kb: int
    agent_memory: dict[str, int]
    load_average: float


@dataclasses.dataclass
class Stream:
    """One caller's connection."""

    sock: socket.socket
    last_s: float = 0.0
    head: bytes = b""


class Outside(deployment.Deployment):
    """Platform in this process; engines, agent and entry as processes."""

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(folder, deployment.Shape(1, engines=0, services=0))
        self.addresses: list[str] = []

    def tree(self) -> dict[str, typing.Any]:
        """Return the configuration with the engines' addresses."""
        tree = super().tree()
        for number, address in enumerate(self.addresses):
            tree[f"endpoints/engine-{number}"] = {
                "kind": "engine",
                "address": address,
                "zone": "zone-0",
                "models": [deployment.MODEL],
            }
        return tree


def open_stream(entry: str, number: int, max_tokens: int) -> Stream:
    """Send one prompt."""
    host, _, port = entry.rpartition(":")
    sock = socket.create_connection((host, int(port)))
    body = json.dumps(
        deployment.prompt_body(
            f"prompt {number}",
            max_tokens=max_tokens,
            deadline_ms=30_000,
            session=f"session-{number}",
        )
    ).encode()
    token = deployment.token_of(ORGANISATION)
    head = (
        f"POST /v1/answers HTTP/1.1\r\nHost: {entry}\r\n"
        f"Authorization: Bearer {token}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode()
    sock.sendall(head + body)
    sock.setblocking(False)
    return Stream(sock)


def call(entry: str, first: int, count: int, begin_s: float) -> Seen:
    """Hold ``count`` streams open; measure from ``begin_s`` on."""
    end_s = begin_s + MEASURED_S
    max_tokens = int((RAMP_S + MEASURED_S + SLACK_S) / TOKEN_S)
    selector = selectors.DefaultSelector()
    gaps: list[float] = []
    tokens = refused = 0
    pause_s = max(begin_s - RAMP_S / 2 - time.time(), 0.0) / count
    for number in range(count):
        stream = open_stream(entry, first + number, max_tokens)
        selector.register(stream.sock, selectors.EVENT_READ, stream)
        time.sleep(pause_s)
    while time.time() < end_s:
        for key, _ in selector.select(0.2):
            stream = key.data
            data = stream.sock.recv(READ_BYTES)
            now = time.time()
            if not data:
                selector.unregister(stream.sock)
                refused += 1
                continue
            found = data.count(b"event: token")
            if not found:
                continue
            if now >= begin_s and stream.last_s:
                tokens += found
                gaps.append(1000 * (now - stream.last_s))
                gaps.extend([0.0] * (found - 1))
            stream.last_s = now
    return Seen(tokens, [round(gap, 1) for gap in gaps], refused)


def run_callers(entry: str, streams: int, begin_s: float) -> list[Seen]:
    """Run the processes of callers and return what they saw."""
    count = streams // CALLERS
    children = []
    for number in range(CALLERS):
        command = [sys.executable, __file__, "--entry", entry]
        command += ["--first", str(number * count), "--count", str(count)]
        command += ["--begin", str(begin_s)]
        children.append(subprocess.Popen(command, stdout=subprocess.PIPE))
    return [
        Seen(**json.loads(child.communicate(timeout=90)[0]))
        for child in children
    ]


def memory_of(pid: int) -> dict[str, int]:
    """Return the private and the proportional memory in kB."""
    found = {}
    path = pathlib.Path(f"/proc/{pid}/smaps_rollup")
    for line in path.read_text().splitlines()[1:]:
        name, _, rest = line.partition(":")
        if name in ("Rss", "Pss", "Private_Clean", "Private_Dirty"):
            found[name] = int(rest.split()[0]) * 1024 // 1000
    return found


class Sampler:
    """Processor time of entry and agent in the measured time."""

    def __init__(self, pids: tuple[int, int], begin_s: float) -> None:
        self.pids = pids
        self.begin_s = begin_s

    def run(self) -> tuple[list[float], list[int], list[int]]:
        """Wait for the measured time; return seconds, memory, threads."""
        time.sleep(max(self.begin_s - time.time(), 0.0))
        before = [measuring.cpu_s(pid) for pid in self.pids]
        time.sleep(MEASURED_S)
        used = [
            measuring.cpu_s(pid) - then
            for pid, then in zip(self.pids, before, strict=True)
        ]
        return (
            used,
            [measuring.rss_kb(pid) for pid in self.pids],
            [measuring.threads(pid) for pid in self.pids],
        )


def measure(folder: pathlib.Path, streams: int) -> Row:
    """Start everything, hold the streams, and return the row."""
    with contextlib.ExitStack() as stack:
        outside = Outside(folder)
        for number in range(ENGINES):
            switches = {
                "slots": streams,
                "token_s": TOKEN_S,
                "prefill_s_per_piece": 0.02,
                "load_lag_ms": 50,
            }
            pairs = [f"{name}={value}" for name, value in switches.items()]
            arguments = [word for pair in pairs for word in ("--set", pair)]
            port = ports.free_port(deployment.IP)
            outside.addresses.append(f"{deployment.IP}:{port}")
            stack.enter_context(
                measuring.process(
                    "stand-in",
                    "engine",
                    "--listen",
                    outside.addresses[-1],
                    "--model",
                    f"{deployment.MODEL}={deployment.VERSION}",
                    "--seed",
                    str(number),
                    *arguments,
                )
            )
        for part in outside.stand_ins():
            part.start()
            stack.callback(part.stop)
        outside.publish(outside.tree())
        agent_port, entry_port = ports.free_ports(2, deployment.IP)
        entry_address = f"{deployment.IP}:{entry_port}"
        agent_address = f"{deployment.IP}:{agent_port}"
        outside.write_settings(
            0, agent_address, entry_address, [agent_address]
        )
        path = folder / "instance-0.ini"
        text = path.read_text()
        text = text.replace("threads = 64", f"threads = {streams + 20}")
        path.write_text(text)
        agent = stack.enter_context(
            measuring.process("agent", "--settings", str(path))
        )
        entry = stack.enter_context(
            measuring.process("entry", "--settings", str(path))
        )
        time.sleep(3.0)
        return observe(streams, entry_address, agent.pid, entry.pid)


def observe(streams: int, entry_address: str, agent: int, entry: int) -> Row:
    """Run the callers and return what they and the processes show."""
    begin_s = time.time() + RAMP_S
    command = [sys.executable, __file__, "--sample", f"{entry},{agent}"]
    command += ["--begin", str(begin_s)]
    sampler = subprocess.Popen(command, stdout=subprocess.PIPE)
    seen = run_callers(entry_address, streams, begin_s)
    sampled = json.loads(sampler.communicate(timeout=90)[0])
    used, rss, counts = sampled
    gaps = sorted(gap for one in seen for gap in one.gaps_ms)
    tokens = sum(one.tokens for one in seen)
    return Row(
        streams=streams,
        tokens_per_s=round(tokens / MEASURED_S, 1),
        refused=sum(one.refused for one in seen),
        gap_p50_ms=gaps[len(gaps) // 2] if gaps else -1.0,
        gap_p95_ms=gaps[int(len(gaps) * P95)] if gaps else -1.0,
        entry_core_percent=round(100 * used[0] / MEASURED_S, 1),
        entry_us_per_token=round(1e6 * used[0] / max(tokens, 1), 1),
        entry_rss_kb=rss[0],
        entry_threads=counts[0],
        entry_memory=memory_of(entry),
        agent_core_percent=round(100 * used[1] / MEASURED_S, 1),
        agent_rss_kb=rss[1],
        agent_memory=memory_of(agent),
        load_average=round(os.getloadavg()[0], 1),
    )


def main() -> None:
    """Measure each number of streams and write the rows."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--entry")
    parser.add_argument("--first", type=int)
    parser.add_argument("--count", type=int)
    parser.add_argument("--begin", type=float)
    parser.add_argument("--sample")
    parser.add_argument("--streams", type=int, nargs="*", default=STREAMS)
    parser.add_argument("--name", default="entry-streams")
    parser.add_argument("--repeats", type=int, default=measuring.REPEATS)
    args = parser.parse_args()
    if args.sample:
        entry, agent = map(int, args.sample.split(","))
        print(json.dumps(Sampler((entry, agent), args.begin).run()))
        return
    if args.entry:
        seen = call(args.entry, args.first, args.count, args.begin)
        print(json.dumps(dataclasses.asdict(seen)))
        return
    rows = []
    for streams in args.streams:
        for _ in range(args.repeats):
            with tempfile.TemporaryDirectory() as name:
                rows.append(measure(pathlib.Path(name), streams))
            print(rows[-1], flush=True)
            measuring.write(args.name, rows)


if __name__ == "__main__":
    main()
