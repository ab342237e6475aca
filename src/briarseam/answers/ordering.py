"""Taking an engine's pieces in order, each once, of one run only."""

from __future__ import annotations

import typing

from briarseam.endpoints import engine


class Sequencer:
    """Checks the pieces of one answer, over all streams that give it.

    Parameters
    ----------
    run_id
        The run whose pieces are wanted.
    version
        Weight version that must produce them.
    offset
        First token that is wanted.
    """

    def __init__(self, run_id: str, version: str, offset: int = 0) -> None:
        self.run_id = run_id
        self.version = version
        self.offset = offset

    def read_start(
        self, pieces: typing.Iterator[engine.Piece]
    ) -> engine.Started:
        """Return the start, which must be the stream's first piece."""
        piece = next(pieces, None)
        if isinstance(piece, engine.Broken):
            raise engine.LostError(piece.reason)
        if not isinstance(piece, engine.Started):
            raise engine.LostError("no start of the stream")
        self.check_start(piece)
        return piece

    def next(
        self, pieces: typing.Iterator[engine.Piece]
    ) -> engine.Token | engine.Done:
        """Return the next new token or the end of the answer.

        A doubled or late token lies before the wanted offset and is passed
        over.  A missing or reordered one shows as an offset beyond it, a
        truncated answer as an end that counts more tokens than came.

        Raises
        ------
        engine.LostError
            When the stream ends early, skips, or is another run's.
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
                        raise engine.LostError("the answer is not whole")
                    return piece
                case engine.Broken():
                    raise engine.LostError(piece.reason)
        raise engine.LostError("the stream ended without its end")

    def check_start(self, piece: engine.Started) -> None:
        """Refuse another run's start, or another version's."""
        self.check_run(piece.run_id)
        if piece.version != self.version:
            raise engine.LostError("the endpoint runs another version")

    def check_run(self, run_id: str) -> None:
        """Refuse a piece of another run.

        An answer is matched by its run id, not by the connection it came
        on: a confused endpoint or proxy that sends another run's pieces
        would otherwise hand one caller another's answer.
        """
        if run_id != self.run_id:
            raise engine.LostError("the stream is another run's")
