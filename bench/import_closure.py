"""Resident memory of the modules that an agent and an entry import.

Run from the top of the tree with the environment that `scripts/test` makes::

    .venv/bin/python bench/import_closure.py

Each case runs in a process of its own, three times.  Writes
bench/results/import-closure.json.
"""

from __future__ import annotations

import dataclasses
import json
import os
import subprocess
import sys

import measuring

LIBRARIES = (
    "msgpack",
    "msgspec",
    "xxhash",
    "hashlib",
    "email.parser",
    "http.client",
    "ssl",
    "urllib3",
    "hdrh.histogram",
)
STANDARD = (
    "argparse",
    "configparser",
    "dataclasses",
    "enum",
    "json",
    "socket",
    "threading",
    "typing",
)
# What `structlog` imports and an agent has no use for.
UNUSED = ("asyncio",)
CHILD = """\
import importlib, json, resource, sys
def rss():
    with open("/proc/self/statm") as statm:
        pages = int(statm.read().split()[1])
    return pages * resource.getpagesize() // 1000
steps = [["interpreter", rss()]]
for name in sys.argv[1:]:
    importlib.import_module(name)
    steps.append([name, rss()])
print(json.dumps(steps))
"""


@dataclasses.dataclass(frozen=True)
class Step:
    """Memory after one import, in kB, and what it added."""

    case: str
    module: str
    rss_kb: measuring.Spread
    added_kb: measuring.Spread


CASES = {
    "agent": (
        *STANDARD,
        *LIBRARIES,
        *UNUSED,
        "structlog",
        "briarseam.compose.agent",
        "briarseam.command.agent",
    ),
    "entry": (
        *STANDARD,
        *LIBRARIES,
        *UNUSED,
        "structlog",
        "cherrypy",
        "briarseam.compose.entry",
        "briarseam.command.entry",
    ),
    "agent without docstrings (-OO)": ("briarseam.command.agent",),
    "agent at once": ("briarseam.command.agent",),
    **{name: (name,) for name in (*LIBRARIES, *UNUSED, "structlog")},
}


def run(case: str, modules: tuple[str, ...]) -> list[tuple[str, int]]:
    """Return the memory after each import in a fresh process."""
    flags = ["-OO"] if "-OO" in case else []
    done = subprocess.run(
        [sys.executable, *flags, "-c", CHILD, *modules],
        check=True,
        capture_output=True,
        env={**os.environ, "PYTHONPATH": str(measuring.ROOT / "src")},
    )
    return [(name, int(rss)) for name, rss in json.loads(done.stdout)]


def measure(case: str, modules: tuple[str, ...]) -> list[Step]:
    """Return the steps of one case."""
    rounds = [run(case, modules) for _ in range(measuring.REPEATS)]
    found = []
    for number, (name, _) in enumerate(rounds[0]):
        rss = [one[number][1] for one in rounds]
        before = [one[max(number - 1, 0)][1] for one in rounds]
        added = [now - then for now, then in zip(rss, before, strict=True)]
        found.append(
            Step(case, name, measuring.spread(rss), measuring.spread(added))
        )
    return found


def main() -> None:
    """Measure all cases and write them."""
    steps = [
        step
        for case, modules in CASES.items()
        for step in measure(case, modules)
    ]
    for step in steps:
        print(step.case, step.module, step.rss_kb.median, step.added_kb.median)
    measuring.write("import-closure", steps)


if __name__ == "__main__":
    main()
