from __future__ import annotations

import pytest

from briarseam.testing import waiting
from briarseam.testing import weight_store
from briarseam.testing import words
from tests.testing import calls


def order(engine, fence=1, **more):
    body = {"order_id": "o", "fence": fence, "kind": "load", "model": "m"}
    body |= {"version": "v2"} | more
    return calls.call("POST", engine.address, "/orders", body)


def state(engine):
    return calls.call("GET", engine.address, "/state").json()


def until_loaded(engine, version, model="m"):
    waiting.until(lambda: state(engine)["models"][model]["version"] == version)


def start(engine, run_id, **more):
    body = calls.run_body(run_id, **more)
    return calls.open_stream(engine.address, "/runs", body)


@pytest.mark.parametrize(
    ("fencing", "status", "version"),
    [(True, 409, "v2"), (False, 200, "v1")],
    ids=["checked", "ignored"],
)
def test_order_of_a_lease_that_was_lost(make_engine, fencing, status, version):
    """A paused holder wakes and gives an order with its old number.

    Its successor has had the new version loaded meanwhile.  Only an
    engine that checks fencing numbers refuses the old order.
    """
    engine = make_engine(fencing=fencing)
    assert order(engine, fence=5).status == 202
    until_loaded(engine, "v2")
    late = order(engine, fence=4, version="v1")
    if fencing:
        assert (late.status, late.json()) == (409, {"fence": 5})
    else:
        assert late.status == 202
        until_loaded(engine, "v1")
    assert order(engine, fence=4, version=version).status == status
    assert state(engine)["fence"] == 5
    assert state(engine)["models"]["m"]["version"] == version


def test_repeated_order_loads_once(make_engine):
    engine = make_engine(load_s=9)
    answers = [order(engine) for _ in range(2)]
    assert [answer.status for answer in answers] == [202, 202]
    shown = state(engine)["models"]["m"]
    assert (shown["version"], shown["loading"]) == ("v1", "v2")
    assert 0 <= shown["progress"] <= 1
    # The order for what is loaded ends the load.
    assert order(engine, version="v1").json() == {
        "order_id": "o",
        "state": "done",
    }
    assert state(engine)["models"]["m"]["loading"] is None


def test_later_load_supersedes_one_under_way(make_engine):
    """A load is called off; its weights must not come in late."""
    engine = make_engine(load_s=0.1)
    order(engine, version="v2")
    order(engine, version="v1")
    order(engine, model="n")
    until_loaded(engine, "v2", model="n")
    shown = state(engine)["models"]["m"]
    assert (shown["version"], shown["loading"]) == ("v1", None)
    order(engine, version="v2")
    order(engine, version="v3")
    until_loaded(engine, "v3")


def test_new_model_serves_once_loaded(make_engine):
    engine = make_engine(load_s=0.2)
    assert order(engine, model="n").status == 202
    refused = start(engine, "r1", model="n")
    assert (refused.status, refused.json()) == (409, {"version": None})
    until_loaded(engine, "v2", model="n")
    assert start(engine, "r1", model="n").status == 200


def test_run_under_way_keeps_its_version_and_new_ones_get_the_new(
    make_engine,
):
    """Weights are swapped while one run decodes and another one waits."""
    engine = make_engine(slots=1, token_s=600)
    running = start(engine, "r1", prompt=words.prompt(1000))
    waiting.until(lambda: engine.scheduler.decoding)
    queued = start(engine, "r2", version="v1")
    order(engine)
    until_loaded(engine, "v2")
    assert not calls.call("GET", engine.address, "/cache").json()["prefixes"]
    engine.set(token_s=0)
    received = list(calls.events(running))
    assert received[0][1]["version"] == "v1"
    assert received[-1][0] == "done"
    assert list(calls.events(queued))[-1][0] == "error"
    assert not calls.call("GET", engine.address, "/cache").json()["prefixes"]
    refused = start(engine, "r3", version="v1")
    assert (refused.status, refused.json()) == (409, {"version": "v2"})


def test_adapters_and_role(make_engine):
    engine = make_engine()
    assert order(engine, kind="adapter", adapter="a").status == 200
    assert order(engine, kind="role", role="prefill").status == 200
    shown = state(engine)
    assert shown["models"]["m"]["adapters"] == ["a"]
    assert shown["role"] == "prefill"
    assert start(engine, "r1", adapter="a").status == 200


@pytest.mark.parametrize(
    "wrong",
    [{"kind": "x"}, {"version": ""}, {"kind": "role"}, {"kind": "adapter"}],
    ids=["kind", "version", "role", "adapter"],
)
def test_bad_order_answers_400_and_moves_no_fence(make_engine, wrong):
    engine = make_engine()
    assert order(engine, fence=9, **wrong).status == 400
    assert state(engine)["fence"] == 0


def test_weights_are_fetched_through_outages_and_refusals(
    make_engine, running
):
    weights = running(weight_store.WeightStore())
    weights.set(outage=True, parts=3)
    engine = make_engine()
    assert order(engine, weights=weights.address).status == 202
    assert state(engine)["models"]["m"]["progress"] == 0
    weights.set(outage=False)
    until_loaded(engine, "v2")
