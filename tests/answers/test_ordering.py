from __future__ import annotations

import pytest

from briarseam.answers import ordering
from briarseam.endpoints import engine

START = engine.Started("run", "v1")
DONE = engine.Done("run", 3)


def token(offset: int, run: str = "run") -> engine.Token:
    return engine.Token(run, offset, f"w{offset}")


WHOLE = (token(0), token(1), token(2), DONE)


def read_offsets(*pieces: engine.Piece) -> list[int]:
    """Read pieces to the end; return the tokens' offsets."""
    sequencer = ordering.Sequencer("run", "v1")
    offsets = []
    stream = iter(pieces)
    while isinstance(piece := sequencer.next(stream), engine.Token):
        offsets.append(piece.offset)
    return offsets


@pytest.mark.parametrize(
    "pieces",
    [
        pytest.param((token(0), token(1), token(2)), id="in order"),
        pytest.param((token(0), token(0), token(1), token(2)), id="doubled"),
        pytest.param((token(0), token(1), token(0), token(2)), id="late"),
    ],
)
def test_each_token_is_returned_once(pieces):
    """A resumed stream of an engine may repeat tokens."""
    assert read_offsets(START, *pieces, DONE) == [0, 1, 2]


@pytest.mark.parametrize(
    "pieces",
    [
        pytest.param((token(0), token(2), token(1), DONE), id="reordered"),
        pytest.param((token(0), token(2), DONE), id="missing"),
        pytest.param((token(0), token(1), DONE), id="truncated"),
        pytest.param((token(0), token(1), token(2)), id="without its end"),
        pytest.param((token(0, "other"), DONE), id="foreign token"),
        pytest.param((engine.Done("other", 0),), id="foreign end"),
        pytest.param(
            (engine.Started("other", "v1"), *WHOLE), id="foreign start"
        ),
        pytest.param(
            (engine.Started("run", "v2"), *WHOLE), id="other version"
        ),
        pytest.param((engine.RunFailed("failed"),), id="failed"),
    ],
)
def test_invalid_stream_is_lost(pieces):
    """Guards against a partial or foreign answer that seems complete."""
    with pytest.raises(engine.LostError):
        read_offsets(START, *pieces)


def test_token_after_a_gap_is_not_returned():
    """Guards against a token at a wrong position before the stream ends."""
    sequencer = ordering.Sequencer("run", "v1")
    stream = iter((START, token(0), token(2)))
    assert sequencer.next(stream) == token(0)
    with pytest.raises(engine.LostError, match="missing"):
        sequencer.next(stream)
