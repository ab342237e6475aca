from __future__ import annotations

import dataclasses

from briarseam.configuration import schema
from briarseam.configuration import values
from briarseam.routing import endpoint_backoff
from briarseam.routing import loads
from briarseam.routing import prefixes
from briarseam.routing import state
from tests.routing import conftest


def serve(bench, run_id, failed=False, **changes):
    choice = bench.chooser.choose_engine(
        conftest.prompt_query(run_id, pieces=1, **changes)
    )
    bench.chooser.record_start(run_id, choice)
    bench.chooser.record_end(run_id, complete=not failed, failed=failed)
    return choice.endpoint


def test_an_engine_that_refuses_everything_is_left_alone(bench):
    """One engine answers 503 at once, so it never has anything to do and
    looks like the best choice.  Callers see each of their requests lose
    its first try there, as long as it lasts.
    """
    for name in bench.view.endpoints:
        bench.report(name, busy=0 if name == "engine-2" else 8)
    assert serve(bench, "one", failed=True) == "engine-2"
    chosen = {serve(bench, f"later-{number}") for number in range(8)}
    assert "engine-2" not in chosen


def test_an_engine_is_tried_again_and_for_longer_left_alone(bench):
    """The engine recovers after a restart.  It must get work again without
    an operator; while it does not, each try costs a caller a detour.
    """
    for name in bench.view.endpoints:
        bench.report(name, busy=0 if name == "engine-2" else 8)
    serve(bench, "one", failed=True)
    bench.clock.now += endpoint_backoff.FIRST_S
    assert serve(bench, "two", failed=True) == "engine-2"
    bench.clock.now += endpoint_backoff.FIRST_S
    assert serve(bench, "three") != "engine-2"
    bench.clock.now += endpoint_backoff.FIRST_S
    assert serve(bench, "four") == "engine-2"
    assert not bench.chooser.troubles.by_endpoint


def test_engines_that_all_fail_are_all_tried(bench):
    """Every engine has just failed a run.  Refusing callers without a try
    would turn a hiccup into an outage.
    """
    for name in bench.view.endpoints:
        bench.chooser.troubles.failed(name)
    choice = bench.chooser.choose_engine(conftest.prompt_query())
    assert isinstance(choice, state.Choice)


def test_a_frozen_engine_gets_no_new_work(bench):
    """An engine's process is stopped: it takes connections and answers
    nothing.  Its last report was of an idle engine, the others are busy;
    callers sent there would wait until a timeout.
    """
    for name in bench.view.endpoints:
        frozen = name == "engine-1"
        age_s = loads.SILENT_AFTER_S + 1 if frozen else 0.5
        bench.report(name, busy=0 if frozen else 8, age_s=age_s)
    chosen = {serve(bench, f"s-{number}") for number in range(8)}
    assert "engine-1" not in chosen


def test_when_all_reports_stop_engines_are_still_used(bench):
    """The agent that polls most engines dies.  Their loads go silent
    although nothing is wrong with them; callers must still be served.
    """
    for name in bench.view.endpoints:
        age_s = 0.5 if name == "engine-1" else loads.SILENT_AFTER_S + 1
        bench.report(name, busy=3, age_s=age_s)
    prompt_query = conftest.prompt_query()
    offer = bench.chooser.offers(prompt_query)[0]
    assert len(bench.chooser.engines(bench.view, prompt_query, offer)) == 4


def test_a_model_that_is_gone_is_refused_and_not_an_error(bench):
    """An operator removes a model while a caller of it waits for a slot.
    The caller gets a refusal; it used to get nothing, as the error ended
    the thread that serves all who wait.
    """
    empty = dataclasses.replace(bench.view, models={})
    bench.chooser.parts = dataclasses.replace(
        bench.chooser.parts, view=lambda: empty
    )
    found = bench.chooser.choose_engine(conftest.prompt_query())
    assert isinstance(found, state.NoChoice)


def test_a_failing_service_is_left_alone(bench):
    """A plain service closes every connection at once, so it always has
    the least under way and draws all calls.
    """
    services = {
        name: values.Endpoint(
            kind=values.EndpointKind.SERVICE,
            address=address,
            zone="a",
            services=("portal",),
        )
        for name, address in (("one", "127.0.0.1:1"), ("two", "127.0.0.1:2"))
    }
    view = schema.View(endpoints=services)
    bench.chooser.parts = dataclasses.replace(
        bench.chooser.parts, view=lambda: view
    )
    bench.chooser.troubles.failed("one")
    call_query = state.CallQuery("north", "portal")
    chosen = {
        bench.chooser.choose_service(call_query).endpoint for _ in range(20)
    }
    assert chosen == {"two"}


def test_memory_of_prefixes_is_bounded_over_all_engines(monkeypatch):
    """Engines report caches of hundreds of thousands of pieces.  An agent
    that believed them all would outgrow its instance.
    """
    monkeypatch.setattr(prefixes, "MAX_PIECES", 60)
    known = prefixes.Prefixes()
    for engine in range(6):
        keys = [bytes([engine, number]) for number in range(100)]
        known.use(f"engine-{engine}", keys, 10**6)
    for engine in range(6):
        known.use(f"engine-{engine}", [bytes([engine, 200])], 10**6)
    held = sum(len(one.order) for one in known.engines.values())
    assert held <= 60


def test_replaced_endpoints_are_not_remembered(bench):
    """Endpoints are replaced all day under new names.  An agent that lives
    for weeks must not keep something of each it ever used.
    """
    for name in bench.view.endpoints:
        bench.report(name, busy=0)
    for number in range(8):
        serve(bench, f"s-{number}")
    kept = {"engine-0": bench.view.endpoints["engine-0"]}
    smaller = dataclasses.replace(bench.view, endpoints=kept)
    bench.chooser.parts = dataclasses.replace(
        bench.chooser.parts, view=lambda: smaller
    )
    bench.loads.view = lambda: smaller
    bench.loads.forget_gone()
    serve(bench, "later")
    assert set(bench.chooser.parts.own_runs.endpoints) == {"engine-0"}
    assert set(bench.chooser.prefixes.engines) == {"engine-0"}
    assert set(bench.loads.known) == set(bench.chooser.boots) == {"engine-0"}


def test_replaced_agents_are_not_remembered(bench):
    """Instances are replaced all day; what they told of their runs is of
    no use a few seconds later.
    """
    section = bench.loads.provide()
    bench.loads.consume("old", section)
    bench.clock.now += loads.FORGET_AFTER_S + 1
    bench.loads.consume("new", section)
    assert set(bench.loads.others_runs) == {"new"}
