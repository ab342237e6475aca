from __future__ import annotations

import dataclasses

from briarseam.endpoints import engine_orders
from briarseam.leases import outcomes
from briarseam.metrics import registry
from briarseam.orders import goals
from briarseam.orders import issuer as issuer_module
from briarseam.orders import rollout
from briarseam.orders import state

MODEL = "draft"
SCOPE = goals.Scope(
    lease="engines/1-of-1",
    targets=(goals.Target("worker-1", "127.0.0.1:1", "rumoi", (MODEL,)),),
    goals={MODEL: goals.ModelGoal(MODEL, "v2", "", 0)},
    max_loading=2,
    weights=None,
)


@dataclasses.dataclass
class Frozen:
    """A lease that runs out, and engines whose answer takes that long."""

    now_s: float = 0.0
    freeze_s: float = 0.0
    orders_given: int = 0

    def clock(self) -> float:
        return self.now_s

    def reacquire(self, name, basis):
        return outcomes.Held(1)

    acquire = reacquire

    def holds(self, name):
        return 1 if self.now_s < 5 else None

    def state(self, address):
        self.now_s += self.freeze_s
        loaded = engine_orders.ModelState("v1")
        return engine_orders.EngineState("boot", {MODEL: loaded})

    def give(self, *order):
        self.orders_given += 1
        return engine_orders.Taken(loading=True)


def step(freeze_s: float) -> int:
    world = Frozen(freeze_s=freeze_s)
    engine_reports = state.EngineReports()
    engine_reports.put("worker-1", state.Report(world.state(""), 0.0))
    world.now_s = 0.0
    counters = registry.Registry().counters("x_total", "x", ("a", "b"))
    work = rollout.Rollout(
        issuer_module.Context(
            leases=world,
            engines=world,
            engine_reports=engine_reports,
            clock=world.clock,
            record_event=lambda *args, **fields: None,
            precedence=lambda lease: 0,
            orders_given=counters,
        )
    )
    work.step(SCOPE, 1)
    return world.orders_given


def test_order_follows_when_the_lease_holds():
    assert step(freeze_s=1.0) == 1


def test_no_order_when_the_lease_ran_out_since_it_was_taken():
    """The holder is frozen between taking the lease and its order."""
    assert step(freeze_s=10.0) == 0
