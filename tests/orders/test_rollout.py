from __future__ import annotations

import pytest
from tests.orders import deployment as deployments

from briarseam.endpoints import engine_orders
from briarseam.testing import waiting
from briarseam.testing import weight_store

MODEL = deployments.MODEL


def test_rollout_keeps_floor_and_loading_limit(deployment):
    """Six engines load a new version, ordered by two agents.

    If too many engines stop serving at once, requests are refused; if more
    than two load at once, each load takes longer.
    """
    deployment.add_engines(6)
    deployment.configure("v1", floor=4)
    agents = [deployment.add_agent(position=position) for position in range(2)]
    deployment.until_done()
    sampler = deployment.sampler()
    deployment.configure("v2", floor=4)
    deployment.until_all("v2")
    assert sampler.fewest_serving >= 4
    assert sampler.most_loading == 2
    deployment.until_done()
    waiting.until(lambda: not any(a.leases.held() for a in agents))


def test_rollout_blocked_by_the_floor_reports_the_reason(deployment):
    """The floor equals the number of engines, so none may load."""
    deployment.add_engines(2)
    deployment.configure("v2", floor=2)
    agent = deployment.add_agent()
    why = "worker-1, worker-2: floor leaves none to spare"
    waiting.until(lambda: agent.orders.status()[0].why == why)
    assert deployment.versions() == ["v1", "v1"]
    assert not agent.events("order-given")[2:]


def test_unreachable_engine_does_not_count_towards_the_floor(deployment):
    """One of three engines is down when a new version is configured.

    With a floor of two neither of the others may load, although the
    configuration still has three engines.
    """
    deployment.add_engines(3)
    deployment.configure("v1", floor=2)
    agent = deployment.add_agent()
    deployment.until_done()
    deployment.engines["worker-2"].stop()
    sampler = deployment.sampler()
    deployment.configure("v2", floor=2)
    why = "worker-1, worker-3: floor leaves none to spare"
    waiting.until(lambda: why in agent.orders.status()[0].why)
    assert sampler.most_loading == 0


def test_empty_engines_load_below_the_floor(deployment):
    """Without weights on any engine the floor cannot be kept yet."""
    deployment.add_engines(3, version="")
    deployment.configure("v1", floor=3)
    deployment.add_agent()
    deployment.until_all("v1")


def test_second_change_during_a_load_takes_effect(deployment):
    """An operator corrects a version while engines load it."""
    deployment.add_engines(4, load_s=0.5)
    deployment.configure("v1")
    deployment.add_agent()
    deployment.until_done()
    deployment.configure("v2")
    waiting.until(deployment.loading)
    deployment.configure("v3")
    deployment.until_all("v3")
    deployment.until_done()


def test_reverting_a_change_ends_loads_that_cannot_succeed(deployment):
    """Loads of a version that does not exist never end.

    They use up the loading limit until the former version is configured
    again.
    """
    deployment.add_engines(3, load_s=3600)
    deployment.configure("v1")
    deployment.add_agent()
    deployment.until_done()
    deployment.configure("no-such")
    waiting.until(lambda: len(deployment.loading()) == 2)
    deployment.configure("v1")
    deployment.until_all("v1")


def test_rollout_completes_with_a_slow_and_refusing_weight_store(deployment):
    """A slow weight store accepts one transfer at a time.

    It refuses further transfers and the engines retry them; the floor is
    kept meanwhile.
    """
    store = deployment.stack.enter_context(
        weight_store.WeightStore(
            weight_store.Switches(
                parts=2,
                part_bytes=40_000,
                bytes_per_s=400_000,
                max_concurrent=1,
            )
        )
    )
    deployment.add_engines(4, load_s=0.05)
    deployment.configure("v1", floor=3, weights=store.address)
    deployment.add_agent()
    deployment.until_done()
    sampler = deployment.sampler()
    deployment.configure("v2", floor=3, weights=store.address)
    deployment.until_all("v2")
    assert sampler.fewest_serving >= 3


