from __future__ import annotations

import pytest

from tests.platform import raw_answers
from tests.platform import steps

Framing = raw_answers.Framing


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
    _received, (step,) = steps.receive(system, "/draft/x")
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
    _received, (step,) = steps.receive(system, "/draft/once/x")
    assert step.endswith("framing=chunked end=reset")
