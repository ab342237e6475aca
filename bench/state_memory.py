"""Memory of an agent's state per item, each kind in a process of its own.

Run from the top of the tree with the environment that `scripts/test` makes::

    PYTHONPATH=src .venv/bin/python bench/state_memory.py

Fills the product's own classes and reads the process's resident memory at
several sizes.  Writes bench/results/state-memory.json.
"""

from __future__ import annotations

import argparse
import dataclasses
import gc
import json
import math
import secrets
import subprocess
import sys
import time
import typing

import measuring

from briarseam.cache import index as indexes
from briarseam.cache import names
from briarseam.cache import state as cache
from briarseam.configuration import schema
from briarseam.lookup import layout as layouts
from briarseam.membership import directory as directories
from briarseam.membership import messages as membership
from briarseam.routing import active_runs
from briarseam.routing import prefixes

SIZES: dict[str, tuple[int, ...]] = {
    "blocks, 8 a session": (1_000, 10_000, 100_000),
    "blocks, 1 a session": (1_000, 10_000, 100_000),
    "engine pieces": (1_000, 10_000, 40_000),
    "members of other cells": (92, 460, 920),
    "organisations in the view": (10, 100, 960),
    "runs under way": (100, 1_000, 10_000),
}
CELL_SIZE = 32
ENGINES = 40
BLOCK_BYTES = 1_000_000
HASH_BYTES = 16


@dataclasses.dataclass(frozen=True)
class Row:
    """Growth of resident memory by a number of items."""

    kind: str
    count: int
    growth_kb: measuring.Spread
    bytes_per_item: measuring.Spread
    fill_us_per_item: measuring.Spread


def fill_blocks(count: int, per_session: int) -> object:
    """Return an index of kept blocks."""
    index = indexes.BlockIndex(count + 1)
    maker = names.Names(b"bench")
    boot = "boot"
    for number in range(count):
        session, depth = divmod(number, per_session)
        group = maker.group("kitchen", str(session))
        name = maker.new_name(
            group, b"vers", depth, secrets.token_bytes(names.KEY_BYTES)
        )
        checksum = secrets.token_bytes(HASH_BYTES)
        block = cache.Block(
            maker.pack(name), BLOCK_BYTES, checksum, "store-1", boot
        )
        index.add(block, time.monotonic(), math.inf)
    return index


def fill_pieces(count: int) -> object:
    """Return what is believed to be in the engines' own memory."""
    known = prefixes.Prefixes()
    for engine in range(ENGINES):
        keys = [
            prefixes.key_of(secrets.token_bytes(HASH_BYTES), "draft", "v1")
            for _ in range(count // ENGINES)
        ]
        known.record_use(f"worker-{engine}", keys, count)
    return known


def about(number: int) -> membership.About:
    """Return what an agent of a large deployment says of itself."""
    third, fourth = divmod(number, 250)
    host = f"10.1.{third}.{fourth}"
    entries = tuple(f"{host}:{7151 + port}" for port in range(4))
    name = f"cph-hall-a-{number}"
    return membership.About(
        name, "cph-hall-a", f"{host}:7141", entries, 1, False
    )


def fill_members(count: int) -> object:
    """Return the directory of other cells and the lookup's layout."""
    directory = directories.Directory(time.monotonic)
    for cell in range(-(-count // CELL_SIZE)):
        numbers = range(cell * CELL_SIZE, min((cell + 1) * CELL_SIZE, count))
        stamp = membership.CellStamp(1, 1)
        abouts = tuple(map(about, numbers))
        directory.apply(
            [membership.CellSummary(f"zone-{cell}/0", stamp, abouts)]
        )
    members = directory.members("zone-x/0")
    return directory, layouts.build(members)


def fill_organisations(count: int) -> object:
    """Return the typed view of a tree of organisations."""
    tree: dict[str, typing.Any] = {
        f"organisations/kitchen-{number}": {
            "token_digest": secrets.token_hex(HASH_BYTES)
        }
        for number in range(count)
    }
    view, errors = schema.build_view(1, tree)
    assert not errors
    return view, len(view.by_token)


def fill_runs(count: int) -> object:
    """Return the runs under way."""
    own_runs = active_runs.ActiveRuns()
    for number in range(count):
        own_runs.start(
            f"worker-{number % ENGINES}",
            active_runs.Dispatch(secrets.token_hex(12), time.monotonic(), 3.0),
        )
    return own_runs


def fill(kind: str, count: int) -> object:
    """Return a state of some size."""
    match kind:
        case "blocks, 8 a session":
            return fill_blocks(count, 8)
        case "blocks, 1 a session":
            return fill_blocks(count, 1)
        case "engine pieces":
            return fill_pieces(count)
        case "members of other cells":
            return fill_members(count)
        case "organisations in the view":
            return fill_organisations(count)
        case "runs under way":
            return fill_runs(count)
    raise ValueError(kind)


def measure_here(kind: str, count: int) -> tuple[int, float]:
    """Return growth in kB and microseconds per item of this process."""
    fill(kind, 10)
    gc.collect()
    before, started = measuring.rss_kb(), time.process_time()
    held = fill(kind, count)
    used = time.process_time() - started
    gc.collect()
    growth = measuring.rss_kb() - before
    assert held is not None
    return growth, 1e6 * used / count


def measure(kind: str, count: int) -> Row:
    """Return the row of one kind and size."""
    found = []
    for _ in range(measuring.REPEATS):
        done = subprocess.run(
            [sys.executable, __file__, "--kind", kind, "--count", str(count)],
            check=True,
            capture_output=True,
        )
        found.append(json.loads(done.stdout))
    return Row(
        kind,
        count,
        measuring.spread([growth for growth, _ in found]),
        measuring.spread([1000 * growth / count for growth, _ in found], 0),
        measuring.spread([used for _, used in found], 2),
    )


def main() -> None:
    """Measure all kinds and sizes and write them."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--kind")
    parser.add_argument("--count", type=int)
    args = parser.parse_args()
    if args.kind:
        print(json.dumps(measure_here(args.kind, args.count)))
        return
    rows = []
    for kind, counts in SIZES.items():
        for count in counts:
            rows.append(measure(kind, count))
            print(rows[-1], flush=True)
    measuring.write("state-memory", rows)


if __name__ == "__main__":
    main()
