"""Answers in time under a load that plain endpoints can't serve."""

from __future__ import annotations

import heapq
import random

import pytest

from briarseam.discovery import model as discovery
from briarseam.forwarding import calls
from briarseam.placement import chooser as choosers
from briarseam.placement import requests
from briarseam.routes import model as routes
from briarseam.weights import engine_weights
from briarseam.weights import goals
from tests import clocks

SLOTS = 6
REQUEST_S = 0.072
ENDPOINTS = 3
CAPACITY_PER_S = ENDPOINTS * SLOTS / REQUEST_S
TARGET_S = 0.36
DURATION_S = 8.0
# Requests that wait at an endpoint beyond its slots; others are rejected.
ENDPOINT_QUEUE = 30
ROUTE = routes.Route(
    "status",
    "h",
    "/",
    routes.Repeat.SAFE,
    (routes.Share("portal"),),
    1.6,
    TARGET_S,
    2,
)
CALL = calls.Call("r", "GET", "/", "h", ())


class Portal:
    """Endpoints that answer in the order of arrival, a slot each."""

    def __init__(self, bounded):
        self.clock = clocks.ManualClock(0.0)
        self.endpoints = [
            discovery.Endpoint(f"p{n}", "portal", f"127.0.0.1:{n}", "a", SLOTS)
            for n in range(ENDPOINTS)
        ]
        self.chooser = choosers.Chooser(
            lambda service: self.endpoints,
            lambda model: 0,
            engine_weights.EngineWeights(goals.GoalHistory(), self.clock),
            clock=self.clock,
        )
        self.bounded = bounded
        self.free_s = {one.id: [0.0] * SLOTS for one in self.endpoints}
        self.running = []
        self.took_s = []
        self.refused = 0

    def play(self, per_s, seed):
        chance = random.Random(seed)
        while self.clock.now_s < DURATION_S:
            self.clock.now_s += chance.expovariate(per_s)
            self.finish()
            self.arrive()

    def finish(self):
        while self.running and self.running[0][0] <= self.clock.now_s:
            end_s, _number, began_s, request, placement, added = heapq.heappop(
                self.running
            )
            took_s = end_s - began_s
            self.took_s.append(took_s)
            self.chooser.record_end(placement, CALL, added)
            self.chooser.record_answer(placement, request, took_s)

    def arrive(self):
        request = requests.Request(
            CALL, ROUTE, routes.Service("portal"), None, TARGET_S
        )
        if not self.bounded:
            self.chooser.plain.queue_times.clear()
        placement = self.chooser.choose(request)
        if not isinstance(placement, requests.Placement):
            self.refused += 1
            return
        if placement.load.requests >= SLOTS + ENDPOINT_QUEUE:
            self.refused += 1
            return
        added = self.chooser.record_start(placement, CALL)
        slots = self.free_s[placement.endpoint.id]
        begins_s = max(heapq.heappop(slots), self.clock.now_s)
        heapq.heappush(slots, begins_s + REQUEST_S)
        heapq.heappush(
            self.running,
            (
                begins_s + REQUEST_S,
                len(self.took_s) + len(self.running) + self.refused,
                self.clock.now_s,
                request,
                placement,
                added,
            ),
        )

    def in_time_per_s(self):
        return sum(one <= TARGET_S for one in self.took_s) / DURATION_S


@pytest.mark.parametrize("seed", [1, 2])
def test_nearly_all_capacity_answers_in_time_in_a_burst(seed):
    """Guards against a queue in which every answer is late.

    Callers send twice what the endpoints can answer.  Without the bound the
    queues at the endpoints are as long as these allow.
    """
    bounded, unbounded = Portal(bounded=True), Portal(bounded=False)
    for portal in (bounded, unbounded):
        portal.play(2 * CAPACITY_PER_S, seed)
    assert bounded.in_time_per_s() > 0.9 * CAPACITY_PER_S
    assert unbounded.in_time_per_s() < 0.3 * CAPACITY_PER_S


def test_nothing_is_refused_below_the_capacity():
    portal = Portal(bounded=True)
    portal.play(0.8 * CAPACITY_PER_S, seed=1)
    assert portal.refused == 0
    assert portal.in_time_per_s() > 0.75 * CAPACITY_PER_S


def test_slow_endpoint_with_free_slots_is_used():
    """Guards against a service that is refused because it is slow."""
    portal = Portal(bounded=True)
    for _ in range(3):
        portal.chooser.plain.queue_time_of("portal").record(0, SLOTS, 10.0)
    portal.arrive()
    assert portal.refused == 0
