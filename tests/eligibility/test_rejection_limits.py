from __future__ import annotations

import pytest

from briarseam.discovery import announcements
from briarseam.discovery import model as discovery
from briarseam.eligibility import announced_limits
from briarseam.eligibility import rejection_limits
from tests import clocks
from tests.eligibility import test_many_instances
from tests.eligibility import test_many_rate_limits
from tests.eligibility import test_rate_limits

ENDPOINT = discovery.Endpoint("e", "s", "127.0.0.1:1", "a", 8)


@pytest.fixture
def clock():
    return clocks.ManualClock()


def limits_of(clock, is_sender=True):
    limits = rejection_limits.RejectionLimits(
        test_rate_limits.Senders(is_sender), clock, lambda: 0.0
    )
    clock.now_s += 100.0
    return limits


@pytest.fixture
def limits(clock):
    return limits_of(clock)


def name_limit(limits, per_s):
    limits.record_answer("e", announcements.RateLimit(per_s), limits.clock())


def acquired(limits, wanted):
    return sum(limits.try_acquire(ENDPOINT) for _ in range(wanted))


def test_without_a_limit_any_number_may_be_undecided(limits):
    assert acquired(limits, 1000) == 1000
    assert limits.with_room([ENDPOINT]) == [ENDPOINT]


def test_no_more_are_undecided_than_may_be_rejected(limits):
    """Guards against requests that are all rejected in the same second."""
    name_limit(limits, 1.0)
    assert acquired(limits, 10) == 1
    assert limits.with_room([ENDPOINT]) == []


def test_accepted_requests_make_room_at_once(limits):
    name_limit(limits, 1.0)
    for _ in range(50):
        assert acquired(limits, 2) == 1
        limits.release("e")


def test_rejected_requests_make_room_after_a_second(limits, clock):
    """Guards against an instance that asks again at once when rejected."""
    name_limit(limits, 1.0)
    assert acquired(limits, 2) == 1
    limits.release("e", rejected=True)
    assert acquired(limits, 1) == 0
    clock.now_s += 1.0
    assert acquired(limits, 1) == 0
    clock.now_s += rejection_limits.HOLD_S - 1.0
    assert acquired(limits, 2) == 1


def test_requests_before_the_limit_count(limits):
    """Guards against a crowd that was sent just before the first answer."""
    assert acquired(limits, 3) == 3
    name_limit(limits, 1.0)
    limits.release("e", rejected=True)
    limits.release("e")
    limits.release("e")
    assert acquired(limits, 1) == 0


def test_instance_without_a_part_sends_nothing(clock):
    limits = limits_of(clock, is_sender=False)
    name_limit(limits, 1.0)
    assert acquired(limits, 1) == 0


def test_limit_ends_with_an_answer_without_it(limits, clock):
    name_limit(limits, 1.0)
    clock.now_s += 1.0
    limits.record_answer("e", announcements.NO_RATE_LIMIT, clock.now_s)
    clock.now_s += announced_limits.RAMP_S
    assert acquired(limits, 100) == 100


def test_nothing_is_kept_of_decided_requests(limits, clock):
    """Guards against memory that grows with every endpoint's start."""
    assert acquired(limits, 3) == 3
    for _ in range(3):
        limits.release("e", rejected=True)
    clock.now_s += rejection_limits.HOLD_S
    assert acquired(limits, 1) == 1
    limits.release("e")
    assert not limits.undecided
    assert not limits.rejected_s


class Deployment(test_many_rate_limits.Deployment):
    """Instances of one cell before an endpoint that rejects what it can."""

    def __init__(self, instances, seed, agreeing):
        self.agreeing = agreeing
        super().__init__(instances, seed)
        self.rejecting = 0.5
        self.rejected = []
        self.undecided = []

    def instance(self, row):
        made = super().instance(row)
        if self.agreeing:
            made.senders.registrations = test_many_instances.View(self.rows)
        return rejection_limits.RejectionLimits(
            made.senders, self.clock, self.chance.random
        )

    def step(self, number):
        self.clock.now_s += test_many_rate_limits.STEP_S
        for limits in self.limits:
            if limits.with_room([self.endpoint]) and limits.try_acquire(
                self.endpoint
            ):
                self.arrived.append(self.clock.now_s)
                self.undecided.append(limits)
        self.chance.shuffle(self.undecided)
        for _ in range(self.chance.randint(0, len(self.undecided))):
            self.decide(self.undecided.pop())
        if number % test_many_rate_limits.HEARTBEAT_STEPS == 0:
            self.exchange()

    def decide(self, limits):
        rejected = self.chance.random() < self.rejecting
        if rejected:
            self.rejected.append(self.clock.now_s)
        limits.release("e", rejected)
        limits.record_answer("e", self.limit, self.clock.now_s)


def play(deployment, per_s):
    """Return the most rejections in a second, and the requests sent."""
    deployment.limit = announcements.RateLimit(per_s)
    deployment.play(12.0)
    since_s = deployment.clock.now_s - 9.0
    times = [at for at in deployment.rejected if at >= since_s]
    most = max(
        (sum(first <= at < first + 1.0 for at in times) for first in times),
        default=0,
    )
    return most, len([at for at in deployment.arrived if at >= since_s])


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("per_s", [1.0, 3.0, 30.0])
@pytest.mark.parametrize("instances", [1, 7, 62])
def test_all_instances_together_cause_no_more_rejections(
    instances, per_s, seed
):
    """Guards against a limit that each instance uses for itself."""
    most, sent = play(Deployment(instances, seed, agreeing=True), per_s)
    assert most <= per_s
    assert sent > 3


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("per_s", [3.0, 8.0])
@pytest.mark.parametrize("instances", [7, 62])
def test_instances_that_disagree_on_who_shares_cause_no_more(
    instances, per_s, seed
):
    most, _sent = play(Deployment(instances, seed, agreeing=False), per_s)
    assert most <= per_s
