from __future__ import annotations

from tests.orders import delaying_proxy

from briarseam.endpoints import engine_orders
from briarseam.testing import waiting

MODEL = "draft"


def delay_orders(
    deployment, name: str, hold: int
) -> delaying_proxy.DelayingProxy:
    """Put a proxy that delays orders in front of one engine."""
    address = deployment.addresses[name]
    proxy = deployment.stack.enter_context(
        delaying_proxy.DelayingProxy(address, hold)
    )
    deployment.addresses[name] = proxy.address
    return proxy


def order_events(agent, endpoint: str, outcome: str):
    return [
        event
        for event in agent.events("order-given")
        if event.endpoint == endpoint and event.fields["outcome"] == outcome
    ]


def test_order_arriving_after_a_newer_order_is_refused(deployment):
    """The network delays an order until the rollout is complete.

    The order has an old fencing number.  If the engine accepted it, it
    would load a version that was replaced.
    """
    deployment.add_engines(2)
    proxy = delay_orders(deployment, "worker-1", hold=1)
    deployment.configure("v2")
    agent = deployment.add_agent()
    deployment.until_all("v2")
    deployment.until_done()
    proxy.released.set()
    waiting.until(lambda: proxy.late_statuses)
    assert proxy.late_statuses == [409]
    assert deployment.versions() == ["v2", "v2"]
    assert order_events(agent, "worker-1", "lost")


def test_late_order_is_undone_on_an_engine_without_fencing(deployment):
    """A delayed order reaches an engine that accepts any fencing number.

    Its report shows the old version, and the current order is repeated
    until the report shows the desired version.
    """
    deployment.add_engines(2, fencing=False)
    proxy = delay_orders(deployment, "worker-1", hold=1)
    deployment.configure("v2")
    agent = deployment.add_agent()
    deployment.until_all("v2")
    deployment.configure("v3")
    deployment.until_all("v3")
    deployment.until_done()
    before = len(order_events(agent, "worker-1", "taken"))
    proxy.released.set()
    waiting.until(lambda: proxy.late_statuses)
    assert proxy.late_statuses == [202]
    waiting.until(
        lambda: len(order_events(agent, "worker-1", "taken")) > before
    )
    deployment.until_all("v3")


def test_engine_with_a_lost_order_counts_as_loading(deployment):
    """An order to one of three engines is delayed in the network.

    The engine still reports that it serves, but the order may arrive at
    any time.  Loading on another engine could leave fewer serving engines
    than the floor.
    """
    deployment.add_engines(3, fencing=False)
    proxy = delay_orders(deployment, "worker-3", hold=100)
    deployment.configure("v2", floor=2)
    agent = deployment.add_agent()
    waiting.until(lambda: order_events(agent, "worker-3", "lost"))
    assert deployment.versions() == ["v2", "v2", "v1"]
    deployment.configure("v3", floor=2)
    before = len(order_events(agent, "worker-3", "lost"))
    waiting.until(
        lambda: len(order_events(agent, "worker-3", "lost")) > before + 1
    )
    assert deployment.versions() == ["v2", "v2", "v1"]
    assert not deployment.loading()
    proxy.released.set()
    deployment.until_all("v3", timeout_s=30)


def test_waiting_engines_refuse_the_former_holders_orders(deployment):
    """The former holder's order to one of three engines is in transit.

    The floor allows its successor no load, so all engines wait.  If the
    engine accepted the order, it could load at the same time as an engine
    that the successor orders to load.
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
    outcome = engine_orders.OrderClient().give(
        deployment.addresses["worker-2"],
        engine_orders.Load(MODEL, "v2", None),
        "late",
        fences[-1] - 1,
    )
    assert outcome == engine_orders.Superseded(fences[-1])
    assert deployment.versions() == ["v1"] * 3
