from __future__ import annotations

import time

import msgpack
import msgspec
import pytest

from briarseam.placement import loads
from tests import clocks

LOAD = loads.Load(
    requests=2, waiting_tokens=900, running=1, memory_tokens=5000
)


@pytest.fixture
def peer():
    peer_loads = loads.Loads()
    peer_loads.add("engine-1", LOAD)
    return peer_loads


def test_load_of_peers_is_counted_until_it_ends(peer):
    local = loads.Loads()
    local.add("engine-1", LOAD)
    local.consume("peer", peer.provide())
    assert local.of("engine-1") == LOAD.plus(LOAD)
    peer.subtract("engine-1", LOAD)
    local.consume("peer", peer.provide())
    assert local.of("engine-1") == LOAD
    assert local.peer_totals == {}


def test_older_report_does_not_restore_ended_load(peer):
    """Guards against an idle engine that gets no prompts for up to 0.5 s.

    A heartbeat composed before the load ended is read after the datagram
    that reports the end.
    """
    local = loads.Loads()
    late = peer.provide()
    peer.subtract("engine-1", LOAD)
    local.consume("peer", peer.provide())
    local.consume("peer", late)
    assert local.of("engine-1") == loads.NO_LOAD


def test_report_of_a_restarted_peer_is_applied(peer):
    """A restarted process counts its changes from zero."""
    local = loads.Loads()
    for _ in range(3):
        peer.add("engine-1", LOAD)
    local.consume("peer", peer.provide())
    restarted = loads.Loads()
    restarted.add("engine-2", LOAD)
    local.consume("peer", restarted.provide())
    assert local.of("engine-1") == loads.NO_LOAD
    assert local.of("engine-2") == LOAD


def test_load_of_a_removed_peer_is_dropped(peer):
    local = loads.Loads()
    for name in ("peer-1", "peer-2"):
        local.consume(name, peer.provide())
    local.keep_only(frozenset({"peer-2"}))
    assert local.of("engine-1") == LOAD


def test_load_of_unreporting_instances_is_estimated(peer):
    """Guards against engines that run out of memory at a large site.

    Instances report their load within their cell, a third of the total;
    each cell alone would fill the engines.
    """
    local = loads.Loads(lambda: 2, lambda: 6)
    local.consume("peer", peer.provide())
    assert local.of("engine-1") == LOAD.plus(LOAD).plus(LOAD)
    assert local.of("engine-2") == loads.NO_LOAD


def test_load_of_another_cell_is_counted_instead_of_estimated(peer):
    clock = clocks.ManualClock()
    local = loads.Loads(lambda: 2, lambda: 6, clock)
    local.consume("peer", peer.provide())
    local.set_cell("cell-b", {"engine-1": LOAD}, 2)
    local.set_cell("cell-c", {"engine-2": LOAD}, 2)
    assert local.of("engine-1") == LOAD.plus(LOAD)
    assert local.of("engine-2") == LOAD
    clock.now_s += 5.0
    local.expire_cells(3.0)
    assert local.of("engine-1") == LOAD.plus(LOAD).plus(LOAD)


def test_cell_loads_exclude_other_cells(peer):
    local = loads.Loads()
    local.consume("peer", peer.provide())
    local.add("engine-2", LOAD)
    local.set_cell("cell-b", {"engine-3": LOAD}, 2)
    assert local.cell_loads() == {"engine-1": LOAD, "engine-2": LOAD}


@pytest.mark.parametrize(
    "row",
    [
        pytest.param(["engine-1", 1, 1], id="too short"),
        pytest.param(["engine-1", 1, 1, 1, 2**63], id="beyond 53 bits"),
        pytest.param(["engine-1", 1, 1, 1, "9"], id="a string"),
        pytest.param([7, 1, 1, 1, 1], id="numeric endpoint"),
    ],
)
def test_malformed_report_leaves_the_previous_one_in_place(peer, row):
    """Guards against threads that end because a sum exceeds 64 bits.

    A peer of another implementation reports a number close to that limit.
    """
    local = loads.Loads()
    local.consume("peer", peer.provide())
    with pytest.raises(ValueError):
        local.consume("peer", msgpack.packb([7, 1, [row]]))
    assert local.of("engine-1") == LOAD


def test_decrease_before_the_wait_is_not_missed():
    """Guards against waiters that sleep though capacity has become free
    while they looked for it.
    """
    local = loads.Loads()
    seen = local.decreases
    local.add("e", loads.Load(requests=1))
    assert local.wait_for_decrease_since(seen, 0.01) == seen
    local.subtract("e", loads.Load(requests=1))
    began_s = time.monotonic()
    assert local.wait_for_decrease_since(seen, 10.0) == seen + 1
    assert time.monotonic() - began_s < 5.0


def test_waiting_requests_of_peers_are_known_until_they_are_gone(peer):
    """Guards against shares for the waiters of an instance that is gone."""
    local = loads.Loads()
    peer.set_waiting([("engines", 3, 0), ("portal", 1, 5)])
    local.consume("peer", peer.provide())
    assert local.waiting_at_peers("engines") == 3
    assert local.waiting_at_peers("other") == 0
    local.keep_only(frozenset())
    assert local.waiting_at_peers("engines") == 0


def test_change_of_the_waiting_requests_is_reported(peer):
    """Guards against reports that peers take for old ones."""
    local = loads.Loads()
    for rows in ([("engines", 3, 0)], []):
        peer.changed.clear()
        peer.set_waiting(rows)
        assert peer.changed.is_set()
        local.consume("peer", peer.provide())
        assert local.waiting_at_peers("engines") == sum(row[1] for row in rows)
    peer.changed.clear()
    peer.set_waiting([])
    assert not peer.changed.is_set()


class OldReport(msgspec.Struct, array_like=True):
    """A report of a version that knows of no waiting requests."""

    incarnation: int
    sequence: int
    rows: list[loads.Row]


def test_reports_of_older_and_newer_versions_are_read(peer):
    """Guards against instances that don't hear each other in a release."""
    local = loads.Loads()
    old = OldReport(1, 1, [("engine-1", 1, 0, 0, 0)])
    local.consume("peer", msgspec.msgpack.encode(old))
    assert local.of("engine-1").requests == 1
    assert local.waiting_at_peers("engines") == 0
    peer.set_waiting([("engines", 3, 0)])
    read = msgspec.msgpack.decode(peer.provide(), type=OldReport)
    assert read.rows[0][0] == "engine-1"
    peer.set_waiting([])
    assert len(msgspec.msgpack.decode(peer.provide())) == 3
