from __future__ import annotations

import pytest
from tests.orders import deployment as deployments

from briarseam.endpoints import engine_orders
from briarseam.testing import waiting
from briarseam.testing import weight_store

MODEL = deployments.MODEL


def test_rollout_keeps_floor_and_loading_limit(deployment):
    """Six workers of two agents go to new weights under load.

    Requests would be refused if too many left service at once, and each
    load would take longer if more than two ran.
    """
    deployment.add_engines(6)
    deployment.configure("v1", floor=4)
    agents = [deployment.add_agent(place=place) for place in range(2)]
    deployment.until_done()
    sampler = deployment.sampler()
    deployment.configure("v2", floor=4)
    deployment.until_all("v2")
    assert sampler.fewest_serving >= 4
    assert sampler.most_loading == 2
    deployment.until_done()
    waiting.until(lambda: not any(a.leases.held() for a in agents))


def test_floor_that_leaves_none_to_spare_blocks_and_says_so(deployment):
    """The floor equals the number of workers; nothing may be taken out."""
    deployment.add_engines(2)
    deployment.configure("v2", floor=2)
    agent = deployment.add_agent()
    why = "worker-1, worker-2: floor leaves none to spare"
    waiting.until(lambda: agent.orders.status()[0].why == why)
    assert deployment.versions() == ["v1", "v1"]
    assert not agent.events("order-given")[2:]


def test_dead_worker_counts_against_the_floor(deployment):
    """One of three workers is down when new weights are ordered.

    With a floor of two none of the others may be taken out, though the
    configuration still lists three.
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


def test_empty_workers_load_though_the_floor_is_not_reached(deployment):
    """A fresh deployment: no worker has weights, the floor cannot hold."""
    deployment.add_engines(3, version="")
    deployment.configure("v1", floor=3)
    deployment.add_agent()
    deployment.until_all("v1")


def test_two_changes_in_a_row_end_at_the_second(deployment):
    """An operator corrects a version while its first load is under way."""
    deployment.add_engines(4, load_s=0.5)
    deployment.configure("v1")
    deployment.add_agent()
    deployment.until_done()
    deployment.configure("v2")
    waiting.until(deployment.loading)
    deployment.configure("v3")
    deployment.until_all("v3")
    deployment.until_done()


def test_change_back_ends_a_load_that_cannot_succeed(deployment):
    """The version does not exist: its loads never end and hold both slots.

    Setting the former version again frees them at once.
    """
    deployment.add_engines(3, load_s=3600)
    deployment.configure("v1")
    deployment.add_agent()
    deployment.until_done()
    deployment.configure("no-such")
    waiting.until(lambda: len(deployment.loading()) == 2)
    deployment.configure("v1")
    deployment.until_all("v1")


def test_slow_and_refusing_weight_store_only_makes_it_slower(deployment):
    """The weight store takes one transfer at a time and is slow.

    Workers are told to come back and do; the floor still holds.
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


def test_log_outage_stops_orders_and_rollout_resumes_after(deployment):
    """The log goes away in the middle of a rollout and comes back.

    Without it no lease can be kept, so no orders; what engines serve is
    still known, as requests go on.
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
def test_lost_answer_to_an_order_is_repeated_until_it_holds(
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


def test_adapter_and_role_reach_every_worker(deployment):
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


def test_engine_with_a_number_from_elsewhere_is_told_not_flooded(deployment):
    """An engine has taken a higher number than this log will give soon.

    It refuses all orders.  The others must go on, the operator must see
    which engine it is, and the log must not be flooded with new leases.
    """
    deployment.add_engines(3)
    stray = deployment.engines["worker-2"]
    engine_orders.EngineOrders().give(
        stray.address, engine_orders.Load(MODEL, "v1", None), "stray", 10**6
    )
    deployment.configure("v2")
    agent = deployment.add_agent()
    waiting.until(lambda: deployment.versions() == ["v2", "v1", "v2"])
    why = "worker-2: has a higher fencing number"
    waiting.until(lambda: agent.orders.status()[0].why == why)
    assert agent.leases.appends < 20


def test_lagging_agent_does_not_undo_a_change(deployment):
    """One agent has not read the newest change when the rollout is done.

    It sees workers differ from what it believes is wanted.
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
