from __future__ import annotations

import pytest

from briarseam import verdict
from briarseam.admission import messages
from briarseam.answers import calls
from briarseam.answers import events


def replayed(whole):
    return messages.Replayed(200, b"1 2", whole, "id")


def test_stored_answer_is_replayed():
    assert calls.replayed_answer(replayed(True)).body == b"1 2"
    assert len(list(events.replayed_events(replayed(True)))) == 4


@pytest.mark.parametrize(
    "replay",
    [
        pytest.param(calls.replayed_answer, id="call"),
        pytest.param(
            lambda kept: list(events.replayed_events(kept)), id="prompt"
        ),
    ],
)
def test_partially_stored_answer_is_refused_as_ran(replay):
    """A caller resends a request whose answer was too long to be stored.

    Guards against a replay of the stored part as the complete answer.
    """
    with pytest.raises(verdict.RefusalError) as caught:
        replay(replayed(False))
    assert isinstance(caught.value.given, verdict.Ran)
    assert caught.value.given.reason is verdict.Reason.ANSWER_GONE
