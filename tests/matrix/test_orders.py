"""Orders: the holder of the lease is killed or frozen at every step.

Two agents; whoever holds the lease is hit while it brings three engines to
new weights with a floor of two.  The other one takes over.
"""

from __future__ import annotations

import dataclasses
import functools
import threading
import time
import typing

import pytest
from tests.matrix import proxy
from tests.matrix import rollouts

from briarseam.testing import engine_messages
from briarseam.testing import waiting

ACQUIRE = proxy.Step("acquire", (b"POST /streams/leases", b"acquire"))
RENEW = proxy.Step("renew", (b"POST /streams/leases", b"renew"))
STATE = proxy.Step("state", (b"boot_id",), answer=True)
ORDER = proxy.Step("order", (b"POST /orders",))
ORDERED = proxy.Step("ordered", (b"order_id",), answer=True)
LOG_STEPS = (ACQUIRE, RENEW)
FENCING = {"fencing": True, "not-fencing": False}


@dataclasses.dataclass(frozen=True)
class Case:
    step: proxy.Step
    fencing: bool

    @property
    def id(self) -> str:
        kind = "fencing" if self.fencing else "not-fencing"
        return f"{self.step.name}-{kind}"


CASES = [
    *(Case(step, True) for step in (ACQUIRE, RENEW, STATE, ORDER, ORDERED)),
    *(Case(step, False) for step in (ORDER, ORDERED)),
]


@pytest.fixture(scope="module")
def clusters(tmp_path_factory):
    started: dict[bool, rollouts.Rollouts] = {}

    def cluster_of(fencing: bool) -> rollouts.Rollouts:
        if fencing not in started:
            folder = tmp_path_factory.mktemp("rollouts")
            started[fencing] = rollouts.Rollouts(folder, fencing)
            started[fencing].__enter__()
        started[fencing].heal()
        return started[fencing]

    yield cluster_of
    for one in started.values():
        one.__exit__()


def arm(
    cluster: rollouts.Rollouts,
    step: proxy.Step,
    hit: typing.Callable[[int], None],
) -> proxy.Plan:
    """Hit the holder when its next message of a step passes.

    The message goes on when ``hit`` returns.
    """
    plan = proxy.Plan(step, proxy.Fault.ACT)
    plan.act = lambda: hit(cluster.holder())
    engine = cluster.to_engines[rollouts.FIRST]

    def hit_now(number: int) -> None:
        hit(number)
        plan.fired.set()

    if step in LOG_STEPS:
        arm_log(cluster, step, hit_now)
    elif step is STATE:
        # States are polled all the time; the holder reads them once more
        # right after it has acquired, before its orders.
        arm_log(cluster, ACQUIRE, lambda number: engine.arm(plan))
    else:
        engine.arm(plan)
    return plan


def arm_log(
    cluster: rollouts.Rollouts,
    step: proxy.Step,
    act: typing.Callable[[int], None],
) -> None:
    """Act when the first agent's message of a step goes to the log."""

    def act_once(number: int) -> None:
        for link in cluster.to_log:
            link.arm(None)
        act(number)

    for number, link in enumerate(cluster.to_log):
        link.arm(
            proxy.Plan(
                step, proxy.Fault.ACT, act=functools.partial(act_once, number)
            )
        )


