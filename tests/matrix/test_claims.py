"""At most once: every fault at every step from submission to outcome.

A caller submits at instance 0 and sends again at instance 1 until it has a
definite answer.  The key's shard is owned by instance 0 ("here") or 1
("there").
"""

from __future__ import annotations

import dataclasses
import time
import typing

import pytest
from tests.matrix import processes
from tests.matrix import proxy

from briarseam.testing import caller
from briarseam.testing import waiting

ADMIT = proxy.Step("admit", (b"admit-call",))
CLAIM = proxy.Step("claim", (b"\xa5claim",))
APPEND = proxy.Step("append", (b"POST /streams/claims", b"\xa5claim"))
APPENDED = proxy.Step("appended", (b'"offset"',), answer=True)
READ_BACK = proxy.Step("read back", (b"records", b"\xa5claim"), answer=True)
WON = proxy.Step("won", (b"claim-won",), answer=True)
GRANTED = proxy.Step("granted", (b"granted",), answer=True)
CALL = proxy.Step("call", (b"POST /calls/",))
CALLED = proxy.Step("called", (b"confirmation",), answer=True)
ENDED = proxy.Step("ended", (b"run-ended",))
SETTLE = proxy.Step("settle", (b"claim-settle",))
SETTLED = proxy.Step("settled", (b"POST /streams/claims", b"\xa4done"))
HERE, THERE = 0, 1
SLOW_S = 1.2
FROZEN_S = 1.6
PATIENCE_S = 1.0
OK = 200


@dataclasses.dataclass(frozen=True)
class Case:
    """One cell of the matrix.

    Attributes
    ----------
    step
        Where the fault fires.
    owner
        The instance that owns the key's shard.
    ends
        What the caller may be told in the end.
    """

    step: proxy.Step
    owner: int
    ends: tuple[str, ...]

    @property
    def id(self) -> str:
        """Return the name of the case."""
        return f"{self.step.name} {'there' if self.owner else 'here'}"


ONCE = ("ran",)
EITHER = ("ran", "unknown")
UNKNOWN = ("unknown",)
STEPS = (
    Case(ADMIT, HERE, ONCE),
    Case(CLAIM, THERE, ONCE),
    Case(APPEND, HERE, ONCE),
    Case(APPEND, THERE, ONCE),
    Case(APPENDED, HERE, ONCE),
    Case(READ_BACK, HERE, ONCE),
    Case(WON, THERE, ONCE),
    Case(GRANTED, HERE, ONCE),
    Case(CALL, HERE, UNKNOWN),
    Case(CALLED, HERE, UNKNOWN),
    Case(ENDED, HERE, ONCE),
    Case(SETTLE, THERE, ONCE),
    Case(SETTLED, HERE, ONCE),
    Case(SETTLED, THERE, ONCE),
)
by_step = pytest.mark.parametrize("case", STEPS, ids=lambda case: case.id)


@pytest.fixture(scope="module")
def started(tmp_path_factory) -> typing.Iterator[processes.Cluster]:
    with processes.Cluster(tmp_path_factory.mktemp("matrix")) as cluster:
        yield cluster


@pytest.fixture
def cluster(started) -> typing.Iterator[processes.Cluster]:
    yield started
    started.heal()


def link_of(cluster: processes.Cluster, case: Case) -> proxy.Proxy:
    """Return the link that carries a step's messages."""
    match case.step:
        case proxy.Step(name="admit" | "granted" | "ended"):
            return cluster.machines[0].from_entry
        case proxy.Step(name="claim" | "won" | "settle"):
            return cluster.machines[case.owner].from_peers
        case proxy.Step(name="call" | "called"):
            return cluster.to_service
    return cluster.machines[case.owner].to_log


def is_definite(result: caller.CallResult) -> bool:
    lost = result.body.get("reason") in ("outcome-unknown", "endpoint-lost")
    return result.status == OK or (lost and told(result) == "unknown")


def told(result: caller.CallResult) -> str:
    """Return ran, no, unknown, or nothing for a lost connection."""
    if result.status == OK:
        return "ran"
    return str(result.body.get("ran", ""))


@dataclasses.dataclass
class Caller:
    """Submits one key and checks what it is told."""

    cluster: processes.Cluster
    key: str
    answers: list[str] = dataclasses.field(default_factory=list)

    def submit(self, instance: int) -> caller.CallResult:
        result = self.cluster.submit(instance, self.key, PATIENCE_S)
        self.answers.append(told(result))
        return result

    def check_first(self) -> None:
        """A first "not run" is still true once every fault is over."""
        if self.answers == ["no"]:
            assert self.cluster.runs(self.key) == 0

    def finish(self) -> str:
        """Send again until told something definite; return it."""
        result = waiting.until(
            lambda: (
                one if is_definite(one := self.submit(instance=1)) else None
            ),
            15,
            "a definite answer",
        )
        assert self.cluster.runs(self.key) <= 1
        if result.status == OK:
            assert self.cluster.runs(self.key) == 1
        return told(result)


