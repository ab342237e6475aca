"""Requests of all instances together to cold endpoints."""

from __future__ import annotations

import collections
import random

from hypothesis import Phase
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from briarseam.compose import node_instances
from briarseam.discovery import model as discovery
from briarseam.eligibility import cold_starts
from briarseam.eligibility import permissions
from briarseam.peers import registrations
from briarseam.routes import model as routes
from tests import clocks

COLD = routes.ColdStart(duration_s=3.0, requests_per_s=13.0)
LIMITS = cold_starts.Limits(1.5, 5.0)
MAX_PER_S = COLD.requests_per_s * LIMITS.factor + LIMITS.slack
STEP_S = 0.05
STEPS = 120
ZONES = ("a", "b", "c")
# Registrations that an instance has not read yet, at most.
MISSED = 2


class View:
    """Registrations as one instance has read them."""

    def __init__(self, rows):
        self.by_name = {row.name: row for row in rows}


class Deployment:
    """Instances that send as much as they may to endpoints that restart."""

    def __init__(self, instances, seed):
        self.chance = random.Random(seed)
        self.clock = clocks.ManualClock()
        self.rows = [
            registrations.Registration(
                f"i{number}", "127.0.0.1:1", "r", ZONES[number % 3], 1.0
            )
            for number in range(instances)
        ]
        self.starts = [self.instance(row) for row in self.rows]
        self.born = 0
        self.endpoints = {}
        self.cold_until_s = {}
        self.arrivals = collections.defaultdict(list)
        for zone in ZONES:
            self.restart(zone)

    def instance(self, row):
        missed = self.chance.sample(self.rows, self.chance.randint(0, MISSED))
        known = [one for one in self.rows if one is row or one not in missed]
        view = node_instances.Instances(row.name)
        view.registrations = View(known)
        return cold_starts.ColdStarts(
            view, LIMITS, lambda: 0.0, self.clock, self.chance.random
        )

    def restart(self, zone):
        """Replace a zone's endpoint by a new start, which is cold."""
        self.born += 1
        started = discovery.Endpoint(
            f"e{self.born}", "s", "127.0.0.1:1", zone, 8
        )
        self.endpoints[zone] = started
        self.cold_until_s[started.id] = self.clock.now_s + COLD.duration_s

    def write_entry(self, zone):
        """Let the instances read how long a zone's endpoint stays cold."""
        started = self.endpoints[zone]
        until_s = self.cold_until_s[started.id]
        for starts in self.starts:
            starts.record_entry(
                started.id, max(0.0, until_s - self.clock.now_s)
            )

    def release(self, zone):
        """End the evacuation of a zone, whose endpoint becomes cold."""
        started = self.endpoints[zone]
        self.cold_until_s[started.id] = self.clock.now_s + COLD.duration_s
        for starts in self.starts:
            starts.record_release(zone)

    def replace_instance(self):
        """Lose an instance; another one starts, which knows nothing."""
        place = self.chance.randrange(len(self.starts))
        self.starts[place] = self.instance(self.rows[place])

    def send(self):
        """Let all instances send to all endpoints, as far as they may."""
        for starts in self.starts:
            for started in self.endpoints.values():
                (found,) = starts.permissions([started], COLD)
                if found is permissions.Permission.LIMITED:
                    starts.try_acquire(started, COLD)
                    self.record_arrival(started)
                elif found is permissions.Permission.UNLIMITED:
                    self.record_arrival(started)

    def record_arrival(self, started):
        if self.clock.now_s < self.cold_until_s[started.id]:
            self.arrivals[started.id].append(self.clock.now_s)

    def play(self, events):
        for step in range(STEPS):
            self.clock.now_s += STEP_S
            events.get(step, lambda: None)()
            self.send()

    def most_in_a_second(self):
        most = 0
        for times in self.arrivals.values():
            for time_s in times:
                within = [one for one in times if 0 <= one - time_s < 1.0]
                most = max(most, len(within))
        return most


@settings(
    max_examples=20,
    deadline=None,
    # A play takes too long to shrink a failing one.
    phases=(Phase.explicit, Phase.reuse, Phase.generate),
)
@given(
    instances=strategies.sampled_from([3, 10, 62]),
    seed=strategies.integers(0, 10_000),
    actions=strategies.lists(
        strategies.tuples(
            strategies.integers(0, STEPS - 1),
            strategies.sampled_from(["restart", "entry", "release", "lose"]),
            strategies.sampled_from(ZONES),
        ),
        max_size=20,
    ),
)
def test_no_cold_endpoint_gets_more_than_it_bears(instances, seed, actions):
    """Guards against endpoints that crash again while they warm up: each
    instance sends few requests, but all of them together send too many.
    """
    deployment = Deployment(instances, seed)
    methods = {
        "restart": deployment.restart,
        "entry": deployment.write_entry,
        "release": deployment.release,
        "lose": lambda zone: deployment.replace_instance(),
    }
    events = {
        step: lambda name=name, zone=zone: methods[name](zone)
        for step, name, zone in actions
    }
    deployment.play(events)
    assert deployment.most_in_a_second() <= MAX_PER_S


def test_195_instances_use_a_cold_endpoint_within_its_limit():
    deployment = Deployment(195, seed=1)
    deployment.play({})
    assert 0 < deployment.most_in_a_second() <= MAX_PER_S
