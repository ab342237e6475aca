"""Resident memory and idle processor time of a real agent against its state.

Run from the top of the tree with the environment that `scripts/test` makes::

    .venv/bin/python bench/agent_memory.py

One real agent process over stand-ins of the platform; engines are stand-ins
in this process.  Writes bench/results/agent-memory.json.
"""

from __future__ import annotations

import argparse
import dataclasses
import os
import pathlib
import tempfile
import time

import measuring

from briarseam import tokens
from briarseam.testing import deployment
from briarseam.testing import engine
from briarseam.testing import engine_switches
from briarseam.testing import ports
from briarseam.testing import waiting

ORGANISATIONS = (10, 100, 960)
ENGINES = (4, 30, 150)
SETTLE_S = 6.0
MEASURED_S = 10.0
BATCH = 200
SWITCHES = engine_switches.Switches(slots=8)


@dataclasses.dataclass(frozen=True)
class Case:
    """One size to measure."""

    varies: str
    organisations: int
    engines: int
    arenas: int = 0


@dataclasses.dataclass(frozen=True)
class Row:
    """An agent at one size."""

    case: Case
    rss_kb: measuring.Spread
    threads: measuring.Spread
    core_percent: measuring.Spread
    load_average: float


class Sized(deployment.Deployment):
    """A deployment of one agent with a number of organisations.

    Parameters
    ----------
    folder
        Where settings go.
    case
        Its size.
    """

    def __init__(self, folder: pathlib.Path, case: Case) -> None:
        shape = deployment.Shape(1, engines=0, services=0)
        super().__init__(folder, shape, SWITCHES)
        self.engines = {
            f"engine-{number}": engine.Engine(
                SWITCHES,
                models={deployment.MODEL: deployment.VERSION},
                seed=number,
            )
            for number in range(case.engines)
        }
        self.case = case

    def organisations(self) -> list[dict[str, object]]:
        """Return changes that declare the organisations."""
        sets: dict[str, object] = {
            f"organisations/kitchen-{number}": {
                "token_digest": tokens.digest(f"token-{number}")
            }
            for number in range(self.case.organisations)
        }
        names = list(sets)
        return [
            {name: sets[name] for name in names[start : start + BATCH]}
            for start in range(0, len(names), BATCH)
        ]

    def settings_path(self) -> str:
        """Write the settings and return their path."""
        agent, entry = ports.free_ports(2, deployment.IP)
        self.write_settings(
            0,
            f"{deployment.IP}:{agent}",
            f"{deployment.IP}:{entry}",
            [f"{deployment.IP}:{agent}"],
        )
        path = self.folder / "instance-0.ini"
        text = path.read_text()
        for name, value in (
            ("heartbeat_interval_ms = 100ms", "heartbeat_interval_ms = 1s"),
            ("suspect_after_ms = 1s", "suspect_after_ms = 3s"),
        ):
            text = text.replace(name, value)
        path.write_text(text)
        return str(path)


def measure_once(case: Case) -> tuple[int, int, float]:
    """Return resident kB, threads and per cent of a core of one agent."""
    with tempfile.TemporaryDirectory() as name:
        sized = Sized(pathlib.Path(name), case)
        parts = sized.stand_ins()
        for part in parts:
            part.start()
        try:
            sized.publish(sized.tree())
            for sets in sized.organisations():
                sized.publish(sets)
            with measuring.process(
                "agent", "--settings", sized.settings_path()
            ) as agent:
                return observe(agent.pid)
        finally:
            for part in parts:
                part.stop()


def observe(pid: int) -> tuple[int, int, float]:
    """Return what an agent uses once it has settled."""
    settled = time.monotonic() + SETTLE_S
    waiting.until(
        lambda: time.monotonic() > settled, SETTLE_S + 5, "it has settled"
    )
    before, started = measuring.cpu_s(pid), time.monotonic()
    time.sleep(MEASURED_S)
    used = measuring.cpu_s(pid) - before
    share = 100 * used / (time.monotonic() - started)
    return measuring.rss_kb(pid), measuring.threads(pid), share


def measure(case: Case) -> Row:
    """Return the row of one size."""
    if case.arenas:
        os.environ["MALLOC_ARENA_MAX"] = str(case.arenas)
    else:
        os.environ.pop("MALLOC_ARENA_MAX", None)
    found = [measure_once(case) for _ in range(measuring.REPEATS)]
    return Row(
        case,
        measuring.spread([one[0] for one in found]),
        measuring.spread([one[1] for one in found]),
        measuring.spread([one[2] for one in found]),
        round(os.getloadavg()[0], 1),
    )


def cases() -> list[Case]:
    """Return the sizes to measure."""
    least = ENGINES[0]
    return [
        *(Case("organisations", count, least) for count in ORGANISATIONS),
        *(Case("engines", ORGANISATIONS[0], count) for count in ENGINES[1:]),
        *(Case("arenas", ORGANISATIONS[0], count, 1) for count in ENGINES),
    ]


def main() -> None:
    """Measure all sizes, or the least one only, and write them."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", default="agent-memory")
    parser.add_argument("--least", action="store_true")
    args = parser.parse_args()
    rows = []
    for case in cases()[: 1 if args.least else None]:
        rows.append(measure(case))
        print(rows[-1], flush=True)
        measuring.write(args.name, rows)


if __name__ == "__main__":
    main()
