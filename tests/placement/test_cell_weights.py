"""Exchange of weight changes between two cells."""

from __future__ import annotations

import types

import pytest

from briarseam.placement import cell_weights
from briarseam.weights import engine_weights
from briarseam.weights import goals
from briarseam.wire import replies
from tests import clocks

ENGINE = "engine-1"
MODEL = "drafts"
OTHER_CELL = "10.0.0.2:1"


class Cells:
    """Connects to one instance of each other cell, if reachable."""

    def __init__(self):
        self.others = {}
        self.unreachable = False
        self.sent = 0

    def addresses(self):
        return list(self.others)

    def publish_weights(self, address, message):
        if self.unreachable:
            raise replies.NoReplyError("unreachable")
        self.sent += 1
        self.others[address].answer(message)


def instance(name, clock):
    known_weights = engine_weights.EngineWeights(
        goals.GoalHistory(clock), clock
    )
    return cell_weights.CellWeights(known_weights, Cells(), name, clock)


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def cells(clock):
    """The issuer of orders; the speaker of another cell and its peer."""
    nodes = types.SimpleNamespace(
        issuer=instance("issuer", clock),
        speaker=instance("speaker", clock),
        peer=instance("peer", clock),
    )
    nodes.issuer.cells.others[OTHER_CELL] = nodes.speaker
    return nodes


def test_other_cell_receives_start_and_end_of_a_change(cells):
    cells.issuer.known_weights.begin_change(ENGINE)
    cells.issuer.review()
    assert cells.speaker.known_weights.is_changing(ENGINE)
    cells.issuer.known_weights.record_version(ENGINE, MODEL, 2)
    cells.issuer.known_weights.end_change(ENGINE)
    cells.issuer.review()
    assert not cells.speaker.known_weights.is_changing(ENGINE)
    assert cells.speaker.known_weights.version(ENGINE, MODEL, 1) == 2


def test_peer_learns_changes_that_the_speaker_received(cells):
    cells.issuer.known_weights.begin_change(ENGINE)
    cells.issuer.review()
    cells.peer.consume("speaker", cells.speaker.provide())
    assert cells.peer.known_weights.is_changing(ENGINE)


def test_issuer_ignores_its_own_changes_when_relayed(cells):
    """Guards against applying one's own change after it has ended.

    Another cell relays it late; applied, it would keep the engine without
    work for three more seconds.
    """
    cells.issuer.known_weights.begin_change(ENGINE)
    cells.issuer.review()
    cells.issuer.known_weights.end_change(ENGINE)
    cells.issuer.consume("speaker", cells.speaker.provide())
    assert not cells.issuer.known_weights.is_changing(ENGINE)


def test_change_is_repeated_during_a_long_load(cells, clock):
    cells.issuer.known_weights.begin_change(ENGINE)
    for _ in range(20):
        cells.issuer.review()
        clock.now_s += cell_weights.REPEAT_INTERVAL_S / 2
        assert cells.speaker.known_weights.is_changing(ENGINE)
    assert cells.issuer.cells.sent == 10


def test_nothing_is_published_without_changes(cells, clock):
    for _ in range(5):
        cells.issuer.review()
        clock.now_s += cell_weights.REPEAT_INTERVAL_S
    assert cells.issuer.cells.sent == 0


def test_unreachable_cell_receives_the_change_later(cells, clock):
    cells.issuer.cells.unreachable = True
    cells.issuer.known_weights.record_version(ENGINE, MODEL, 2)
    cells.issuer.review()
    cells.issuer.cells.unreachable = False
    clock.now_s += cell_weights.REPEAT_INTERVAL_S
    cells.issuer.review()
    assert cells.speaker.known_weights.version(ENGINE, MODEL, 1) == 2


def test_change_of_a_lost_issuer_is_not_relayed(cells, clock):
    """Guards against a relayed change that never expires.

    The engine would get no more work.
    """
    cells.issuer.known_weights.begin_change(ENGINE)
    cells.issuer.review()
    clock.now_s += cell_weights.RELAY_S + 0.1
    cells.peer.consume("speaker", cells.speaker.provide())
    assert not cells.peer.known_weights.is_changing(ENGINE)
