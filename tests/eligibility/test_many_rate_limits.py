"""Requests of all instances together to endpoints that limit their rate."""

from __future__ import annotations

import random

from hypothesis import Phase
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from briarseam.compose import node_instances
from briarseam.discovery import announcements
from briarseam.discovery import model as discovery
from briarseam.eligibility import rate_limits
from briarseam.peers import registrations
from tests import clocks
from tests.eligibility import test_many_instances

# The bound on what reaches an endpoint in a span.
FACTOR = 1.5
SLACK = 5.0
SPAN_S = 4.0
# From then on after the endpoint first named a limit.
SETTLE_S = 3.0
STEP_S = 0.05
HEARTBEAT_STEPS = 10
ZONES = ("a", "b", "c")


class Deployment:
    """Instances of one cell that send as much as they may to one endpoint.

    Parameters
    ----------
    instances
        How many.
    seed
        Of the draws.
    demand_per_s
        Requests for the endpoint that each instance gets per second.
    """

    def __init__(self, instances, seed, demand_per_s=10.0):
        self.chance = random.Random(seed)
        self.clock = clocks.ManualClock()
        self.demand = demand_per_s * STEP_S
        self.endpoint = discovery.Endpoint("e", "s", "127.0.0.1:1", "a", 8)
        self.rows = [
            registrations.Registration(
                f"i{number}", "127.0.0.1:1", "r", ZONES[number % 3], 1.0
            )
            for number in range(instances)
        ]
        self.limits = [self.instance(row) for row in self.rows]
        self.cut_off = set()
        self.arrived = []
        self.limit = announcements.NO_RATE_LIMIT
        self.clock.now_s += 100.0

    def instance(self, row):
        missed = self.chance.sample(self.rows, self.chance.randint(0, 2))
        known = [one for one in self.rows if one is row or one not in missed]
        view = node_instances.Instances(row.name)
        view.registrations = test_many_instances.View(known)
        return rate_limits.RateLimits(view, self.clock, self.chance.random)

    def name_limit(self, per_s):
        self.limit = announcements.RateLimit(per_s)

    def end_limit(self):
        self.limit = announcements.NO_RATE_LIMIT

    def replace_instance(self):
        """Lose an instance; another one starts, which knows nothing."""
        place = self.chance.randrange(len(self.limits))
        self.limits[place] = self.instance(self.rows[place])

    def cut_off_instance(self):
        """Cut an instance off from its peers."""
        self.cut_off.add(self.chance.randrange(len(self.limits)))

    def step(self, number):
        self.clock.now_s += STEP_S
        for limits in self.limits:
            wanted = int(self.demand + self.chance.random())
            for _ in range(wanted):
                if limits.with_room([self.endpoint]):
                    limits.try_acquire(self.endpoint)
                    self.arrived.append(self.clock.now_s)
                    limits.record_answer("e", self.limit, self.clock.now_s)
        if number % HEARTBEAT_STEPS == 0:
            self.exchange()

    def exchange(self):
        reached = [
            limits
            for place, limits in enumerate(self.limits)
            if place not in self.cut_off
        ]
        content = [limits.provide() for limits in reached if limits.own]
        for limits in reached:
            for data in content:
                limits.consume("peer", data)

    def play(self, seconds, events=None):
        for number in range(round(seconds / STEP_S)):
            (events or {}).get(number, lambda: None)()
            self.step(number)

    def most_in_a_span(self, since_s):
        times = [at for at in self.arrived if at >= since_s]
        return max(
            (
                sum(first <= at < first + SPAN_S for at in times)
                for first in times
            ),
            default=0,
        )


@pytest.mark.parametrize("instances", [1, 10, 62, 195])
@pytest.mark.parametrize("per_s", [0.0, 0.5, 2.0, 3.8, 30.0])
def test_all_instances_together_keep_the_limit(instances, per_s):
    """Guards against a limit that each instance keeps only for itself."""
    deployment = Deployment(instances, seed=1)
    deployment.name_limit(per_s)
    since_s = deployment.clock.now_s + SETTLE_S
    deployment.play(20.0)
    most = deployment.most_in_a_span(since_s)
    assert most <= FACTOR * per_s * SPAN_S + SLACK
    if 0 < per_s <= instances:
        assert most >= 0.7 * per_s * SPAN_S


@settings(
    max_examples=15,
    deadline=None,
    # A play takes too long to shrink a failing one.
    phases=(Phase.explicit, Phase.reuse, Phase.generate),
)
@given(
    instances=strategies.sampled_from([10, 62]),
    per_s=strategies.sampled_from([0.0, 0.3, 2.0, 3.8, 12.0]),
    seed=strategies.integers(0, 10_000),
    actions=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 200),
            strategies.sampled_from(["lose", "cut"]),
        ),
        max_size=8,
    ),
)
def test_limit_is_kept_while_instances_restart_or_are_cut_off(
    instances, per_s, seed, actions
):
    deployment = Deployment(instances, seed)
    methods = {
        "lose": deployment.replace_instance,
        "cut": deployment.cut_off_instance,
    }
    deployment.name_limit(per_s)
    since_s = deployment.clock.now_s + SETTLE_S
    deployment.play(12.0, {step: methods[name] for step, name in actions})
    most = deployment.most_in_a_span(since_s)
    assert most <= FACTOR * per_s * SPAN_S + SLACK


@pytest.mark.parametrize("instances", [10, 62])
def test_end_of_a_limit_is_known_to_all_within_seconds(instances):
    deployment = Deployment(instances, seed=2)
    deployment.name_limit(2.0)
    deployment.play(8.0)
    deployment.end_limit()
    deployment.play(4.0)
    assert all(limits.limited_count() == 0 for limits in deployment.limits)


def test_instances_without_the_limits_news_do_not_ask_together():
    """Guards against hundreds of instances that lose touch with each other
    and ask an endpoint at the same moment.
    """
    deployment = Deployment(195, seed=3, demand_per_s=1.0)
    deployment.name_limit(2.0)
    deployment.play(2.0)
    deployment.cut_off.update(range(195))
    since_s = deployment.clock.now_s
    deployment.play(30.0)
    most = deployment.most_in_a_span(since_s)
    assert most <= FACTOR * 2.0 * SPAN_S + SLACK
