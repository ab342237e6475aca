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
class FrozenHolder:
    """A lease that expires while the process waits for an engine's state.

    It stands in for the leases, the engines and the clock.
    """

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


def orders_sent_after_freeze(freeze_s: float) -> int:
    holder = FrozenHolder(freeze_s=freeze_s)
    engine_reports = state.EngineReports()
    engine_reports.put("worker-1", state.Report(holder.state(""), 0.0))
    holder.now_s = 0.0
    counters = registry.Registry().counters("x_total", "x", ("a", "b"))
    rollout_under_test = rollout.Rollout(
        issuer_module.Context(
            leases=holder,
            engines=holder,
            engine_reports=engine_reports,
            clock=holder.clock,
            record_event=lambda *args, **fields: None,
            precedence=lambda lease: 0,
            orders_given=counters,
        )
    )
    rollout_under_test.step(SCOPE, 1)
    return holder.orders_given


def test_order_is_sent_while_the_lease_is_held():
    assert orders_sent_after_freeze(freeze_s=1.0) == 1


def test_no_order_is_sent_after_the_lease_expired():
    """The holder is frozen after it acquired the lease, before its order.

    The lease expires meanwhile, so another holder may send orders.
    """
    assert orders_sent_after_freeze(freeze_s=10.0) == 0
