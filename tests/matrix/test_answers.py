"""Whole answers: faults at each step of a stream, over real processes."""

from __future__ import annotations

import itertools
import signal
import typing

import pytest
from tests.matrix import engines
from tests.matrix import proxy

from briarseam.testing import answers
from briarseam.testing import caller
from briarseam.testing import deployment
from briarseam.testing import waiting

TOKENS = 60
OVERRIDES = ("entry.engine_silence_ms=800ms", "entry.resume_grace_s=2s")
RUN = proxy.Step("run", (b"POST /runs",))
TAKEN = proxy.Step("taken", (b"HTTP/1.1 200", b"event-stream"), answer=True)
STARTED = proxy.Step("started", (b"event: start",), answer=True)
FIRST = proxy.Step("first token", (b"id: 0\n",), answer=True)
LATER = proxy.Step("later token", (b"id: 20\n",), answer=True)
DONE = proxy.Step("done", (b"event: done",), answer=True)
STEPS = (RUN, TAKEN, STARTED, FIRST, LATER, DONE)
SLOW_S = 1.5
by_step = pytest.mark.parametrize("step", STEPS, ids=lambda step: step.name)
numbers = itertools.count()


@pytest.fixture(scope="module")
def started(tmp_path_factory) -> typing.Iterator[engines.EngineCluster]:
    folder = tmp_path_factory.mktemp("answers")
    with engines.EngineCluster(folder, 2, 3, OVERRIDES, True) as cluster:
        yield cluster


@pytest.fixture
def cluster(started) -> typing.Iterator[engines.EngineCluster]:
    yield started
    started.arm(None)
    for worker in started.workers.values():
        if not worker.is_dead():
            worker.send(signal.SIGCONT)
    started.restart_dead()
    for machine in started.machines:
        for daemon in machine.daemons():
            daemon.revive()
    waiting.until(started.is_serving, 20, "all serve")


class Asking:
    """One caller and its answer."""

    def __init__(self, cluster: engines.EngineCluster) -> None:
        self.cluster = cluster
        self.prompt = f"berth plan {next(numbers)}"
        self.answer = caller.Answer()

    def begin(self, instance: int = 0) -> typing.Iterator[str]:
        body = deployment.prompt_body(
            self.prompt, max_tokens=TOKENS, deadline_ms=5000
        )
        return self.cluster.prompter(instance).stream(body, self.answer)

    def ask(self) -> None:
        for _ in self.begin():
            pass

    def resume(self, instance: int) -> None:
        """Resume as a patient caller does."""

        def resumed() -> bool:
            self.answer.problem = {}
            self.cluster.prompter(instance).resume(self.answer)
            return self.answer.done

        waiting.until(resumed, 15, "the whole answer")

    def check_whole(self) -> None:
        assert self.answer.done, self.answer.problem
        assert self.answer.tokens == answers.expected_answer(
            deployment.MODEL, deployment.VERSION, self.prompt, TOKENS
        )


@by_step
def test_link_to_the_engine_is_cut(cluster, step):
    """A connection ends as the step's message passes; it is lost."""
    plan = proxy.Plan(step, proxy.Fault.CUT)
    cluster.arm(plan)
    asking = Asking(cluster)
    asking.ask()
    assert plan.fired.wait(5)
    asking.check_whole()


@by_step
def test_link_to_the_engine_falls_silent(cluster, step):
    """The step's message comes after the bound on the silence."""
    plan = proxy.Plan(step, proxy.Fault.SLOW, slow_s=SLOW_S)
    cluster.arm(plan)
    asking = Asking(cluster)
    asking.ask()
    assert plan.fired.wait(5)
    asking.check_whole()


@by_step
@pytest.mark.parametrize("fault", ["killed", "frozen"])
def test_engine_fails(cluster, step, fault):
    """An engine ends, or stops in its tracks, as the step's message passes.

    A frozen one keeps its connections open and sends nothing.
    """

    def strike() -> None:
        for worker in cluster.running_at() or list(cluster.workers.values()):
            if fault == "frozen":
                worker.send(signal.SIGSTOP)
            else:
                worker.kill()
            return

    plan = proxy.Plan(step, proxy.Fault.ACT, act=strike)
    cluster.arm(plan)
    asking = Asking(cluster)
    asking.ask()
    assert plan.fired.wait(5)
    asking.check_whole()


VICTIMS = pytest.mark.parametrize("victim", ["entry", "agent", "both", "all"])


@VICTIMS
def test_instances_die_in_the_middle_of_an_answer(cluster, victim):
    """The caller's entry, its agent, both, or all instances are killed.

    With the entry gone the caller resumes at another one; the answer id
    says where the run is.
    """
    asking = Asking(cluster)
    stream = asking.begin()
    for _ in range(3):
        next(stream)
    first, other = cluster.machines
    daemons = {
        "entry": [first.entry],
        "agent": [first.agent],
        "both": [first.entry, first.agent],
        "all": [*first.daemons(), *other.daemons()],
    }[victim]
    for daemon in daemons:
        daemon.kill()
    if victim == "all":
        for daemon in daemons:
            daemon.start()
    for _ in stream:
        pass
    if victim == "agent":
        assert asking.answer.done
    else:
        asking.resume(instance=1)
    asking.check_whole()


def test_frozen_entry_does_not_hold_the_answer(cluster):
    """The caller's entry freezes; it goes on after the answer is whole.

    What it then sends to its old connection, and its cancelling of a run
    that was resumed elsewhere, harm nobody.
    """
    asking = Asking(cluster)
    stream = asking.begin()
    for _ in range(3):
        next(stream)
    entry = cluster.machines[0].entry
    entry.freeze()
    stream.close()
    asking.resume(instance=1)
    entry.thaw()
    asking.check_whole()


def test_log_outage_does_not_touch_an_answer(cluster):
    """The log goes away in the middle of an answer, as does its engine."""
    asking = Asking(cluster)
    stream = asking.begin()
    next(stream)
    cluster.log.set(outage=True)
    for worker in cluster.running_at():
        worker.kill()
    for _ in stream:
        pass
    cluster.log.set(outage=False)
    asking.check_whole()


def test_run_of_a_dead_entry_is_counted_out(cluster):
    """An organisation reaches its limit with runs that nobody has."""
    asking = Asking(cluster)
    stream = asking.begin()
    next(stream)
    cluster.machines[0].entry.kill()
    stream.close()
    cluster.machines[0].entry.start()
    prompter = cluster.prompter(0)
    waiting.until(
        lambda: (
            prompter.ask(deployment.prompt_body(f"after {next(numbers)}")).done
        ),
        10,
        "the new entry serves",
    )
