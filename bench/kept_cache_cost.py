"""What the kept cache's index costs an agent: bytes a block, time a plan.

PYTHONPATH=src python bench/kept_cache_cost.py OUT.json
"""

from __future__ import annotations

import dataclasses
import json
import pathlib
import secrets
import statistics
import sys
import time
import tracemalloc

from briarseam.cache import retention
from briarseam.cache import service
from briarseam.cache import state
from briarseam.cache import stores
from briarseam.configuration import schema
from briarseam.configuration import values

PIECES = 20
SESSIONS = (100, 1000, 10000)
PLANS = 2000
REMEMBERED = 10000
STORE = "keep-a"
BOOT = "0123456789abcdef0123456789abcdef"


@dataclasses.dataclass(frozen=True)
class Row:
    """One size of the index.

    Attributes
    ----------
    sessions, blocks
        In the index.
    bytes_per_block
        Memory that the index takes for each, by tracemalloc.
    plan_us_p50, plan_us_p95
        Time of a plan in which all pieces are found.
    miss_us_p50
        Time of a plan in which none is.
    """

    sessions: int
    blocks: int
    bytes_per_block: float
    plan_us_p50: float
    plan_us_p95: float
    miss_us_p50: float


def bytes_per_remembered() -> float:
    """Return the memory of a session that is remembered, in bytes."""
    model = retention.ReturnModel(max_awaited=REMEMBERED)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(REMEMBERED):
        group = (number % 10).to_bytes(4, "big") + secrets.token_bytes(8)
        model.record_use(group, 4 + number % 50, float(number))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / REMEMBERED


def build() -> service.KeptCache:
    """Return a kept cache with a live store, without threads."""
    endpoint = values.Endpoint(
        kind=values.EndpointKind.STORE, address="127.0.0.1:1", zone="z"
    )
    view = schema.View(offset=1, endpoints={STORE: endpoint})
    kept = service.KeptCache(lambda: view, b"key", max_blocks=1 << 20)
    kept.stores.refresh()
    store: stores.Store = kept.stores.by_name[STORE]
    store.alive = True
    store.boot_id = BOOT
    return kept


def chain(number: int) -> tuple[bytes, ...]:
    """Return the chain of one session's prompt."""
    return tuple(
        number.to_bytes(8, "big") + piece.to_bytes(8, "big")
        for piece in range(PIECES)
    )


def prompt(number: int) -> state.Prompt:
    """Return one session's prompt."""
    return state.Prompt(
        "kitchen", f"session-{number}", "draft", "", "v1", chain(number)
    )


def fill(kept: service.KeptCache, sessions: int) -> None:
    """Index the blocks of some sessions."""
    variant = kept.names.variant("draft", "", "v1")
    for number in range(sessions):
        asked = prompt(number)
        group = kept.planner.group(asked)
        keys = kept.planner.keys(asked, asked.chain)
        for depth, key in enumerate(keys):
            name = kept.names.new_name(group, variant, depth, key)
            block = state.Block(
                kept.names.pack(name),
                65536 + number % 7,
                secrets.token_bytes(16),
                STORE,
                BOOT,
            )
            kept.index.add(block, 0.0, float("inf"))


def timed(kept: service.KeptCache, numbers: list[int]) -> list[float]:
    """Return the microseconds of a plan for each session."""
    prompts = [prompt(number) for number in numbers]
    took = []
    for asked in prompts:
        began = time.perf_counter()
        kept.planner.plan(asked, 0)
        took.append(1e6 * (time.perf_counter() - began))
    return took


def measure(sessions: int) -> Row:
    """Return what an index of this size costs."""
    kept = build()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    fill(kept, sessions)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    numbers = [number % sessions for number in range(0, 7 * PLANS, 7)]
    hits = timed(kept, numbers)
    misses = timed(kept, [sessions + number for number in numbers])
    blocks = len(kept.index)
    return Row(
        sessions=sessions,
        blocks=blocks,
        bytes_per_block=(after - before) / blocks,
        plan_us_p50=statistics.median(hits),
        plan_us_p95=statistics.quantiles(hits, n=20)[18],
        miss_us_p50=statistics.median(misses),
    )


def main() -> None:
    """Measure, print and write the rows."""
    rows = [dataclasses.asdict(measure(sessions)) for sessions in SESSIONS]
    for row in rows:
        print({name: round(value, 1) for name, value in row.items()})
    remembered = bytes_per_remembered()
    print(f"bytes per remembered session: {remembered:.0f}")
    report = {
        "pieces_per_prompt": PIECES,
        "plans": PLANS,
        "bytes_per_remembered_session": remembered,
        "rows": rows,
    }
    pathlib.Path(sys.argv[1]).write_text(json.dumps(report, indent=1) + "\n")


if __name__ == "__main__":
    main()
