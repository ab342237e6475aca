"""Exchange of loads between two cells."""

from __future__ import annotations

import pytest

from briarseam.placement import cell_loads
from briarseam.placement import loads
from briarseam.wire import replies
from tests import clocks

LOAD = loads.Load(2, 900, 1, 5000)


class Cells:
    """A cell of two instances, and its connection to the other cell."""

    def __init__(self, name):
        self.cell = name
        self.others = {}
        self.unreachable = False

    def name(self):
        return self.cell

    def size(self):
        return 2

    def is_speaker(self):
        return True

    def addresses(self):
        return list(self.others)

    def publish_load(self, address, message):
        if self.unreachable:
            raise replies.NoReplyError("unreachable")
        self.others[address].answer(message)


def instance(cells, clock):
    known = loads.Loads(cells.size, lambda: 4, clock)
    return cell_loads.CellLoads(known, cells, clock)


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def local(clock):
    """The speaker of the first cell."""
    return instance(Cells("a"), clock)


@pytest.fixture
def remote(clock, local):
    """The speaker of the second cell."""
    made = instance(Cells("b"), clock)
    local.cells.others["10.0.0.2:1"] = made
    return made


def test_loads_of_all_cells_are_added(local, remote):
    """Guards against two cells that together overfill an engine.

    Each has filled half of its memory and knows only its own load.
    """
    local.loads.add("engine-1", LOAD)
    remote.loads.add("engine-1", LOAD)
    local.publish()
    assert remote.loads.of("engine-1") == LOAD.plus(LOAD)


def test_peer_learns_loads_that_the_speaker_received(local, remote, clock):
    local.loads.add("engine-1", LOAD)
    local.publish()
    peer = instance(Cells("b"), clock)
    peer.consume("speaker", remote.provide())
    assert peer.loads.of("engine-1") == LOAD


def test_own_cells_load_is_not_counted_twice_when_relayed(
    local, remote, clock
):
    """After a regrouping, an instance gets the load of its own cell."""
    local.loads.add("engine-1", LOAD)
    local.publish()
    remote.cells.cell = "a"
    remote.consume("speaker", remote.provide())
    remote.forget_old()
    clock.now_s += cell_loads.MAX_AGE_S + 0.1
    remote.forget_old()
    assert remote.loads.cells == {}


def test_load_of_a_silent_cell_is_estimated(local, remote, clock):
    local.loads.add("engine-1", LOAD)
    remote.loads.add("engine-1", LOAD)
    local.publish()
    local.cells.unreachable = True
    local.publish()
    clock.now_s += cell_loads.MAX_AGE_S + 0.1
    remote.forget_old()
    assert remote.provide() == instance(Cells("b"), clock).provide()
    assert remote.loads.of("engine-1") == LOAD.plus(LOAD)
