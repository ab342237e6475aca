from __future__ import annotations

import typing

import msgspec
import pytest

from briarseam.backing import instances
from briarseam.configuration import schema
from briarseam.configuration import values
from briarseam.membership import endpoints
from briarseam.testing import waiting
from tests.membership import nodes as helpers

ENGINE = "127.0.0.1:9001"
OTHER = "127.0.0.1:9002"
SERVING = values.EndpointState.SERVING
DRAINING = values.EndpointState.DRAINING


def view_of(
    state: values.EndpointState = SERVING, offset: int = 1
) -> schema.View:
    def endpoint(
        address: str, state: values.EndpointState = SERVING
    ) -> values.Endpoint:
        return values.Endpoint(
            values.EndpointKind.ENGINE, address, "rumoi", state=state
        )

    named = {"one": endpoint(ENGINE, state), "two": endpoint(OTHER)}
    return schema.View(offset=offset, endpoints=named)


def row(
    state: str, name: str = "one", address: str = ENGINE
) -> instances.Instance:
    return instances.Instance(
        name, "engine", address, "rumoi", instances.ListedState(state)
    )


Start = typing.Callable[..., helpers.Node]


@pytest.fixture
def leaving_endpoints(start: Start) -> endpoints.LeavingEndpoints:
    return endpoints.LeavingEndpoints(start("a").membership, view_of)


@pytest.mark.parametrize(
    "listed",
    [
        pytest.param(row("leaving"), id="by name"),
        pytest.param(row("leaving", "instance-7"), id="by address"),
    ],
)
def test_endpoint_listed_as_leaving_is_leaving(
    leaving_endpoints: endpoints.LeavingEndpoints, listed: instances.Instance
) -> None:
    """An engine that the instance list shows as leaving gets no new work,
    whether its name or only its address matches the configuration.
    """
    assert leaving_endpoints.leaving_endpoints() == frozenset()
    leaving_endpoints.apply_listing((listed, row("live", "two", OTHER)))
    assert leaving_endpoints.leaving_endpoints() == {"one"}


def test_endpoint_is_leaving_until_listed_live(
    leaving_endpoints: endpoints.LeavingEndpoints,
) -> None:
    """A leaving engine is removed from the list before it has stopped: it
    gets no work until the list shows it live again.
    """
    leaving_endpoints.apply_listing((row("leaving"),))
    leaving_endpoints.apply_listing(())
    assert leaving_endpoints.leaving_endpoints() == {"one"}
    leaving_endpoints.apply_listing((row("live"),))
    assert leaving_endpoints.leaving_endpoints() == frozenset()


def test_endpoint_drained_by_configuration_is_leaving(start: Start) -> None:
    """An endpoint that an operator sets to draining is leaving as soon as
    the change is applied, whatever the list shows.
    """
    views = [view_of()]
    leaving = endpoints.LeavingEndpoints(
        start("a").membership, lambda: views[-1]
    )
    assert leaving.leaving_endpoints() == frozenset()
    views.append(view_of(DRAINING, offset=2))
    assert leaving.leaving_endpoints() == {"one"}


def test_leaving_endpoint_is_learned_from_peers(
    start: Start, listing: helpers.FakeInstanceList
) -> None:
    """An agent that can't read the list learns from a peer's reports that an
    engine is leaving, and later that it is live again.
    """
    a, b = start("a"), start("b")
    without_list = endpoints.LeavingEndpoints(a.membership, view_of)
    with_list = endpoints.LeavingEndpoints(b.membership, view_of)
    waiting.until(lambda: a.names() == b.names() == {"a", "b"})
    a.membership.list_reader.stop()
    a.membership.list_reader.callbacks = ()
    listing.rows["one"] = row("leaving")
    waiting.until(lambda: with_list.leaving_endpoints() == {"one"})
    waiting.until(lambda: without_list.leaving_endpoints() == {"one"})
    listing.rows["one"] = row("live")
    waiting.until(lambda: not without_list.leaving_endpoints())


def test_report_of_dead_peer_expires(
    leaving_endpoints: endpoints.LeavingEndpoints,
) -> None:
    """The only agent that read an engine as leaving dies.  Its report stays
    valid until others must have read the list, and no longer.
    """
    clock = helpers.SkippingClock(leaving_endpoints.membership.clock)
    leaving_endpoints.membership.clock = clock
    leaving_endpoints.consume(
        "dead",
        msgspec.msgpack.encode([{"name": "one", "address": ENGINE}]),
    )
    assert leaving_endpoints.leaving_endpoints() == {"one"}
    clock.skipped_s = endpoints.REPORT_HOLD_S + 1
    assert leaving_endpoints.leaving_endpoints() == frozenset()
