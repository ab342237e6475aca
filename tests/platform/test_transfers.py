from __future__ import annotations

import pytest
import structlog.testing

from briarseam.testing import waiting
from tests.platform import raw_answers
from tests.platform import system as systems

Framing = raw_answers.Framing


TIMEOUT_S = 10


def steps_of(logs):
    """Return the steps of the requests that have ended."""
    return [
        step
        for line in logs
        if line["event"] == "request_ended"
        for step in line["steps"]
    ]


def receive(system, path):
    """Return the only step of a request, once it is logged."""
    with structlog.testing.capture_logs() as logs:
        system.receive(path, **systems.PROMPT)
        waiting.until(lambda: steps_of(logs), TIMEOUT_S)
    (step,) = steps_of(logs)
    return step


@pytest.mark.parametrize(
    ("framing", "end"),
    [
        (Framing.LENGTH, "complete"),
        (Framing.CHUNKED, "complete"),
        (Framing.CONNECTION, "closed"),
    ],
)
def test_log_and_counters_tell_how_an_answer_ended(system, framing, end):
    for worker in system.workers.values():
        worker.set(framing=framing)
    step = receive(system, "/draft/x")
    assert step.endswith(f"framing={framing} end={end}")
    text = system.http.request("GET", system.url("metrics", "/metrics")).data
    counter = f'transfers_total{{framing="{framing}",end="{end}"}} 1'
    assert counter.encode() in text


def test_log_tells_how_an_answer_broke(system):
    for worker in system.workers.values():
        worker.set(
            framing=Framing.CHUNKED,
            cuts=1,
            cut_at=raw_answers.Cut.IN_LATER_EVENT,
            cut_by=raw_answers.Ending.RESET,
        )
    step = receive(system, "/draft/once/x")
    assert step.endswith("framing=chunked end=reset")
