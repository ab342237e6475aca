from __future__ import annotations

import json
import typing

import pytest
from tests.matrix import processes

from briarseam.testing import caller
from briarseam.testing import deployment
from briarseam.testing import waiting

pytestmark = pytest.mark.timeout(120)

TOKEN = deployment.token_of(deployment.ORGANISATIONS[0])
SESSIONS = [f"s{number}" for number in range(24)]


@pytest.fixture(scope="module")
def cluster(
    tmp_path_factory: pytest.TempPathFactory,
) -> typing.Iterator[processes.Cluster]:
    folder = tmp_path_factory.mktemp("lost")
    with processes.Cluster(folder) as started:
        yield started


def firsts(cluster: processes.Cluster, number: int) -> set[str]:
    """Return where one instance's entry sends callers first."""
    address = cluster.machines[number].entry_address
    found = set()
    for session in SESSIONS:
        response = caller.Caller(address, TOKEN, 4.0).open(
            "GET", f"/v1/where?session={session}", None, {}
        )
        if response is None or response.status != 200:
            return set()
        found |= set(json.loads(response.read())["addresses"][:1])
    return found


def freeze(cluster: processes.Cluster) -> None:
    """Freeze the first instance's agent."""
    cluster.machines[0].agent.freeze()


def kill(cluster: processes.Cluster) -> None:
    """Lose the first instance's agent."""
    cluster.machines[0].agent.kill()


def kill_entry(cluster: processes.Cluster) -> None:
    """Lose the first instance's entry, while its agent lives on."""
    cluster.machines[0].entry.kill()


@pytest.mark.parametrize(
    "fault",
    [
        pytest.param(freeze, id="agent frozen"),
        pytest.param(kill, id="agent killed"),
        pytest.param(kill_entry, id="entry killed"),
    ],
)
def test_callers_are_sent_elsewhere_and_back(
    cluster: processes.Cluster,
    fault: typing.Callable[[processes.Cluster], None],
) -> None:
    """A process of one instance is frozen or lost.  The other instance
    soon sends all callers to itself first and answers them.  When the
    process runs again both get callers, and both answer.
    """
    both = {machine.entry_address for machine in cluster.machines}
    waiting.until(lambda: firsts(cluster, 1) == both, 30)
    fault(cluster)
    other = {cluster.machines[1].entry_address}
    waiting.until(lambda: firsts(cluster, 1) == other, 30)
    call = cluster.submit(1, cluster.key_owned_by(1))
    assert call.status == 200, call
    for daemon in cluster.machines[0].daemons():
        daemon.revive()
    waiting.until(lambda: firsts(cluster, 1) == both, 30)
    waiting.until(cluster.is_serving, 30)
