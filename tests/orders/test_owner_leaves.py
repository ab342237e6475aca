from __future__ import annotations

import typing

import pytest

from briarseam.endpoints import engine_orders
from briarseam.membership import state
from briarseam.testing import deployment
from briarseam.testing import waiting


class Silent:
    """Engines that this process cannot read just now."""

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


def offers(instance: deployment.Instance) -> int:
    """Return how many kinds of offers an agent has."""
    return len(instance.agent.orders.offer_counts(deployment.MODEL))


def owner_first(
    instances: list[deployment.Instance],
) -> list[deployment.Instance]:
    """Return the instances once just one of them polls the engine."""
    owners = [
        one for one in instances if one.agent.orders.engine_reports.own()
    ]
    if len(owners) != 1:
        return []
    return owners + [one for one in instances if one not in owners]


def test_reports_of_a_leaving_owner_count(
    running: deployment.Deployment,
) -> None:
    """An agent polls an engine for its cell and is shut down.  Its peer
    has not polled the engine itself yet; it goes on answering callers by
    what the leaving agent reports, and does not refuse them.
    """
    instances = running.instances
    waiting.until(lambda: all(map(offers, instances)))
    owner, peer = waiting.until(lambda: owner_first(instances))
    peer.agent.orders.pollers.engines = Silent()
    owner.agent.membership.announce_leaving()
    leaving = state.MemberState.LEAVING
    waiting.until(
        lambda: (
            leaving
            in [member.state for member in peer.agent.membership.members()]
        )
    )
    peer.agent.orders.tick()
    assert offers(peer)
