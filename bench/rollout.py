"""How long a rollout takes, what leases cost, and what a comparison costs.

Against stand-ins in the same process:

- a rollout over six engines with one, two and three loading at once, from a
  weight store that takes two transfers at a time;
- appends a second of leases, by holders and by leases of each holder;
- how long nobody gives orders after a holder is lost;
- processor time of reading one engine's state;
- processor time of one comparison of wanted and reported, by engines.

    PYTHONPATH=src:. python bench/rollout.py bench/results/rollout.json
"""

from __future__ import annotations

import contextlib
import dataclasses
import json
import pathlib
import statistics
import sys
import threading
import time

import lease_cost

from briarseam.backing import log as platform_log
from briarseam.configuration import schema
from briarseam.configuration import values
from briarseam.endpoints import engine_orders
from briarseam.leases import service as leases_service
from briarseam.metrics import registry
from briarseam.orders import goals
from briarseam.orders import offers
from briarseam.orders import peers
from briarseam.orders import planner
from briarseam.orders import service as orders_service
from briarseam.orders import sharing
from briarseam.orders import state
from briarseam.testing import engine
from briarseam.testing import engine_switches
from briarseam.testing import log_service
from briarseam.testing import waiting
from briarseam.testing import weight_store

MODEL = "draft"
ENGINES = 6
FLOOR = 3
REPEATS = 3
# Longest wait for engines or orders, in seconds.
WAIT_S = 120.0
LOAD_S = 1.4
PARTS = 4
PART_BYTES = 250_000
STORE_BYTES_PER_S = 4_000_000
TRANSFERS = 2
COMPARISONS = 200
POLLS = 500
SHARED = 10


@dataclasses.dataclass(frozen=True)
class RolloutRow:
    """Rollouts with one bound on loads at once."""

    max_loading: int
    seconds: list[float]
    median_s: float
    of_one_at_a_time: float
    fewest_serving: int
    most_loading: int
    lease_appends: int


@dataclasses.dataclass(frozen=True)
class CompareRow:
    """One comparison of wanted and reported, nothing to do.

    Attributes
    ----------
    engines
        How many.
    plan_us, offers_us
        Of one comparison, made when something has changed.
    idle_tick_us
        Of one of five ticks a second when nothing has.
    """

    engines: int
    plan_us: float
    offers_us: float
    idle_tick_us: float


@dataclasses.dataclass(frozen=True)
class PollRow:
    """Reading one engine's state, and telling the others.

    Attributes
    ----------
    poll_us
        Processor time of the reading thread.
    section_bytes
        Of one engine's report on a heartbeat, sent when it has changed.
    """

    poll_us: float
    section_bytes: float


class Watch:
    """Counts engines that serve and that load, by their own state."""

    def __init__(self, engines: list[engine.Engine]) -> None:
        self.engines = engines
        self.fewest_serving = len(engines)
        self.most_loading = 0
        self.done = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self) -> None:
        """Look until done."""
        while not self.done.wait(0.005):
            found = [one.weights.model(MODEL) for one in self.engines]
            loading = sum(bool(one and one.loading) for one in found)
            self.most_loading = max(self.most_loading, loading)
            serving = len(found) - loading
            self.fewest_serving = min(self.fewest_serving, serving)


def view_of(
    offset: int, version: str, addresses: list[str], weights: values.Weights
) -> schema.View:
    """Return a configuration that wants one version."""
    endpoints = {
        f"worker-{number}": values.Endpoint(
            values.EndpointKind.ENGINE, address, f"zone-{number % 3}", (MODEL,)
        )
        for number, address in enumerate(addresses)
    }
    return schema.View(
        offset=offset,
        models={MODEL: values.Model(version, floor=FLOOR)},
        endpoints=endpoints,
        weights=weights,
    )


def measure_rollouts(max_loading: int, one_s: float | None) -> RolloutRow:
    """Return the times of rollouts with one bound."""
    with contextlib.ExitStack() as stack:
        log = stack.enter_context(log_service.LogService())
        store = stack.enter_context(
            weight_store.WeightStore(
                weight_store.Switches(
                    parts=PARTS,
                    part_bytes=PART_BYTES,
                    bytes_per_s=STORE_BYTES_PER_S,
                    max_concurrent=TRANSFERS,
                )
            )
        )
        engines = [
            stack.enter_context(
                engine.Engine(
                    engine_switches.Switches(load_s=LOAD_S),
                    models={MODEL: "v0"},
                )
            )
            for _ in range(ENGINES)
        ]
        addresses = [one.address for one in engines]
        weights = values.Weights(store.address, max_loading)
        views = [view_of(1, "v0", addresses, weights)]
        leases = leases_service.Leases(
            platform_log.LogClient(log.address), "bench"
        )
        orders = orders_service.Orders(
            "bench",
            lambda: views[-1],
            leases,
            engine_orders.OrderClient(),
            registry.Registry(),
            lambda *kind, **fields: None,
        )
        leases.start()
        orders.start()
        stack.callback(leases.stop)
        stack.callback(orders.stop)
        waiting.until(lambda: orders.offers(MODEL), WAIT_S)
        watch = Watch(engines)
        seconds = []
        for number in range(1, REPEATS + 1):
            version = f"v{number}"
            began = time.monotonic()
            views.append(view_of(1 + number, version, addresses, weights))
            waiting.until(
                lambda wanted=version: served(engines, wanted), WAIT_S
            )
            seconds.append(time.monotonic() - began)
            waiting.until(lambda: not leases.held(), WAIT_S)
        watch.done.set()
        median_s = statistics.median(seconds)
        return RolloutRow(
            max_loading=max_loading,
            seconds=[round(one, 2) for one in seconds],
            median_s=round(median_s, 2),
            of_one_at_a_time=round(median_s / (one_s or median_s), 2),
            fewest_serving=watch.fewest_serving,
            most_loading=watch.most_loading,
            lease_appends=leases.appends,
        )


