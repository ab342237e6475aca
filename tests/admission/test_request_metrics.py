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
def request_counts(registry):
    return request_metrics.RequestMetrics(registry, lambda: 0.0)


def record_exchange(request_counts, reply, tokens=3000):
    request = messages.Admit("d", "m", "s", (), tokens, 8, 5, 4000)
    request_counts.on_request(request)
    request_counts.on_reply(request, reply)


def grant(run, organisation):
    return messages.Granted(run, "", "", organisation, "e1", "127.0.0.1:1")


def sample_values(registry):
    return {
        (sample.name, *(value for _, value in sample.labels)): sample.value
        for sample in registry.samples()
    }


def test_token_counts_are_labelled_by_organisation(registry, request_counts):
    # The share of recomputed tokens is evaluated for each organisation: the
    # reuse of one must not hide that another's prompts are recomputed.
    for run, organisation, cached in (("r1", "a", 2000), ("r2", "b", 0)):
        record_exchange(request_counts, grant(run, organisation))
        request_counts.on_request(messages.RunStarted(run, cached, 250.0))
    samples = sample_values(registry)
    assert samples["prompt_tokens_total", "a"] == 3000
    assert samples["reused_prompt_tokens_total", "a"] == 2000
    assert samples["reused_prompt_tokens_total", "b"] == 0
    assert samples["first_token_us_count",] == 2
    assert samples["first_token_us_sum",] == 500_000


def test_repeated_end_report_is_counted_once(registry, request_counts):
    # An entry repeats its report until the agent has acknowledged it.
    record_exchange(request_counts, grant("r1", "a"))
    done = messages.RunEnded("r1", "", "e1", messages.RunResult.DONE, 8)
    for _ in range(3):
        request_counts.on_request(done)
    samples = sample_values(registry)
    assert samples["runs_ended_total", "done"] == 1
    assert samples["answer_tokens_total", "a"] == 8


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
def test_each_decision_is_counted(registry, request_counts, reply, decision):
    # The counters show an operator whether callers are refused, and why.
    record_exchange(request_counts, reply)
    samples = sample_values(registry)
    assert samples["requests_total", decision] == 1
    assert samples["admit_us_count",] == 1
    refused = samples.get(("refusals_total", "no", "deadline"), 0)
    assert refused == (decision == "refused")


def test_invalid_cached_tokens_are_clamped(registry, request_counts):
    # A faulty engine may report more cached tokens than the prompt has, or a
    # negative number.
    for run, cached in (("r1", 10**9), ("r2", -5)):
        record_exchange(request_counts, grant(run, "a"), tokens=100)
        request_counts.on_request(messages.RunStarted(run, cached, -1.0))
    assert sample_values(registry)["reused_prompt_tokens_total", "a"] == 100


def test_memory_of_runs_is_bounded(request_counts, monkeypatch):
    # Runs whose end is never reported must not use memory without bound.
    monkeypatch.setattr(request_metrics, "MAX_RUNS", 3)
    for number in range(9):
        record_exchange(request_counts, grant(f"r{number}", "a"))
    assert list(request_counts.runs) == ["r6", "r7", "r8"]
