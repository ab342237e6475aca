"""Links under imports and exports: the budget, a slow-down, and event reads.

One agent, one engine and one store in this process.  First callers import
far more than the link's budget allows, for some seconds; what went over the
link is counted at the store over every window of a second.  Then the
store's link falls to a tenth and comes back; the bench prints what was
planned, and what an import took.  Last, the processor time of reading an
engine's cache events.

    PYTHONPATH=src python bench/kept_cache_links.py OUT.json
"""

from __future__ import annotations

import json
import pathlib
import sys
import threading
import time

from briarseam.cache import pieces
from briarseam.cache import residents
from briarseam.cache import service
from briarseam.cache import state
from briarseam.configuration import schema
from briarseam.configuration import values
from briarseam.endpoints import engine_events
from briarseam.testing import engine as engines
from briarseam.testing import engine_cache
from briarseam.testing import store as stores
from briarseam.testing import waiting
from briarseam.testing import words

MODEL = "draft"
VERSION = "v1"
KV_BYTES = 40
PIECES = 5
PROMPTS = 12
BUDGET = 500_000
CALLERS = 8
RUN_S = 8.0
WINDOW_S = 1.0
PREFILL_S = 0.06
STEPS = 40
SLOW_FROM = 5
SLOW_TO = 15
STEP_S = 1.5
FAST = 4_000_000
READS = 300


class CountingStore(stores.Store):
    """A store that notes when which bytes went out or came in."""

    def __init__(self) -> None:
        super().__init__()
        self.moved: list[tuple[float, int]] = []

    def answer(self, request):  # type: ignore[no-untyped-def]
        """Note a transfer, and answer."""
        response = super().answer(request)
        if request.path[:1] == ("blocks",) and len(request.path) > 1:
            found = self.blocks.memory.get(request.path[1])
            if found is not None and request.method in ("GET", "PUT"):
                self.moved.append((time.monotonic(), len(found.content)))
        return response


class Bench:
    """The processes of the bench."""

    def __init__(self) -> None:
        self.engine = engines.Engine(
            engines.Switches(
                kv_bytes_per_token=KV_BYTES, cache_tokens=10_000_000
            ),
            models={MODEL: VERSION},
        ).start()
        self.store = CountingStore()
        self.store.start()
        self.budget = 0
        self.kept = service.KeptCache(self.view, b"key")
        self.kept.start()
        waiting.until(self.kept.stores.writable)

    def view(self) -> schema.View:
        """Return the configuration."""
        endpoint = values.Endpoint(
            kind=values.EndpointKind.STORE,
            address=self.store.address,
            zone="z",
            link_bytes_per_s=self.budget,
        )
        return schema.View(
            offset=1,
            endpoints={"keep-a": endpoint},
            models={MODEL: values.Model(version=VERSION)},
        )

    def prompt(self, number: int) -> state.Prompt:
        """Return one of the prompts."""
        text = words.prompt(1000 * PIECES, number)
        chain = tuple(pieces.chain(text))
        return state.Prompt("o", f"s{number}", MODEL, "", VERSION, chain)

    def keep(self, prompt: state.Prompt) -> None:
        """Let a prompt run and be kept."""
        salt = self.kept.engine_salt("o", "")
        self.engine.cache.add(
            [
                engine_cache.Prefix(
                    MODEL, VERSION, pieces.salted(digest, salt)
                )
                for digest in prompt.chain
            ]
        )
        self.kept.saver.after_run(prompt, self.engine.address)

    def bring(self, prompt: state.Prompt) -> state.Imported:
        """Import what pays of a prompt."""
        plan = self.kept.planner.plan(prompt, 0).best(PREFILL_S)
        return self.kept.import_to(self.engine.address, plan)


def most_in_a_window(moved: list[tuple[float, int]]) -> int:
    """Return the most bytes over any window of ``WINDOW_S``."""
    most = 0
    total = 0
    first = 0
    for at, size in moved:
        total += size
        while moved[first][0] < at - WINDOW_S:
            total -= moved[first][1]
            first += 1
        most = max(most, total)
    return most


