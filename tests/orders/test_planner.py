from __future__ import annotations

import hypothesis
from hypothesis import strategies

from briarseam.endpoints import engine_orders
from briarseam.orders import goals
from briarseam.orders import planner
from briarseam.orders import state

MODEL = "draft"
NAMES = tuple(f"worker-{number}" for number in range(8))


def scope_of(floor: int, max_loading: int, names=NAMES) -> goals.Scope:
    return goals.Scope(
        lease="engines/1-of-1",
        targets=tuple(
            goals.Target(name, "127.0.0.1:1", f"zone-{index % 3}", (MODEL,))
            for index, name in enumerate(names)
        ),
        goals={MODEL: goals.ModelGoal(MODEL, "v2", "", floor)},
        max_loading=max_loading,
        weights=None,
    )


VERSIONS = strategies.sampled_from(["v1", "v2", "v3", None])
REPORTS = strategies.one_of(
    strategies.none(),
    strategies.builds(
        lambda version, loading, fence: state.Report(
            engine_orders.EngineState(
                "boot",
                {MODEL: engine_orders.ModelState(version, loading)},
                fence,
                fencing=True,
            ),
            10.0,
        ),
        VERSIONS,
        VERSIONS,
        strategies.sampled_from([0, 0, 0, 99]),
    ),
)
LOAD_ORDERS = strategies.one_of(
    strategies.none(),
    strategies.builds(
        state.LoadOrder,
        strategies.sampled_from(["v1", "v2"]),
        strategies.sampled_from([5.0, 15.0]),
        strategies.booleans(),
    ),
)
ENGINES = strategies.lists(
    strategies.tuples(REPORTS, LOAD_ORDERS), min_size=8, max_size=8
)


@hypothesis.settings(max_examples=500, deadline=None)
@hypothesis.given(
    ENGINES, strategies.integers(0, 8), strategies.integers(1, 8)
)
def test_plans_keep_the_floor_and_the_loading_limit(
    engines, floor, max_loading
):
    """The limits hold for any reports and any earlier orders.

    If a plan loads on too many engines at once, requests are refused.
    """
    scope = scope_of(floor, max_loading)
    reports = {
        name: report
        for name, (report, _) in zip(NAMES, engines, strict=True)
        if report
    }
    load_orders = {
        (name, MODEL): load_order
        for name, (_, load_order) in zip(NAMES, engines, strict=True)
        if load_order
    }
    plan = planner.Planner(scope, reports, load_orders, fence=50).plan()
    statuses = {
        name: state.version_status_of(
            MODEL, "v2", reports.get(name), load_orders.get((name, MODEL))
        )
        for name in NAMES
    }
    serving = {n for n, s in statuses.items() if s in state.COUNT_AS_SERVING}
    loading = {n for n, s in statuses.items() if s in state.COUNT_AS_LOADING}
    ordered = {step.target.name for step in plan.steps}
    taken_out = ordered & serving
    assert not taken_out or len(serving - taken_out) >= floor
    new = ordered - loading
    assert not new or len(loading | new) <= max_loading
    assert taken_out == {
        s.target.name for s in plan.steps if s.interrupts_serving
    }
    for name in ordered:
        assert reports[name].state.fence <= 50


def test_rollout_loads_on_engines_of_different_zones():
    reports = {
        name: state.Report(
            engine_orders.EngineState(
                "boot", {MODEL: engine_orders.ModelState("v1")}
            ),
            10.0,
        )
        for name in NAMES
    }
    plan = planner.Planner(scope_of(1, 3), reports, {}, 50).plan()
    assert {step.target.zone for step in plan.steps} == {
        "zone-0",
        "zone-1",
        "zone-2",
    }
