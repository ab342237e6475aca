"""Reads an engine's pieces in order, each once, of one run only."""

from __future__ import annotations

import typing

from briarseam.endpoints import engine


class Sequencer:
    """Checks the pieces of one answer across all of its streams.

    Parameters
    ----------
    run_id
        The run whose pieces are accepted.
    version
        Weight version that must produce them.
    offset
        Offset of the first token to return.
    """

    def __init__(self, run_id: str, version: str, offset: int = 0) -> None:
        self.run_id = run_id
        self.version = version
        self.offset = offset

    def read_start(
        self, pieces: typing.Iterator[engine.Piece]
    ) -> engine.Started:
        """Return the start piece, which must be the stream's first."""
        piece = next(pieces, None)
        if isinstance(piece, engine.RunFailed):
            raise engine.LostError(piece.reason)
        if not isinstance(piece, engine.Started):
            raise engine.LostError("the stream has no start piece")
        self.check_start(piece)
        return piece

    def next(
        self, pieces: typing.Iterator[engine.Piece]
    ) -> engine.Token | engine.Done:
        """Return the next new token or the end of the answer.

        A duplicate or late token has an offset below the next one and is
        skipped.  A missing or reordered token shows as an offset above it,
        a truncated answer as an end that counts more tokens than arrived.

        Raises
        ------
        engine.LostError
            If the stream ends early, skips tokens or belongs to another run.
        """
        for piece in pieces:
            match piece:
                case engine.Started():
                    self.check_start(piece)
                case engine.Token():
                    self.check_run(piece.run_id)
                    if piece.offset < self.offset:
                        continue
                    if piece.offset > self.offset:
                        raise engine.LostError("tokens are missing")
                    self.offset += 1
                    return piece
                case engine.Done():
                    self.check_run(piece.run_id)
                    if piece.tokens != self.offset:
                        raise engine.LostError("the answer is incomplete")
                    return piece
                case engine.RunFailed():
                    raise engine.LostError(piece.reason)
        raise engine.LostError("the stream ended without its end piece")

    def check_start(self, piece: engine.Started) -> None:
        """Reject the start of another run or another weight version."""
        self.check_run(piece.run_id)
        if piece.version != self.version:
            raise engine.LostError("the endpoint runs another weight version")

    def check_run(self, run_id: str) -> None:
        """Reject a piece of another run.

        An answer is matched by its run id, not by its connection: a faulty
        endpoint or proxy that sends another run's pieces would otherwise
        deliver one caller's answer to another.
        """
        if run_id != self.run_id:
            raise engine.LostError("the stream belongs to another run")
