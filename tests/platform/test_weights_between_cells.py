"""What one cell does to engines' weights, the other cells know.

The failure this guards against: while weights were being replaced, callers
of one availability zone were served as before and those of the others were
refused.

Order of events: in a deployment of several cells the instance that gives
orders noted which engine would take no work for some seconds; heartbeats told
the instances of its own cell.  The others went on sending prompts to that
engine, which rejected them; a prompt that may be tried once was refused.
"""

from __future__ import annotations

import time

import pytest

from briarseam.peers import registrations
from briarseam.testing import waiting
from briarseam.weights import engine_updates
from briarseam.weights import engine_weights
from tests.platform import system as systems

PATIENCE_S = 10
# Longer than a word of a peer counts.
LOAD_S = engine_weights.PEER_REPORT_TTL_S + 1.0
ENGINE = "engine-1"


@pytest.fixture
def far(system, monkeypatch):
    """An instance of another cell than the first one."""
    monkeypatch.setattr(registrations, "CELL_MEMBERS", 1)
    other = system.begin_another("two", "hall-b")
    for node in (system.node, other):
        waiting.until(lambda node=node: knows_two_cells(node), PATIENCE_S)
    return other


def knows_two_cells(node):
    return len({member.cell for member in node.instances.all()}) == 2


def test_other_cells_send_nothing_to_an_engine_that_takes_weights(system, far):
    """They know of it before the order is given."""
    system.node.weights.known_weights.begin_change(ENGINE)
    waiting.until(
        lambda: far.weights.known_weights.is_changing(ENGINE),
        engine_updates.NOTICE_S,
    )


def test_other_cells_know_for_as_long_as_it_takes(system, far):
    """Loads of weights last longer than a word counts that is told once."""
    known_weights = system.node.weights.known_weights
    known_weights.begin_change(ENGINE)
    waiting.until(
        lambda: far.weights.known_weights.is_changing(ENGINE), PATIENCE_S
    )
    until_s = time.monotonic() + LOAD_S
    while time.monotonic() < until_s:
        assert far.weights.known_weights.is_changing(ENGINE)
        time.sleep(waiting.POLL_INTERVAL_S)
    known_weights.end_change(ENGINE)
    waiting.until(
        lambda: not far.weights.known_weights.is_changing(ENGINE), PATIENCE_S
    )


def test_other_cells_know_which_weights_an_engine_has(system, far):
    """Its own entry tells it only with the next one that it writes."""
    system.node.weights.known_weights.record_version(ENGINE, systems.MODEL, 7)
    waiting.until(
        lambda: (
            far.weights.known_weights.version(ENGINE, systems.MODEL, 1) == 7
        ),
        PATIENCE_S,
    )
