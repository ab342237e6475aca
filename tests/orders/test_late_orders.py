from __future__ import annotations

from tests.orders import delaying_proxy

from briarseam.endpoints import engine_orders
from briarseam.testing import waiting

MODEL = "draft"


def held_back(
    deployment, name: str, hold: int
) -> delaying_proxy.DelayingProxy:
    """Put a gate before one engine."""
    address = deployment.addresses[name]
    found = deployment.stack.enter_context(
        delaying_proxy.DelayingProxy(address, hold)
    )
    deployment.addresses[name] = found.address
    return found


def given(agent, endpoint: str, outcome: str):
    return [
        event
        for event in agent.events("order-given")
        if event.endpoint == endpoint and event.fields["outcome"] == outcome
    ]


def test_order_that_arrives_after_its_successor_is_refused(deployment):
    """The network keeps an order back until the rollout is over.

    It says "serve v1" under an old number; taken, it would put a worker
    back to old weights though nobody wants them.
    """
    deployment.add_engines(2)
    slow = held_back(deployment, "worker-1", hold=1)
    deployment.configure("v2")
    agent = deployment.add_agent()
    deployment.until_all("v2")
    deployment.until_done()
    slow.released.set()
    waiting.until(lambda: slow.late_statuses)
    assert slow.late_statuses == [409]
    assert deployment.versions() == ["v2", "v2"]
    assert given(agent, "worker-1", "lost")


def test_late_order_at_an_engine_that_ignores_numbers_is_undone(deployment):
    """As before, but the worker takes whatever arrives.

    Its report shows the old version, and the order is given again until
    the report is as wanted.
    """
    deployment.add_engines(2, fencing=False)
    slow = held_back(deployment, "worker-1", hold=1)
    deployment.configure("v2")
    agent = deployment.add_agent()
    deployment.until_all("v2")
    deployment.configure("v3")
    deployment.until_all("v3")
    deployment.until_done()
    before = len(given(agent, "worker-1", "taken"))
    slow.released.set()
    waiting.until(lambda: slow.late_statuses)
    assert slow.late_statuses == [202]
    waiting.until(lambda: len(given(agent, "worker-1", "taken")) > before)
    deployment.until_all("v3")


def test_engine_counts_as_out_while_an_order_to_it_is_lost(deployment):
    """An order to one of three workers hangs in the network.

    The worker still reports that it serves, but the order may arrive at
    any moment; taking another one out would leave fewer than the floor.
    """
    deployment.add_engines(3, fencing=False)
    slow = held_back(deployment, "worker-3", hold=100)
    deployment.configure("v2", floor=2)
    agent = deployment.add_agent()
    waiting.until(lambda: given(agent, "worker-3", "lost"))
    assert deployment.versions() == ["v2", "v2", "v1"]
    deployment.configure("v3", floor=2)
    before = len(given(agent, "worker-3", "lost"))
    waiting.until(lambda: len(given(agent, "worker-3", "lost")) > before + 1)
    assert deployment.versions() == ["v2", "v2", "v1"]
    assert not deployment.loading()
    slow.released.set()
    deployment.until_all("v3", timeout_s=30)


def test_waiting_engines_refuse_the_former_holders_orders(deployment):
    """The former holder's order for one of three workers is still under way.

    Its successor has no worker to spare and only waits; were the order
    taken now, a worker would go out beside the next one taken out.
    """
    deployment.add_engines(3)
    deployment.configure("v2", floor=3)
    agent = deployment.add_agent()
    fences = waiting.until(
        lambda: [
            event.fields["fence"] for event in agent.events("lease-acquired")
        ]
    )
    waiting.until(
        lambda: all(
            one.weights.state().fence == fences[-1]
            for one in deployment.engines.values()
        )
    )
    late = engine_orders.EngineOrders().give(
        deployment.addresses["worker-2"],
        engine_orders.Load(MODEL, "v2", None),
        "late",
        fences[-1] - 1,
    )
    assert late == engine_orders.Superseded(fences[-1])
    assert deployment.versions() == ["v1"] * 3
