from __future__ import annotations

import dataclasses

from briarseam.backing import log as platform_log
from briarseam.configuration import schema
from briarseam.configuration import values
from briarseam.endpoints import engine_orders
from briarseam.leases import service as leases_service
from briarseam.metrics import registry
from briarseam.orders import goals
from briarseam.orders import peers
from briarseam.orders import service


def view_of(count: int, floor: int, max_loading: int) -> schema.View:
    engine = values.Endpoint(
        values.EndpointKind.ENGINE, "127.0.0.1:1", "rumoi", ("draft",)
    )
    return schema.View(
        offset=1,
        models={"draft": values.Model("v1", floor=floor)},
        endpoints={f"worker-{number}": engine for number in range(count)},
        weights=values.Weights("127.0.0.1:2", max_loading),
    )


def test_few_engines_form_one_scope_with_exact_limits():
    [scope] = goals.scopes_of(view_of(6, 4, 2))
    assert scope.max_loading == 2
    assert scope.goals["draft"].floor == 4
    assert len(scope.targets) == 6


def test_scopes_of_many_engines_keep_limit_and_floor_in_sum():
    view = view_of(400, 301, 5)
    scopes = goals.scopes_of(view)
    assert len(scopes) == 5
    assert sum(scope.max_loading for scope in scopes) == 5
    assert sum(scope.goals["draft"].floor for scope in scopes) >= 301
    assert sum(len(scope.targets) for scope in scopes) == 400
    assert all(scope.max_loading for scope in scopes)


def test_draining_engines_and_other_endpoints_get_no_orders():
    view = view_of(2, 1, 2)
    drained = dataclasses.replace(
        view.endpoints["worker-0"], state=values.EndpointState.DRAINING
    )
    store = dataclasses.replace(
        view.endpoints["worker-1"], kind=values.EndpointKind.STORE
    )
    view = dataclasses.replace(
        view, endpoints={"worker-0": drained, "store": store}
    )
    [scope] = goals.scopes_of(view)
    assert scope.targets == ()


def test_each_of_many_scopes_is_compared_by_few_processes():
    """One process alone takes seconds to compare all engines."""
    view = view_of(400, 1, 5)
    places = {scope.lease: 0 for scope in goals.scopes_of(view)}
    orders = service.Orders(
        "agent-1",
        lambda: view,
        leases_service.Leases(platform_log.LogClient("127.0.0.1:1"), "a"),
        engine_orders.OrderClient(),
        registry.Registry(),
        lambda *kind, **fields: None,
        peers.Peers(precedence=places.__getitem__),
    )
    orders.scopes = goals.scopes_of(view)
    first, *others = orders.scopes
    for scope in others:
        places[scope.lease] = service.CANDIDATES_PER_SCOPE
    assert orders.is_candidate(first)
    assert not any(orders.is_candidate(scope) for scope in others)
