from __future__ import annotations

import typing

import pytest

from briarseam.membership import service
from briarseam.membership import state
from briarseam.wire import connection as connections
from briarseam.wire import server
from tests.membership import nodes as helpers


@pytest.fixture
def listing() -> helpers.FakeInstanceList:
    return helpers.FakeInstanceList()


@pytest.fixture
def start(
    listing: helpers.FakeInstanceList,
) -> typing.Iterator[typing.Callable[..., helpers.Node]]:
    nodes: list[helpers.Node] = []

    def start_node(
        name: str,
        zone: str = "rumoi",
        listed: bool = True,
        seeds: tuple[str, ...] = (),
        incarnation: int | None = None,
        **options: typing.Any,
    ) -> helpers.Node:
        router = helpers.BlockingRouter()
        listener = server.Server(
            "127.0.0.1:0",
            connections.Identity("agent", name),
            helpers.KEY,
            router,
        )
        local_agent = state.LocalAgent(
            name, zone, listener.address, (f"entry-of-{name}",)
        )
        options.setdefault("heartbeat_interval_s", helpers.INTERVAL_S)
        options.setdefault("suspect_after_s", helpers.SUSPECT_AFTER_S)
        options.setdefault("list_interval_s", helpers.INTERVAL_S)
        membership = service.Membership(
            local_agent, listing, helpers.KEY, seeds=seeds, **options
        )
        if incarnation is not None:
            membership.incarnation = incarnation
        membership.register(router)
        listener.start()
        membership.start()
        if listed:
            listing.put(name, listener.address, zone)
        node = helpers.Node(membership, listener, router.blocked)
        nodes.append(node)
        return node

    yield start_node
    for node in nodes:
        node.stop()
