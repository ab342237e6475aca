from __future__ import annotations

import pytest

from briarseam import verdict
from briarseam.admission import messages
from briarseam.answers import calls
from briarseam.answers import events


def replayed(whole):
    return messages.Replayed(200, b"1 2", whole, "id")


def test_kept_answer_is_given_again():
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
def test_answer_of_which_a_part_was_kept_is_refused_as_run(replay):
    """A caller sends a request again whose answer was too long to be kept.

    Given as far as it was kept, a part would pass for the whole answer.
    """
    with pytest.raises(verdict.RefusalError) as caught:
        replay(replayed(False))
    assert isinstance(caught.value.given, verdict.Ran)
    assert caught.value.given.reason is verdict.Reason.ANSWER_GONE