def over_budget(bench: Bench, prompts: list[state.Prompt]) -> dict[str, float]:
    """Return what goes over a link that is asked for too much."""
    bench.budget = BUDGET
    waiting.until(
        lambda: bench.kept.stores.by_name["keep-a"].link.limit == BUDGET
    )
    bench.store.moved.clear()
    ends = time.monotonic() + RUN_S
    asked = [0] * CALLERS

    def call(me: int) -> None:
        number = me
        while time.monotonic() < ends:
            plan = bench.kept.planner.plan(prompts[number % PROMPTS], 0)
            asked[me] += plan.bytes
            done = bench.kept.import_to(bench.engine.address, plan)
            if not done.pieces:
                time.sleep(0.01)
            number += CALLERS

    threads = [
        threading.Thread(target=call, args=(me,)) for me in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    moved = list(bench.store.moved)
    elapsed_s = moved[-1][0] - moved[0][0]
    return {
        "budget_bytes_per_s": BUDGET,
        "asked_over_budget": sum(asked) / (BUDGET * RUN_S),
        "elapsed_s": elapsed_s,
        "moved_over_budget": sum(size for _, size in moved)
        / (BUDGET * elapsed_s),
        "most_in_a_second_over_budget": most_in_a_window(moved) / BUDGET,
        "import_over_budget": PIECES * KV_BYTES * 1000 / BUDGET,
    }


def slow_down(
    bench: Bench, prompts: list[state.Prompt]
) -> list[dict[str, float]]:
    """Return each import while a link falls to a tenth and comes back."""
    bench.budget = 0
    waiting.until(lambda: bench.kept.stores.by_name["keep-a"].link.limit == 0)
    rows = []
    for step in range(STEPS):
        rate = FAST / 10 if SLOW_FROM <= step < SLOW_TO else FAST
        bench.store.set(link_bytes_per_s=rate)
        whole = bench.kept.planner.plan(prompts[step % PROMPTS], 0)
        began = time.monotonic()
        done = bench.bring(prompts[step % PROMPTS])
        rows.append(
            {
                "step": step,
                "link_bytes_per_s": rate,
                "predicted_s": whole.predicted_s,
                "took_s": time.monotonic() - began,
                "pieces": done.pieces,
            }
        )
        time.sleep(STEP_S)
    return rows


class Nobody:
    """Wants no news of engines."""

    def added(self, endpoint: str, prefix: engine_events.Prefix) -> None:
        """Pass over it."""

    def removed(self, endpoint: str, prefix: engine_events.Prefix) -> None:
        """Pass over it."""

    def forget(self, endpoint: str) -> None:
        """Pass over it."""


def event_cost(bench: Bench) -> dict[str, float]:
    """Return the processor time of reading an engine's events.

    The engine runs in this process too, so its own part is in it.
    """
    resident = residents.EngineCacheFollower(
        "engine-0",
        bench.engine.address,
        engine_events.EventClient(),
        Nobody(),
        state.NoMetrics(),
    )
    resident.read()
    began = time.process_time()
    for _ in range(READS):
        resident.read()
    took_s = time.process_time() - began
    return {"us_per_read_with_the_engine": 1e6 * took_s / READS}


def main() -> None:
    """Measure, print and write."""
    bench = Bench()
    prompts = [bench.prompt(number) for number in range(PROMPTS)]
    for prompt in prompts:
        bench.keep(prompt)
    waiting.until(
        lambda: len(bench.kept.index) == PROMPTS * PIECES, timeout_s=30
    )
    report = {
        "budget": over_budget(bench, prompts),
        "slow_down": slow_down(bench, prompts),
        "events": event_cost(bench),
    }
    for name, value in report["budget"].items():  # type: ignore[union-attr]
        print(f"{name:32}{value:12.3f}")
    for row in report["slow_down"]:
        print(row)
    print(report["events"])
    pathlib.Path(sys.argv[1]).write_text(json.dumps(report, indent=1) + "\n")


if __name__ == "__main__":
    main()
