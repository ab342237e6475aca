from __future__ import annotations

import pytest

from briarseam import transfers
from briarseam.forwarding import outcomes
from briarseam.forwarding import steps

CHUNKED = transfers.Transfer(transfers.Framing.CHUNKED, transfers.End.COMPLETE)


@pytest.mark.parametrize(
    ("outcome", "first_event_ms", "transfer", "step"),
    [
        pytest.param(
            outcomes.Answered(200),
            12,
            CHUNKED,
            "e1:answered-200 first=12ms framing=chunked end=complete",
            id="answered",
        ),
        pytest.param(
            outcomes.Unreached("refused"),
            None,
            transfers.Transfer(),
            "e1:unreached (refused)",
            id="unreached",
        ),
        pytest.param(
            None, 0, transfers.Transfer(), "e1:ended first=0ms", id="ended"
        ),
    ],
)
def test_step_tells_what_became_of_a_send(
    outcome, first_event_ms, transfer, step
):
    assert steps.describe_send("e1", outcome, first_event_ms, transfer) == step


def test_step_tells_what_became_of_a_relayed_request():
    step = steps.describe_relay("two", outcomes.Answered(200), CHUNKED)
    assert step == "two:relay-answered framing=chunked end=complete"
