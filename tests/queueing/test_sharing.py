"""Sharing of free capacity by the instances that have waiting requests."""

from __future__ import annotations

import pytest

from briarseam.discovery import model as discovery
from briarseam.placement import loads as load_module
from briarseam.queueing import service_queue
from briarseam.queueing import sharing
from briarseam.queueing import tickets
from briarseam.routes import model as routes
from tests import clocks
from tests.queueing import playing

ENGINES = routes.Service(
    "s", engine=routes.EngineTraits(("m",), 8, 100_000, 1.0, 1.0)
)


@pytest.mark.parametrize(
    ("free", "own", "at_peers", "expected"),
    [
        (12, 5, 0, 12),
        (12, 5, 5, 6),
        (12, 10, 20, 4),
        (12, 1, 100, 1),
        (0, 5, 5, 1),
    ],
)
def test_share_is_in_proportion_to_the_waiters(free, own, at_peers, expected):
    assert sharing.share_of(free, own, at_peers) == expected


@pytest.mark.parametrize(
    ("load", "cache_tokens", "expected"),
    [
        (load_module.Load(requests=3), 0, 5),
        (load_module.Load(requests=9), 0, 0),
        (load_module.Load(requests=1, memory_tokens=60_000), 100_000, 3),
        (load_module.Load(requests=1, memory_tokens=99_000), 100_000, 0),
    ],
)
def test_free_capacity_is_bounded_by_slots_and_memory(
    load, cache_tokens, expected
):
    """Guards against shares of slots whose memory is full."""
    assert sharing.free_at(8, load, cache_tokens, 10_000) == expected


def peers_waiting(loads, count):
    peer = load_module.Loads()
    peer.set_waiting([("s", count, 0)])
    loads.consume("peer", peer.provide())


def sharing_of(loads, endpoints=2):
    found = [
        discovery.Endpoint(f"e{number}", "s", "127.0.0.1:1", "a", 8)
        for number in range(endpoints)
    ]
    return sharing.Sharing(loads, lambda name: found, lambda name: ENGINES)


def test_limit_applies_only_while_requests_wait_at_peers():
    loads = load_module.Loads()
    shared = sharing_of(loads)
    assert shared.limit("s", 4, 1000.0) is None
    peers_waiting(loads, 12)
    assert shared.limit("s", 4, 1000.0) == 4
    assert shared.limit("other", 4, 1000.0) is None
    loads.keep_only(frozenset())
    assert shared.limit("s", 4, 1000.0) is None


class Endpoint:
    """Has capacity or not, as a test says."""

    is_free = False

    def try_place(self, kept_free):
        return playing.placement_at("e0") if self.is_free else playing.NO_ROOM


def play_round(peers):
    """Free 16 slots that instances with six waiters each know of."""
    granted = 0
    endpoint = Endpoint()
    for _ in range(1 + peers):
        loads = load_module.Loads()
        if peers:
            peers_waiting(loads, 6 * peers)
        limit = sharing_of(loads).limit
        queue = service_queue.ServiceQueue(
            clocks.ManualClock(),
            lambda own, work, limit=limit: limit("s", own, work),
        )
        entered = [
            tickets.Ticket(playing.waiter(), endpoint.try_place)
            for _ in range(6)
        ]
        endpoint.is_free = False
        for ticket in entered:
            queue.enter(ticket)
        endpoint.is_free = True
        queue.retry()
        granted += sum(ticket.ended.is_set() for ticket in entered)
    return granted


def test_instances_do_not_grant_more_than_is_free_together():
    """Guards against five instances that fill the same slots at once."""
    assert play_round(peers=0) == 6
    assert play_round(peers=4) <= 16
