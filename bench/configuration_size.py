"""Measure what a tree costs against its number of paths.

python bench/configuration_size.py --out bench/results/NAME.json
"""

from __future__ import annotations

import argparse
import dataclasses
import gc
import json
import os
import pathlib
import resource
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "src"))

from briarseam.configuration import records  # noqa: E402
from briarseam.configuration import snapshots  # noqa: E402
from briarseam.configuration import state as states  # noqa: E402
from briarseam.configuration import teams as team_types  # noqa: E402

TEAMS = team_types.Teams(
    (team_types.Team("bench", (b"bench team key",), ("endpoints",)),)
)
SIZES = (30, 1000, 2000, 5000)
CHANGES = 200
BATCH = 500


@dataclasses.dataclass
class Row:
    """What a tree of one size costs."""

    paths: int
    rss_growth_mb: float
    snapshot_bytes: int
    snapshot_write_ms: float
    snapshot_load_ms: float
    change_us_p50: float
    change_us_p99: float


def rss_mb() -> float:
    """Return this process's resident memory."""
    pages = pathlib.Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * resource.getpagesize() / 1e6


def endpoint(number: int, state: str = "serving") -> dict[str, object]:
    """Return an endpoint as an operator would declare it."""
    return {
        "kind": "engine",
        "address": f"10.1.{number // 250}.{number % 250}:7111",
        "zone": f"zone-{number % 12}",
        "models": ["certificate-draft", "inspection-answers"],
        "fencing": True,
        "state": state,
    }


def encode(base: int, expects: dict[str, int], sets: dict[str, object]):
    """Return a change's record."""
    change = records.Change(
        records.new_id(), "bench", "operator", base, expects, sets
    )
    return records.encode(change, TEAMS.sign)


def measure(paths: int) -> Row:
    """Fill a tree, change it, write and load its snapshot."""
    gc.collect()
    before = rss_mb()
    tree = states.SharedTree(TEAMS, states.Counters())
    for start in range(0, paths, BATCH):
        sets = {
            f"endpoints/worker-{number}": endpoint(number)
            for number in range(start, min(start + BATCH, paths))
        }
        offset = tree.fold.offset
        tree.extend(offset + 1, [encode(offset, dict.fromkeys(sets, 0), sets)])
    gc.collect()
    growth = rss_mb() - before
    times = []
    for number in range(CHANGES):
        path = f"endpoints/worker-{number % paths}"
        offset = tree.fold.offset
        data = encode(
            offset,
            {path: tree.fold.revision(path)},
            {path: endpoint(number, "draining")},
        )
        started = time.perf_counter()
        tree.extend(offset + 1, [data])
        times.append(1e6 * (time.perf_counter() - started))
    times.sort()
    assert tree.counters.accepted == -(-paths // BATCH) + CHANGES
    started = time.perf_counter()
    state = snapshots.pack_state(tree.fold)
    wrote = time.perf_counter()
    snapshots.unpack_state(state, tree.fold.offset, tree.fold.digest)
    loaded = time.perf_counter()
    return Row(
        paths=paths,
        rss_growth_mb=round(growth, 2),
        snapshot_bytes=len(state),
        snapshot_write_ms=round(1000 * (wrote - started), 2),
        snapshot_load_ms=round(1000 * (loaded - wrote), 2),
        change_us_p50=round(times[len(times) // 2]),
        change_us_p99=round(times[int(len(times) * 0.99)]),
    )


def main() -> None:
    """Measure each size in a process of its own and write the rows."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--paths", type=int)
    parser.add_argument(
        "--out", default="bench/results/configuration-size.json"
    )
    args = parser.parse_args()
    if args.paths:
        print(json.dumps(dataclasses.asdict(measure(args.paths))))
        return
    rows = []
    for paths in SIZES:
        command = f"{sys.executable} {__file__} --paths {paths}"
        with os.popen(command) as answer:
            rows.append(json.loads(answer.read()))
        print(rows[-1], flush=True)
    result = {"load_average": os.getloadavg(), "rows": rows}
    pathlib.Path(args.out).write_text(json.dumps(result, indent=2) + "\n")


if __name__ == "__main__":
    main()
