"""Changes of engines' weights are published to the other cells.

Guards against requests that are refused in other availability zones during a
rollout: the instance that gives orders knows which engine accepts no work for
some seconds, and heartbeats publish it within its own cell only.  The other
cells keep sending prompts to that engine, which rejects them, and a prompt
that may be tried only once is refused.
"""

from __future__ import annotations

import time

import pytest

from briarseam.peers import registrations
from briarseam.testing import waiting
from briarseam.weights import engine_updates
from briarseam.weights import engine_weights
from tests.platform import system as systems

TIMEOUT_S = 10
# Longer than a report of a peer is valid.
LOAD_S = engine_weights.PEER_REPORT_TTL_S + 1.0
ENGINE = "engine-1"


@pytest.fixture
def far(system, monkeypatch):
    """An instance in another cell."""
    monkeypatch.setattr(registrations, "CELL_MEMBERS", 1)
    other = system.launch_another("two", "hall-b")
    for node in (system.node, other):
        waiting.until(lambda node=node: knows_two_cells(node), TIMEOUT_S)
    return other


def knows_two_cells(node):
    return len({member.cell for member in node.instances.all()}) == 2


def test_other_cells_see_a_weight_change_before_the_order(system, far):
    """The change is known in other cells before the order is given."""
    system.node.weights.known_weights.begin_change(ENGINE)
    waiting.until(
        lambda: far.weights.known_weights.is_changing(ENGINE),
        engine_updates.NOTICE_S,
    )


def test_other_cells_see_a_weight_change_until_it_ends(system, far):
    """Loading weights takes longer than a single report is valid."""
    known_weights = system.node.weights.known_weights
    known_weights.begin_change(ENGINE)
    waiting.until(
        lambda: far.weights.known_weights.is_changing(ENGINE), TIMEOUT_S
    )
    until_s = time.monotonic() + LOAD_S
    while time.monotonic() < until_s:
        assert far.weights.known_weights.is_changing(ENGINE)
        time.sleep(waiting.POLL_INTERVAL_S)
    known_weights.end_change(ENGINE)
    waiting.until(
        lambda: not far.weights.known_weights.is_changing(ENGINE), TIMEOUT_S
    )


def test_other_cells_see_an_engines_weight_version(system, far):
    """The engine's entry contains the version only after its next write."""
    system.node.weights.known_weights.record_version(ENGINE, systems.MODEL, 7)
    waiting.until(
        lambda: (
            far.weights.known_weights.version(ENGINE, systems.MODEL, 1) == 7
        ),
        TIMEOUT_S,
    )