def served(engines: list[engine.Engine], version: str) -> bool:
    """Tell whether all engines serve a version."""
    return all(
        found is not None and found.version == version and not found.loading
        for found in (one.weights.model(MODEL) for one in engines)
    )


def measure_poll() -> PollRow:
    """Return what one reading costs, and its report on a heartbeat."""
    with engine.Engine(models={MODEL: "2026.11"}) as one:
        engines = engine_orders.OrderClient()
        engines.state(one.address)
        began = time.thread_time()
        for _ in range(POLLS):
            found = engines.state(one.address)
        poll_us = (time.thread_time() - began) / POLLS * 1e6
    board = state.EngineReports()
    for number in range(SHARED):
        board.put(f"draftmodels-{number}", state.Report(found, 0.0))
    section = sharing.Sharing(board, time.monotonic).provide()
    return PollRow(round(poll_us, 1), round(len(section) / SHARED, 1))


def measure_compare(count: int) -> CompareRow:
    """Return the processor time of one comparison, nothing to do."""
    addresses = ["127.0.0.1:1"] * count
    weights = values.Weights("127.0.0.1:1", max(2, count // 64))
    view = view_of(1, "v1", addresses, weights)
    loaded = engine_orders.EngineState(
        "b" * 32, {MODEL: engine_orders.ModelState("v1")}, 1, True
    )
    readings = {name: state.Report(loaded, 0.0) for name in view.endpoints}
    scopes = goals.scopes_of(view)
    targets = goals.targets_of(view)
    rounds = max(5, COMPARISONS * 64 // (64 + count))
    began = time.thread_time()
    for _ in range(rounds):
        for scope in scopes:
            plan = planner.Planner(scope, readings, {}).plan()
            assert not plan.steps
    planned = time.thread_time()
    for _ in range(rounds):
        offers.offers_of(MODEL, view.models[MODEL], targets, readings, None)
    ended = time.thread_time()
    return CompareRow(
        count,
        round((planned - began) / rounds * 1e6, 1),
        round((ended - planned) / rounds * 1e6, 1),
        round(measure_idle(view, readings), 1),
    )


def measure_idle(
    view: schema.View, readings: dict[str, state.Report]
) -> float:
    """Return the processor time of a tick without news, in microseconds."""
    orders = orders_service.Orders(
        "bench",
        lambda: view,
        leases_service.Leases(platform_log.LogClient("127.0.0.1:1"), "bench"),
        engine_orders.OrderClient(),
        registry.Registry(),
        lambda *kind, **fields: None,
        peers.Peers(
            owns=lambda engine: False, live=lambda: ("bench", "other")
        ),
    )
    orders.engine_reports.put_shared("other", readings)
    orders.tick()
    began = time.thread_time()
    for _ in range(COMPARISONS):
        orders.tick()
    return (time.thread_time() - began) / COMPARISONS * 1e6


def main(out: str) -> None:
    """Measure everything and write a file."""
    rollouts = [measure_rollouts(1, None)]
    for bound in (2, 3):
        rollouts.append(measure_rollouts(bound, rollouts[0].median_s))
    leases = [
        lease_cost.measure_leases(holders, each)
        for holders, each in (
            (1, 1),
            (1, 5),
            (1, 25),
            (1, 100),
            (4, 5),
            (8, 5),
        )
    ]
    rows = {
        "rollouts": rollouts,
        "leases": leases,
        "lost": [lease_cost.measure_lost()],
        "poll": [measure_poll()],
        "compare": [measure_compare(count) for count in (6, 64, 512, 4000)],
    }
    text = json.dumps(
        {
            name: [dataclasses.asdict(row) for row in found]
            for name, found in rows.items()
        },
        indent=1,
    )
    pathlib.Path(out).write_text(text + "\n")
    print(text)


if __name__ == "__main__":
    main(sys.argv[1])
