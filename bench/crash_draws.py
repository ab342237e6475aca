"""Draws of a request that crashes endpoints, in virtual time.

    PYTHONPATH=src:. python bench/crash_draws.py --first 100 --count 12

Prints a line of JSON for each kind of run: how many were drawn, the most late
arrivals, and the seeds with more than three.  Runs of "small" also draw the
service: the number of its endpoints, and when they and their entries return.
"""

from __future__ import annotations

import argparse
import collections
import json
import logging
import random
import typing

import structlog
from tests.crashes import crash_simulation
from tests.crashes import small_services

ALLOWED_ARRIVALS = 3
PAUSES_S = (0.15, 0.4, 1.2, 2.0, 4.0, 8.0, 20.0)
LEAVE_AFTER_S = (0.05, 100.0)
CRASH_AFTER_S = (0.05, 0.1, 0.3)
ROUNDS = 12

Simulation = crash_simulation.Simulation


def run_long(simulation: Simulation, pause_s: float) -> None:
    """Let the request come for ten minutes."""
    simulation.run(600.0, pause_s)


def run_ends(simulation: Simulation, pause_s: float) -> None:
    """Let all endpoints end, or kill an instance, again and again."""
    random_ = simulation.random
    for _ in range(ROUNDS):
        simulation.run(random_.uniform(1.0, 12.0), pause_s)
        drawn = random_.random()
        if drawn < 0.4:
            simulation.end_all()
        elif drawn < 0.8:
            simulation.kill([random_.randrange(crash_simulation.INSTANCES)])
    simulation.run(10.0, pause_s)


RUNS: dict[str, typing.Callable[[Simulation, float], None]] = {
    "long": run_long,
    "kills": crash_simulation.run_kills,
    "ends": run_ends,
}


def main() -> None:
    """Draw and run, and print what came of it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--count", type=int, default=12)
    options = parser.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    late: dict[str, dict[int, int]] = collections.defaultdict(dict)
    for seed in range(options.first, options.first + options.count):
        random_ = random.Random(seed)
        pause_s = random_.choice(PAUSES_S)
        leave_after_s = random_.choice(LEAVE_AFTER_S)
        has_part = random_.random() < 0.5
        crash_after_s = random_.choice(CRASH_AFTER_S)
        for name, run in RUNS.items():
            simulation = Simulation(
                seed, crash_after_s, leave_after_s, has_part
            )
            run(simulation, pause_s)
            late[name][seed] = simulation.late()
        late["small"][seed] = small_services.run_drawn(seed).late()
    for name, by_seed in late.items():
        over = {n: one for n, one in by_seed.items() if one > ALLOWED_ARRIVALS}
        row = {
            "run": name,
            "first": options.first,
            "count": len(by_seed),
            "most": max(by_seed.values()),
            "over": over,
        }
        print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
