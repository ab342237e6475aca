from __future__ import annotations

import typing

import pytest

from briarseam.endpoints import engine_orders
from briarseam.membership import state
from briarseam.testing import deployment
from briarseam.testing import waiting


class UnreachableEngines:
    """A client whose reads of engines' states all fail."""

    def state(self, address: str) -> typing.NoReturn:
        raise engine_orders.StateUnavailableError(address)


@pytest.fixture
def running(
    tmp_path_factory: pytest.TempPathFactory,
) -> typing.Iterator[deployment.Deployment]:
    folder = tmp_path_factory.mktemp("owner")
    shape = deployment.Shape(instances=2, engines=1)
    with deployment.Deployment(folder, shape) as started:
        yield started


def offer_kinds(instance: deployment.Instance) -> int:
    """Return the number of distinct offers that an agent has."""
    return len(instance.agent.orders.offer_counts(deployment.MODEL))


def instances_owner_first(
    instances: list[deployment.Instance],
) -> list[deployment.Instance]:
    """Return the instances, the one that polls the engine first.

    The list is empty unless exactly one instance polls it.
    """
    owners = [
        one for one in instances if one.agent.orders.engine_reports.own()
    ]
    if len(owners) != 1:
        return []
    return owners + [one for one in instances if one not in owners]


def test_reports_of_a_leaving_owner_are_used(
    running: deployment.Deployment,
) -> None:
    """The agent that polls an engine for its cell shuts down.

    Its peer has not polled the engine itself yet.  Without the reports of
    the leaving agent it would have no offers and refuse requests.
    """
    instances = running.instances
    waiting.until(lambda: all(map(offer_kinds, instances)))
    owner, peer = waiting.until(lambda: instances_owner_first(instances))
    peer.agent.orders.pollers.engines = UnreachableEngines()
    owner.agent.membership.announce_leaving()
    leaving = state.MemberState.LEAVING
    waiting.until(
        lambda: (
            leaving
            in [member.state for member in peer.agent.membership.members()]
        )
    )
    peer.agent.orders.tick()
    assert offer_kinds(peer)
