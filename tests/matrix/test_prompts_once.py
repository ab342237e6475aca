"""At most once for prompts marked non-idempotent, up to their last token.

The path to the grant is the service call's (``test_claims``); here faults
strike between entry and engine.
"""

from __future__ import annotations

import dataclasses
import typing

import pytest
from tests.matrix import processes
from tests.matrix import proxy

from briarseam.testing import caller
from briarseam.testing import waiting

RUN = proxy.Step("run", (b"POST /runs",))
STARTED = proxy.Step("started", (b"event: start",), answer=True)
TOKEN = proxy.Step("token", (b"event: token",), answer=True)
DONE = proxy.Step("done", (b"event: done",), answer=True)
SLOW_S = 1.2
PATIENCE_S = 1.0


@pytest.fixture(scope="module")
def started(tmp_path_factory) -> typing.Iterator[processes.Cluster]:
    with processes.Cluster(tmp_path_factory.mktemp("prompts")) as cluster:
        yield cluster


@pytest.fixture
def cluster(started) -> typing.Iterator[processes.Cluster]:
    # The test before may have restarted an agent; one that knows no engine
    # yet refuses the prompt, and no step of its stream is ever reached.
    waiting.until(started.is_answering, 20, "prompts are answered")
    yield started
    started.heal()


@dataclasses.dataclass
class Told:
    """What a caller got for one key in the end."""

    first: caller.Answer
    last: caller.Answer
    starts: int


def is_definite(answer: caller.Answer) -> bool:
    reason = answer.problem.get("reason")
    lost = reason in ("outcome-unknown", "endpoint-lost", "answer-gone")
    return answer.done or (lost and answer.ran != "no")


def run(cluster: processes.Cluster, plan: proxy.Plan) -> Told:
    """Send a prompt under a fault, heal, and send again to the end."""
    before = cluster.engine_starts()
    key = caller.new_key()
    cluster.to_engine.arm(plan)
    first = cluster.ask(0, key, PATIENCE_S)
    # What the caller got instead tells why the step was not reached.
    assert plan.fired.wait(5), first
    if plan.act is not None:
        cluster.heal()
    last = waiting.until(
        lambda: (
            answer
            if is_definite(answer := cluster.ask(1, key, PATIENCE_S))
            else None
        ),
        15,
        "a definite answer",
    )
    return Told(first, last, cluster.engine_starts() - before)


@pytest.mark.parametrize(
    "step", [RUN, STARTED, TOKEN, DONE], ids=lambda step: step.name
)
@pytest.mark.parametrize(
    "fault", [proxy.Fault.CUT, proxy.Fault.SLOW], ids=lambda fault: fault.name
)
def test_engines_stream_fails(cluster, step, fault):
    """A booking is made by two runs of one prompt.

    The engine's stream is cut or falls silent at a step; the caller sends
    the prompt again at the other instance.
    """
    told = run(cluster, proxy.Plan(step, fault, slow_s=SLOW_S))
    assert told.starts <= 1
    if told.first.done or told.last.done:
        assert told.starts == 1


@pytest.mark.parametrize("victim", ["entry", "agent"])
@pytest.mark.parametrize(
    "step", [RUN, TOKEN, DONE], ids=lambda step: step.name
)
def test_process_dies_in_the_stream(cluster, step, victim):
    """The entry or the agent dies as the engine streams its answer."""
    daemon = getattr(cluster.machines[0], victim)
    told = run(cluster, proxy.Plan(step, proxy.Fault.ACT, act=daemon.kill))
    assert told.starts <= 1
    if told.first.done or told.last.done:
        assert told.starts == 1
    if victim == "entry" and step is not RUN:
        assert told.last.done


def test_cut_after_the_first_token_is_mended_by_the_same_run(cluster):
    """The caller of a booking sees no trace of a short cut."""
    plan = proxy.Plan(TOKEN, proxy.Fault.CUT, nth=2)
    told = run(cluster, plan)
    assert told.first.done
    assert told.last.tokens == told.first.tokens
    assert told.starts == 1
