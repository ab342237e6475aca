from __future__ import annotations

import msgpack
import pytest

from briarseam.placement import loads
from tests import clocks

WORK = loads.Load(
    requests=2, waiting_tokens=900, running=1, memory_tokens=5000
)


@pytest.fixture
def peer():
    made = loads.Loads()
    made.add("engine-1", WORK)
    return made


def test_work_of_peers_is_counted_until_it_ends(peer):
    here = loads.Loads()
    here.add("engine-1", WORK)
    here.consume("peer", peer.provide())
    assert here.of("engine-1") == WORK.plus(WORK)
    peer.subtract("engine-1", WORK)
    here.consume("peer", peer.provide())
    assert here.of("engine-1") == WORK
    assert here.peer_totals == {}


def test_late_news_does_not_bring_ended_work_back(peer):
    """An idle engine gets no prompts for up to half a second.

    A peer's heartbeat was composed before its work ended and is read after
    the datagram that told the end.
    """
    here = loads.Loads()
    late = peer.provide()
    peer.subtract("engine-1", WORK)
    here.consume("peer", peer.provide())
    here.consume("peer", late)
    assert here.of("engine-1") == loads.NO_LOAD


def test_a_peer_that_started_anew_is_believed(peer):
    """A restarted process counts its changes from the beginning."""
    here = loads.Loads()
    for _ in range(3):
        peer.add("engine-1", WORK)
    here.consume("peer", peer.provide())
    restarted = loads.Loads()
    restarted.add("engine-2", WORK)
    here.consume("peer", restarted.provide())
    assert here.of("engine-1") == loads.NO_LOAD
    assert here.of("engine-2") == WORK


def test_work_of_a_peer_that_is_gone_is_forgotten(peer):
    here = loads.Loads()
    for name in ("peer-1", "peer-2"):
        here.consume(name, peer.provide())
    here.keep_only(frozenset({"peer-2"}))
    assert here.of("engine-1") == WORK


def test_work_of_instances_that_tell_nothing_is_estimated(peer):
    """Engines run out of memory at a large site.

    Instances tell their work within a cell, a third of all; by that alone
    each cell fills the engines for itself.
    """
    here = loads.Loads(lambda: 2, lambda: 6)
    here.consume("peer", peer.provide())
    assert here.of("engine-1") == WORK.plus(WORK).plus(WORK)
    assert here.of("engine-2") == loads.NO_LOAD


def test_work_that_another_cell_told_is_counted_and_not_estimated(peer):
    clock = clocks.ManualClock()
    here = loads.Loads(lambda: 2, lambda: 6, clock)
    here.consume("peer", peer.provide())
    here.set_cell("cell-b", {"engine-1": WORK}, 2)
    here.set_cell("cell-c", {"engine-2": WORK}, 2)
    assert here.of("engine-1") == WORK.plus(WORK)
    assert here.of("engine-2") == WORK
    clock.now_s += 5.0
    here.expire_cells(3.0)
    assert here.of("engine-1") == WORK.plus(WORK).plus(WORK)


def test_work_of_this_cell_is_told_to_others(peer):
    here = loads.Loads()
    here.consume("peer", peer.provide())
    here.add("engine-2", WORK)
    here.set_cell("cell-b", {"engine-3": WORK}, 2)
    assert here.cell_loads() == {"engine-1": WORK, "engine-2": WORK}


@pytest.mark.parametrize(
    "row",
    [
        pytest.param(["engine-1", 1, 1], id="too short"),
        pytest.param(["engine-1", 1, 1, 1, 2**63], id="beyond 53 bits"),
        pytest.param(["engine-1", 1, 1, 1, "9"], id="a text"),
        pytest.param([7, 1, 1, 1, 1], id="endpoint a number"),
    ],
)
def test_malformed_work_of_a_peer_leaves_what_it_told_before(peer, row):
    """A peer of another make tells a number near the end of 64 bits.

    Sums with it fit into no message, and the threads that tell the work to
    peers and to other cells ended.
    """
    here = loads.Loads()
    here.consume("peer", peer.provide())
    with pytest.raises(ValueError):
        here.consume("peer", msgpack.packb([7, 1, [row]]))
    assert here.of("engine-1") == WORK
