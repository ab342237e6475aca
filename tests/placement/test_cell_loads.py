"""Two cells tell each other their work."""

from __future__ import annotations

import pytest

from briarseam.placement import cell_loads
from briarseam.placement import loads
from briarseam.wire import replies
from tests import clocks

WORK = loads.Load(2, 900, 1, 5000)


class Cells:
    """A cell of two instances, and how it reaches the other one."""

    def __init__(self, name):
        self.cell = name
        self.others = {}
        self.away = False

    def name(self):
        return self.cell

    def size(self):
        return 2

    def is_speaker(self):
        return True

    def addresses(self):
        return list(self.others)

    def publish_load(self, address, message):
        if self.away:
            raise replies.NoReplyError("away")
        self.others[address].answer(message)


def instance(cells, clock):
    known = loads.Loads(cells.size, lambda: 4, clock)
    return cell_loads.CellLoads(known, cells, clock)


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def near(clock):
    """The instance that speaks for the first cell."""
    return instance(Cells("a"), clock)


@pytest.fixture
def far(clock, near):
    """The instance that speaks for the second cell."""
    made = instance(Cells("b"), clock)
    near.cells.others["10.0.0.2:1"] = made
    return made


def test_engine_is_as_busy_as_all_cells_make_it(near, far):
    """Each cell has filled half of an engine's memory.

    Told nothing by each other, both go on filling it.
    """
    near.loads.add("engine-1", WORK)
    far.loads.add("engine-1", WORK)
    near.publish()
    assert far.loads.of("engine-1") == WORK.plus(WORK)


def test_what_one_instance_is_told_its_whole_cell_knows(near, far, clock):
    near.loads.add("engine-1", WORK)
    near.publish()
    peer = instance(Cells("b"), clock)
    peer.consume("speaker", far.provide())
    assert peer.loads.of("engine-1") == WORK


def test_own_work_that_comes_back_is_not_counted_twice(near, far, clock):
    """Cells are cut anew, and an instance hears of its own cell."""
    near.loads.add("engine-1", WORK)
    near.publish()
    far.cells.cell = "a"
    far.consume("speaker", far.provide())
    far.forget_old()
    clock.now_s += cell_loads.MAX_AGE_S + 0.1
    far.forget_old()
    assert far.loads.cells == {}


def test_cell_that_is_silent_is_estimated_again(near, far, clock):
    near.loads.add("engine-1", WORK)
    far.loads.add("engine-1", WORK)
    near.publish()
    near.cells.away = True
    near.publish()
    clock.now_s += cell_loads.MAX_AGE_S + 0.1
    far.forget_old()
    assert far.provide() == instance(Cells("b"), clock).provide()
    assert far.loads.of("engine-1") == WORK.plus(WORK)
