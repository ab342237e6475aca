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


def test_engine_that_refuses_everything_is_in_backoff(bench):
    """An engine that answers 503 at once is never busy and looks like the
    best choice, so each request would lose its first attempt there.
    """
    for name in bench.view.endpoints:
        bench.report(name, busy=0 if name == "engine-2" else 8)
    assert serve(bench, "one", failed=True) == "engine-2"
    chosen = {serve(bench, f"later-{number}") for number in range(8)}
    assert "engine-2" not in chosen


def test_engine_is_tried_again_after_a_growing_backoff(bench):
    """An engine that recovers must get work again without an operator; as
    long as it fails, each attempt there costs a request a retry.
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
    assert not bench.chooser.backoffs.by_endpoint


def test_all_engines_are_tried_when_all_are_in_backoff(bench):
    """Every engine has just failed a run.  If requests were refused without
    an attempt, a short fault would become an outage.
    """
    for name in bench.view.endpoints:
        bench.chooser.backoffs.record_failure(name)
    choice = bench.chooser.choose_engine(conftest.prompt_query())
    assert isinstance(choice, state.Choice)


def test_frozen_engine_gets_no_new_runs(bench):
    """A stopped process accepts connections and answers nothing.  Its last
    report shows an idle engine while the others are busy; requests sent
    there would wait for a timeout.
    """
    for name in bench.view.endpoints:
        frozen = name == "engine-1"
        age_s = loads.SILENT_AFTER_S + 1 if frozen else 0.5
        bench.report(name, busy=0 if frozen else 8, age_s=age_s)
    chosen = {serve(bench, f"s-{number}") for number in range(8)}
    assert "engine-1" not in chosen


def test_engines_are_used_when_most_reports_stop(bench):
    """The agent that polls most engines fails.  Their reports stop although
    the engines work, and requests must still be served.
    """
    for name in bench.view.endpoints:
        age_s = 0.5 if name == "engine-1" else loads.SILENT_AFTER_S + 1
        bench.report(name, busy=3, age_s=age_s)
    prompt_query = conftest.prompt_query()
    offer = bench.chooser.offers(prompt_query)[0]
    assert len(bench.chooser.engines(bench.view, prompt_query, offer)) == 4


def test_prompt_for_a_removed_model_is_refused(bench):
    """An operator removes a model while a prompt for it waits for a slot.
    An exception would end the dispatcher thread, which serves all waiting
    prompts.
    """
    empty = dataclasses.replace(bench.view, models={})
    bench.chooser.parts = dataclasses.replace(
        bench.chooser.parts, view=lambda: empty
    )
    choice = bench.chooser.choose_engine(conftest.prompt_query())
    assert isinstance(choice, state.NoChoice)


def test_failing_service_is_in_backoff(bench):
    """A plain service that closes every connection at once always has the
    fewest active calls, so all calls would be routed to it.
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
    bench.chooser.backoffs.record_failure("one")
    call_query = state.CallQuery("north", "portal")
    chosen = {
        bench.chooser.choose_service(call_query).endpoint for _ in range(20)
    }
    assert chosen == {"two"}


def test_number_of_prefixes_is_bounded_over_all_engines(monkeypatch):
    """Engines report caches of hundreds of thousands of pieces.  An agent
    that stored all of their prefixes would exhaust its instance's memory.
    """
    monkeypatch.setattr(prefixes, "MAX_PIECES", 60)
    known = prefixes.Prefixes()
    for engine in range(6):
        keys = [bytes([engine, number]) for number in range(100)]
        known.record_use(f"engine-{engine}", keys, 10**6)
    for engine in range(6):
        known.record_use(f"engine-{engine}", [bytes([engine, 200])], 10**6)
    count = sum(len(one.last_used) for one in known.engines.values())
    assert count <= 60


def test_state_of_removed_endpoints_is_dropped(bench):
    """Endpoints are replaced under new names all the time.  A long-running
    agent must not keep state for each endpoint that it ever used.
    """
    for name in bench.view.endpoints:
        bench.report(name, busy=0)
    for number in range(8):
        serve(bench, f"s-{number}")
    remaining = {"engine-0": bench.view.endpoints["engine-0"]}
    smaller = dataclasses.replace(bench.view, endpoints=remaining)
    bench.chooser.parts = dataclasses.replace(
        bench.chooser.parts, view=lambda: smaller
    )
    bench.loads.view = lambda: smaller
    bench.loads.forget_removed()
    serve(bench, "later")
    assert set(bench.chooser.parts.own_runs.endpoints) == {"engine-0"}
    assert set(bench.chooser.prefixes.engines) == {"engine-0"}
    assert (
        set(bench.loads.known) == set(bench.chooser.boot_ids) == {"engine-0"}
    )


def test_runs_of_removed_agents_are_dropped(bench):
    """Instances are replaced all the time; the runs that they published
    expire after a few seconds.
    """
    section = bench.loads.provide()
    bench.loads.consume("old", section)
    bench.clock.now += loads.FORGET_AFTER_S + 1
    bench.loads.consume("new", section)
    assert set(bench.loads.peer_runs) == {"new"}
