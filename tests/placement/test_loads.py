from __future__ import annotations

import pytest

from briarseam.placement import loads

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
    peer.take("engine-1", WORK)
    here.consume("peer", peer.provide())
    assert here.of("engine-1") == WORK
    assert here.told == {}


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
    here = loads.Loads(lambda: 1 / 3)
    here.consume("peer", peer.provide())
    assert here.of("engine-1") == WORK.plus(WORK).plus(WORK)
    assert here.of("engine-2") == loads.NO_LOAD