def numbers_only_grow(cluster: rollouts.Rollouts) -> bool:
    """Tell whether no engine took an order below one it had taken."""
    for orders in cluster.orders.values():
        highest = 0
        for order, answer in orders:
            if isinstance(answer, engine_messages.Fenced):
                continue
            if order.fence < highest:
                return False
            highest = order.fence
    return True


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.id)
def test_successor_ends_the_rollout_of_a_killed_holder(clusters, case):
    """The instance that gives the orders is lost in the middle of one.

    Its order may still arrive.  The rollout must end without it, with no
    engine more out than the floor allows and no more loads at once.
    """
    cluster = clusters(case.fencing)
    cluster.watch()
    version = cluster.new_version()
    plan = arm(cluster, case.step, lambda one: cluster.agents[one].kill())
    cluster.want(version)
    assert plan.fired.wait(10)
    cluster.until_all(version)
    assert cluster.sampler.fewest_serving >= rollouts.FLOOR
    assert cluster.sampler.most_loading <= 2


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.id)
def test_frozen_holder_that_wakes_cannot_undo_its_successor(clusters, case):
    """The holder is frozen for longer than the lease, then wakes.

    Meanwhile its successor has brought the engines to a yet newer version.
    What the holder had under way, an order among it, arrives only now.
    """
    cluster = clusters(case.fencing)
    cluster.watch()
    frozen: list[int] = []
    succeeded = threading.Event()

    def freeze(number: int) -> None:
        frozen.append(number)
        cluster.agents[number].freeze()
        succeeded.wait(30)

    version, newer = cluster.new_version(), cluster.new_version()
    plan = arm(cluster, case.step, freeze)
    cluster.want(version)
    try:
        waiting.until(lambda: frozen)
        cluster.want(newer)
        cluster.until_all(newer)
        before = {name: len(o) for name, o in cluster.orders.items()}
        floor_held = cluster.sampler.fewest_serving >= rollouts.FLOOR
    finally:
        succeeded.set()
        cluster.agents[frozen[0]].thaw()
    assert floor_held
    assert plan.fired.wait(10)
    if case.step is ORDER:
        late = before[rollouts.FIRST]
        waiting.until(lambda: len(cluster.orders[rollouts.FIRST]) > late)
        order, answer = cluster.orders[rollouts.FIRST][late]
        assert order.fence < cluster.orders[rollouts.FIRST][late - 1][0].fence
        assert isinstance(answer, engine_messages.Fenced) is case.fencing
    cluster.until_all(newer)
    assert numbers_only_grow(cluster) or not case.fencing


@pytest.mark.parametrize("fencing", FENCING.values(), ids=FENCING)
def test_log_lost_to_the_holder_alone_moves_the_rollout(clusters, fencing):
    """Only the holder's link to the log is cut, its engines still answer.

    It must stop giving orders by itself before the other one begins.
    """
    cluster = clusters(fencing)
    cluster.watch()
    cut: list[int] = []

    def cut_log(number: int) -> None:
        cut.append(number)
        cluster.to_log[number].target = ""
        for link in list(cluster.to_log[number].links):
            link.close()

    version = cluster.new_version()
    arm(cluster, RENEW, cut_log)
    cluster.want(version)
    try:
        waiting.until(lambda: cut)
        cluster.until_all(version)
    finally:
        cluster.to_log[cut[0]].target = cluster.log.address
    assert cluster.sampler.fewest_serving >= rollouts.FLOOR
    assert cluster.sampler.most_loading <= 2
    assert numbers_only_grow(cluster)


@pytest.mark.parametrize("fencing", FENCING.values(), ids=FENCING)
def test_holder_is_killed_just_as_the_log_goes_away(clusters, fencing):
    """Two faults at once: nobody can take over until the log is back.

    The order that was on its way still arrives; no other is given.
    """
    cluster = clusters(fencing)
    cluster.watch()
    version = cluster.new_version()

    def hit(number: int) -> None:
        cluster.agents[number].kill()
        cluster.log.set(outage=True)

    plan = arm(cluster, ORDER, hit)
    cluster.want(version)
    try:
        assert plan.fired.wait(10)
        lapsed_s = plan.fired_at + 1.5 * rollouts.TTL_S
        waiting.until(lambda: time.monotonic() > lapsed_s)
        assert sum(len(taken) for taken in cluster.orders.values()) == 1
    finally:
        cluster.log.set(outage=False)
    cluster.until_all(version)
    assert cluster.sampler.fewest_serving >= rollouts.FLOOR
    assert cluster.sampler.most_loading <= 2