def run(
    cluster: processes.Cluster, case: Case, plan: proxy.Plan
) -> tuple[Caller, str]:
    """Submit under a fault, heal, and send again to the end."""
    one = Caller(cluster, cluster.key_owned_by(case.owner))
    link_of(cluster, case).arm(plan)
    one.submit(instance=0)
    assert plan.fired.wait(5)
    if plan.act is None:
        waiting.until(lambda: cluster.submit(1, caller.new_key()).status == OK)
    else:
        cluster.heal()
    one.check_first()
    return one, one.finish()


@by_step
def test_link_cut(cluster, case):
    """A connection is cut as the step's message passes; it is lost."""
    _, end = run(cluster, case, proxy.Plan(case.step, proxy.Fault.CUT))
    assert end in case.ends


@pytest.mark.parametrize(
    "case",
    [one for one in STEPS if not one.step.answer],
    ids=lambda case: case.id,
)
def test_answer_lost_after_effect(cluster, case):
    """The step's message arrives; the answer to it never does."""
    plan = proxy.Plan(case.step, proxy.Fault.ANSWER_LOST)
    _, end = run(cluster, case, plan)
    assert end in case.ends


@by_step
def test_link_slow(cluster, case):
    """The step's message comes after those who wait have given up."""
    plan = proxy.Plan(case.step, proxy.Fault.SLOW, slow_s=SLOW_S)
    one, end = run(cluster, case, plan)
    assert end in EITHER
    if case.step not in (CALL, CALLED):
        assert end == "ran", one.answers


@pytest.mark.parametrize(
    "case",
    [one for one in STEPS if one.step in (APPEND, SETTLED)],
    ids=lambda case: case.id,
)
def test_append_doubled(cluster, case):
    """Something between us and the log delivers an append twice."""
    plan = proxy.Plan(case.step, proxy.Fault.DOUBLED)
    _, end = run(cluster, case, plan)
    assert end == "ran"


VICTIMS = pytest.mark.parametrize("victim", ["entry", "agent", "owner"])
PROCESS_STEPS = (
    Case(ADMIT, THERE, EITHER),
    Case(CLAIM, THERE, EITHER),
    Case(APPEND, THERE, EITHER),
    Case(READ_BACK, THERE, EITHER),
    Case(GRANTED, THERE, EITHER),
    Case(CALL, THERE, EITHER),
    Case(CALLED, THERE, EITHER),
    Case(ENDED, THERE, EITHER),
    Case(SETTLED, THERE, EITHER),
)
by_process_step = pytest.mark.parametrize(
    "case", PROCESS_STEPS, ids=lambda case: case.step.name
)


def process_of(
    cluster: processes.Cluster, case: Case, victim: str
) -> processes.Daemon:
    """Return the process that a fault strikes."""
    match victim:
        case "entry":
            return cluster.machines[0].entry
        case "agent":
            return cluster.machines[0].agent
    return cluster.machines[case.owner].agent


@VICTIMS
@by_process_step
def test_process_killed(cluster, case, victim):
    """kill -9 strikes a process as the step's message passes."""
    daemon = process_of(cluster, case, victim)
    plan = proxy.Plan(case.step, proxy.Fault.ACT, act=daemon.kill)
    _, end = run(cluster, case, plan)
    assert end in case.ends


@VICTIMS
@by_process_step
def test_process_frozen_past_every_timeout(cluster, case, victim):
    """A process stops as the step's message passes, and goes on later.

    Meanwhile the caller gives up and sends again to the other instance.
    """
    daemon = process_of(cluster, case, victim)
    plan = proxy.Plan(case.step, proxy.Fault.ACT, act=daemon.freeze)
    one = Caller(cluster, cluster.key_owned_by(case.owner))
    link_of(cluster, case).arm(plan)
    one.submit(instance=0)
    assert plan.fired.wait(5)
    one.submit(instance=1)
    waiting.until(
        lambda: time.monotonic() - plan.fired_at > FROZEN_S, 5, "the freeze"
    )
    cluster.heal()
    assert one.finish() in case.ends


@by_process_step
def test_log_goes_down(cluster, case):
    """The log goes away as the step's message passes, and comes back."""

    def outage() -> None:
        cluster.log.set(outage=True)

    plan = proxy.Plan(case.step, proxy.Fault.ACT, act=outage)
    _, end = run(cluster, case, plan)
    assert end == "ran"


@pytest.mark.parametrize(
    "case",
    [one for one in PROCESS_STEPS if one.step in (READ_BACK, CALL, ENDED)],
    ids=lambda case: case.step.name,
)
def test_every_instance_is_replaced(cluster, case):
    """All processes die as the step's message passes; none keeps anything.

    What the new ones know is what the log holds.
    """

    def replace_all() -> None:
        for machine in cluster.machines:
            for daemon in machine.daemons():
                daemon.kill()

    plan = proxy.Plan(case.step, proxy.Fault.ACT, act=replace_all)
    _, end = run(cluster, case, plan)
    assert end in case.ends
