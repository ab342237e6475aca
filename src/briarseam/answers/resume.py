"""Resuming an answer at any entry, from the token the caller names."""

from __future__ import annotations

import typing

from briarseam import verdict
from briarseam.admission import messages
from briarseam.answers import relay
from briarseam.endpoints import engine

HTTP_NOT_FOUND = 404
RETRY_AFTER_S = 1.0


class Resumption:
    """Relays a run that another entry, or this one, began.

    Parameters
    ----------
    located
        The run behind the answer id.
    answer_id
        As the caller gave it.
    offset
        First token the caller does not have.
    engines
        Adapter to the engines.
    """

    def __init__(
        self,
        located: messages.Located,
        answer_id: str,
        offset: int,
        engines: engine.EngineClient,
    ) -> None:
        self.located = located
        self.answer_id = answer_id
        self.offset = offset
        self.engines = engines

    def open(self) -> engine.Stream:
        """Return the engine's stream.

        Raises
        ------
        verdict.RefusalError
            When the run cannot be reached or is gone; it did run.
        """
        try:
            return self.engines.resume(
                self.located.address, self.located.run_id, self.offset
            )
        except engine.RefusedError as error:
            given = verdict.Ran(
                verdict.Reason.ANSWER_GONE,
                "the endpoint does not have this answer any more",
            )
            raise verdict.RefusalError(given) from error
        except engine.EngineError as error:
            given = verdict.Ran(
                verdict.Reason.ENDPOINT_LOST,
                "the endpoint of this answer cannot be reached",
                RETRY_AFTER_S,
            )
            raise verdict.RefusalError(given) from error

    def events(self, stream: engine.Stream) -> typing.Iterator[bytes]:
        """Yield the caller's event stream from the offset on."""
        try:
            yield relay.answer_id_event(self.answer_id)
            yield from self.relay(stream)
        except engine.LostError:
            yield relay.error_event(
                verdict.Ran(
                    verdict.Reason.ENDPOINT_LOST,
                    "the stream broke; resume from the last token",
                    RETRY_AFTER_S,
                )
            )
        finally:
            stream.close()

    def relay(self, stream: engine.Stream) -> typing.Iterator[bytes]:
        """Yield token events in order, then ``done``."""
        expected = self.offset
        for piece in stream:
            match piece:
                case engine.Started():
                    relay.check_run(piece.run_id, self.located.run_id)
                case engine.Token():
                    relay.check_run(piece.run_id, self.located.run_id)
                    if piece.offset < expected:
                        continue
                    if piece.offset > expected:
                        raise engine.LostError("tokens are missing")
                    expected += 1
                    yield relay.token_event(piece)
                case engine.Done():
                    relay.check_run(piece.run_id, self.located.run_id)
                    if piece.tokens != expected:
                        raise engine.LostError("the answer is not whole")
                    yield relay.done_event(piece)
                    return
                case engine.Broken():
                    raise engine.LostError(piece.reason)
        raise engine.LostError("the stream ended without its end")
