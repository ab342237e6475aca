"""Large prompts are notified to the instances of other cells.

Guards against large prompts that several cells send to the same engine: each
publishes its load twice a second, and an engine prefills such a prompt in a
third of that time.
"""

from __future__ import annotations

import time

import pytest

from briarseam.peers import registrations
from briarseam.placement import cell_loads
from briarseam.placement import loads
from briarseam.testing import waiting
from tests.platform import system as systems

TIMEOUT_S = 10
ENGINE = "engine-1"
LOAD = loads.Load(requests=1, waiting_tokens=10_000)


@pytest.fixture(params=["true", "false"])
def nodes(request, tmp_path, monkeypatch):
    """Two instances in two cells, with the switch on and off."""
    monkeypatch.setattr(registrations, "CELL_MEMBERS", 1)
    system = systems.System(tmp_path)
    system.load["tell_at_once"] = request.param
    try:
        system.add_worker(ENGINE, "engines")
        system.configure()
        made = [system.start(), system.launch_another("two", "hall-b")]
        for node in made:
            waiting.until(lambda node=node: has_met_other(node), TIMEOUT_S)
        yield made
    finally:
        system.close()


def has_met_other(node):
    cells = {member.cell for member in node.instances.all()}
    return len(cells) == 2 and node.peer_connector.load_exchange is not None


def noticed(node, outcome):
    """Return the number of notices with an outcome."""
    counters = node.peer_connector.notice_counters
    return getattr(counters, outcome).value


@pytest.mark.parametrize("nodes", ["true"], indirect=True)
def test_other_cell_is_notified_until_it_gets_the_load(nodes):
    local, remote = nodes
    known = remote.chooser.loads
    local.chooser.loads.add(ENGINE, LOAD)
    waiting.until(lambda: noticed(remote, "received") == 1, TIMEOUT_S)
    waiting.until(lambda: noticed(local, "sent") == 1)
    waiting.until(
        lambda: (
            known.noticed.totals == {}
            and known.of(ENGINE).waiting_tokens == LOAD.waiting_tokens
        ),
        TIMEOUT_S,
        "the load of the cell includes the notice",
    )


@pytest.mark.parametrize("nodes", ["false"], indirect=True)
def test_nothing_is_notified_unless_switched_on(nodes):
    local, remote = nodes
    local.chooser.loads.add(ENGINE, LOAD)
    time.sleep(2 * cell_loads.PUBLISH_INTERVAL_S)
    waiting.until(
        lambda: remote.chooser.loads.of(ENGINE) == LOAD,
        TIMEOUT_S,
        "the load of the cell is published",
    )
    assert noticed(local, "sent") == noticed(remote, "received") == 0
    names = [one.name for one in local.peer_parts().sections()]
    assert "cell-loads-included" not in names