def test_log_outage_stops_orders_until_the_log_is_back(deployment):
    """The log is unavailable for a while in the middle of a rollout.

    Without the log no lease can be renewed, so no orders are sent.  The
    versions that engines serve stay known, and requests are still served.
    """
    deployment.add_engines(6, load_s=1)
    deployment.configure("v1")
    agent = deployment.add_agent()
    deployment.until_done()
    deployment.configure("v2")
    waiting.until(deployment.loading)
    deployment.log.set(outage=True)
    waiting.until(lambda: not agent.leases.held())
    given = len(agent.events("order-given"))
    waiting.until(lambda: "log" in agent.orders.status()[0].why)
    waiting.until(lambda: not deployment.loading())
    assert len(agent.orders.offers(MODEL)) > 0
    assert len(agent.events("order-given")) == given
    assert set(deployment.versions()) == {"v1", "v2"}
    deployment.log.set(outage=False)
    deployment.until_all("v2")


@pytest.mark.parametrize("fencing", [True, False], ids=["fencing", "not"])
def test_order_with_a_lost_answer_is_repeated_until_reported(
    deployment, fencing
):
    deployment.add_engines(3, fencing=fencing)
    deployment.configure("v1", floor=2)
    agent = deployment.add_agent()
    deployment.until_done()
    sampler = deployment.sampler()
    for one in deployment.engines.values():
        one.set(lose_answers=1)
    deployment.configure("v2", floor=2)
    deployment.until_all("v2")
    deployment.until_done()
    assert sampler.fewest_serving >= 2
    outcomes = {
        event.fields["outcome"] for event in agent.events("order-given")
    }
    assert "lost" in outcomes


def test_engine_that_restarts_empty_is_loaded_again(deployment):
    deployment.add_engines(2)
    deployment.configure("v1")
    deployment.add_agent()
    deployment.until_done()
    deployment.engines["worker-1"].stop()
    del deployment.engines["worker-1"]
    deployment.add_engines(1, version="")
    deployment.addresses["worker-1"] = deployment.addresses.pop("worker-2")
    deployment.configure("v1")
    deployment.until_all("v1")


def test_adapter_and_role_reach_every_engine(deployment):
    deployment.add_engines(3)
    deployment.configure("v1")
    agent = deployment.add_agent()
    deployment.until_done()
    deployment.configure("v1", adapter="kitchen", role="prefill")
    waiting.until(
        lambda: all(
            one.weights.state().role == "prefill"
            and one.weights.model(MODEL).adapters == ("kitchen",)
            for one in deployment.engines.values()
        )
    )
    waiting.until(
        lambda: (
            [offer.adapter for offer in agent.orders.offers(MODEL).values()]
            == ["kitchen"] * 3
        )
    )


def test_engine_with_a_higher_fence_is_reported_without_flooding_the_log(
    deployment,
):
    """One engine has accepted a far higher fencing number than the log's.

    It refuses all orders.  The rollout must continue on the other engines,
    name this engine to operators, and not flood the log with new leases.
    """
    deployment.add_engines(3)
    stray = deployment.engines["worker-2"]
    engine_orders.OrderClient().give(
        stray.address, engine_orders.Load(MODEL, "v1", None), "stray", 10**6
    )
    deployment.configure("v2")
    agent = deployment.add_agent()
    waiting.until(lambda: deployment.versions() == ["v2", "v1", "v2"])
    why = "worker-2: has a higher fencing number"
    waiting.until(lambda: agent.orders.status()[0].why == why)
    assert agent.leases.appends < 20


def test_lagging_agent_does_not_undo_a_change(deployment):
    """One agent has not read the latest change when the rollout is done.

    Compared with its older configuration, all engines differ.
    """
    deployment.add_engines(2)
    old_view = deployment.configure("v1")
    deployment.add_agent()
    deployment.until_done()
    deployment.configure("v2")
    deployment.until_all("v2")
    deployment.until_done()
    lagging = deployment.add_agent(view=lambda: old_view)
    [model] = waiting.until(
        lambda: [
            model
            for model in lagging.orders.status()
            if "is not read yet" in model.why
        ]
    )
    assert deployment.versions() == ["v2", "v2"]
    assert not lagging.events("order-given")
