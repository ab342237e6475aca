from __future__ import annotations

import pytest

from briarseam.admission import messages
from briarseam.admission import request_metrics
from briarseam.metrics import registry as registries
from briarseam.wire import codec


@pytest.fixture
def registry():
    return registries.Registry()


@pytest.fixture
def counting(registry):
    return request_metrics.RequestMetrics(registry, lambda: 0.0)


def ask(counting, reply, tokens=3000):
    request = messages.Admit("d", "m", "s", (), tokens, 8, 5, 4000)
    counting.asked(request)
    counting.answered(request, reply)


def grant(run, organisation):
    return messages.Granted(run, "", "", organisation, "e1", "127.0.0.1:1")


def values(registry):
    return {
        (sample.name, *(value for _, value in sample.labels)): sample.value
        for sample in registry.samples()
    }


def test_share_recomputed_is_told_by_organisation(registry, counting):
    # Hygiejnetjek weighs the share recomputed.  One organisation's long
    # histories must not hide that another's are computed anew each time.
    for run, organisation, cached in (("r1", "a", 2000), ("r2", "b", 0)):
        ask(counting, grant(run, organisation))
        counting.asked(messages.RunStarted(run, cached, 250.0))
    found = values(registry)
    assert found["prompt_tokens_total", "a"] == 3000
    assert found["reused_prompt_tokens_total", "a"] == 2000
    assert found["reused_prompt_tokens_total", "b"] == 0
    assert found["first_token_us_count",] == 2
    assert found["first_token_us_sum",] == 500_000


def test_end_counts_once_however_often_it_is_reported(registry, counting):
    # An entry repeats its report until the agent has taken it in.
    ask(counting, grant("r1", "a"))
    done = messages.RunEnded("r1", "", "e1", messages.RunResult.DONE, 8)
    for _ in range(3):
        counting.asked(done)
    found = values(registry)
    assert found["runs_ended_total", "done"] == 1
    assert found["answer_tokens_total", "a"] == 8


@pytest.mark.parametrize(
    ("reply", "decision"),
    [
        pytest.param(grant("r", "a"), "granted", id="granted"),
        pytest.param(
            messages.Replayed(200, b"", True, ""), "replayed", id="replayed"
        ),
        pytest.param(
            messages.Refused("no", "deadline", "", 1.0), "refused", id="no"
        ),
        pytest.param(codec.Failed("error", ""), "failed", id="failed"),
    ],
)
def test_each_decision_is_counted(registry, counting, reply, decision):
    # An operator sees at once whether callers are refused, and why.
    ask(counting, reply)
    found = values(registry)
    assert found["requests_total", decision] == 1
    assert found["admit_us_count",] == 1
    refused = found.get(("refusals_total", "no", "deadline"), 0)
    assert refused == (decision == "refused")


def test_nonsense_of_an_endpoint_breaks_no_counter(registry, counting):
    # A confused engine reports more cached tokens than the prompt has, or
    # fewer than none.
    for run, cached in (("r1", 10**9), ("r2", -5)):
        ask(counting, grant(run, "a"), tokens=100)
        counting.asked(messages.RunStarted(run, cached, -1.0))
    assert values(registry)["reused_prompt_tokens_total", "a"] == 100


def test_memory_of_runs_is_bounded(counting, monkeypatch):
    # Runs whose end is never told must not grow the agent.
    monkeypatch.setattr(request_metrics, "MAX_RUNS", 3)
    for number in range(9):
        ask(counting, grant(f"r{number}", "a"))
    assert list(counting.runs) == ["r6", "r7", "r8"]
