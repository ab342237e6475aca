"""Two cells tell each other which engines are being given new weights."""

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
FAR = "10.0.0.2:1"


class Cells:
    """Reaches one instance of each other cell, unless it is away."""

    def __init__(self):
        self.others = {}
        self.away = False
        self.told = 0

    def addresses(self):
        return list(self.others)

    def publish_weights(self, address, message):
        if self.away:
            raise replies.NoReplyError("away")
        self.told += 1
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
    """The giver of orders, who speaks for another cell, and its peer."""
    found = types.SimpleNamespace(
        giver=instance("giver", clock),
        speaker=instance("speaker", clock),
        peer=instance("peer", clock),
    )
    found.giver.cells.others[FAR] = found.speaker
    return found


def test_cell_is_told_before_the_order_and_after_the_load(cells):
    cells.giver.known_weights.begin_change(ENGINE)
    cells.giver.review()
    assert cells.speaker.known_weights.is_changing(ENGINE)
    cells.giver.known_weights.record_version(ENGINE, MODEL, 2)
    cells.giver.known_weights.end_change(ENGINE)
    cells.giver.review()
    assert not cells.speaker.known_weights.is_changing(ENGINE)
    assert cells.speaker.known_weights.version(ENGINE, MODEL, 1) == 2


def test_whole_cell_knows_what_one_instance_was_told(cells):
    cells.giver.known_weights.begin_change(ENGINE)
    cells.giver.review()
    cells.peer.consume("speaker", cells.speaker.provide())
    assert cells.peer.known_weights.is_changing(ENGINE)


def test_teller_does_not_take_its_own_word_back(cells):
    """Its word came round through another cell after the load had ended.

    Taken in, it would keep an engine without work for three seconds more.
    """
    cells.giver.known_weights.begin_change(ENGINE)
    cells.giver.review()
    cells.giver.known_weights.end_change(ENGINE)
    cells.giver.consume("speaker", cells.speaker.provide())
    assert not cells.giver.known_weights.is_changing(ENGINE)


def test_long_load_is_told_again(cells, clock):
    cells.giver.known_weights.begin_change(ENGINE)
    for _ in range(20):
        cells.giver.review()
        clock.now_s += cell_weights.REPEAT_INTERVAL_S / 2
        assert cells.speaker.known_weights.is_changing(ENGINE)
    assert cells.giver.cells.told == 10


def test_nothing_is_told_while_nothing_changes(cells, clock):
    for _ in range(5):
        cells.giver.review()
        clock.now_s += cell_weights.REPEAT_INTERVAL_S
    assert cells.giver.cells.told == 0


def test_cell_that_was_away_is_told_once_it_is_back(cells, clock):
    cells.giver.cells.away = True
    cells.giver.known_weights.record_version(ENGINE, MODEL, 2)
    cells.giver.review()
    cells.giver.cells.away = False
    clock.now_s += cell_weights.REPEAT_INTERVAL_S
    cells.giver.review()
    assert cells.speaker.known_weights.version(ENGINE, MODEL, 1) == 2


def test_word_of_a_giver_that_is_gone_is_not_passed_on(cells, clock):
    """Passed on for ever, an engine would get no work any more."""
    cells.giver.known_weights.begin_change(ENGINE)
    cells.giver.review()
    clock.now_s += cell_weights.RELAY_S + 0.1
    cells.peer.consume("speaker", cells.speaker.provide())
    assert not cells.peer.known_weights.is_changing(ENGINE)
