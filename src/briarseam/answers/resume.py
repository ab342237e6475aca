"""Resuming an answer at any entry, from the token the caller names."""

from __future__ import annotations

import typing

from briarseam import verdict
from briarseam.admission import messages
from briarseam.answers import events
from briarseam.answers import ordering
from briarseam.endpoints import engine

HTTP_NOT_FOUND = 404
RETRY_AFTER_S = 1.0
MAX_RESUMES = 2
CONTINUE = "send the prompt again with Answer-Id to have it continued"


class RunKeeper(typing.Protocol):
    """What happens to a run whose caller is gone."""

    def keep_resumed(self, resumed: Resumption, stream: engine.Stream) -> None:
        """Take the run over."""


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
    run_keeper
        Takes over the run when the caller is gone.
    """

    def __init__(
        self,
        located: messages.Located,
        answer_id: str,
        offset: int,
        engines: engine.EngineClient,
        run_keeper: RunKeeper,
    ) -> None:
        self.located = located
        self.answer_id = answer_id
        self.engines = engines
        self.run_keeper = run_keeper
        self.sequencer = ordering.Sequencer(
            located.run_id, located.version, offset
        )
        self.resumes = 0
        self.ended = False

    def open(self) -> engine.Stream:
        """Return the engine's stream.

        Raises
        ------
        verdict.RefusalError
            When the run cannot be reached or is gone; it did run.
        """
        try:
            return self.engines.resume(
                self.located.address,
                self.located.run_id,
                self.sequencer.offset,
            )
        except engine.RefusedError as error:
            given = verdict.Ran(
                verdict.Reason.ANSWER_GONE,
                f"the endpoint does not have this answer any more; {CONTINUE}",
            )
            raise verdict.RefusalError(given) from error
        except engine.EngineError as error:
            given = verdict.Ran(
                verdict.Reason.ENDPOINT_LOST,
                "the endpoint of this answer cannot be reached;"
                f" resume later, or {CONTINUE}",
                RETRY_AFTER_S,
            )
            raise verdict.RefusalError(given) from error

    def events(self, stream: engine.Stream) -> typing.Iterator[bytes]:
        """Yield the caller's event stream from the offset on."""
        try:
            yield events.begin_event(self.answer_id, 0)
            while not self.ended:
                try:
                    yield from self.relay(stream)
                except engine.LostError:
                    stream.close()
                    stream = self.reopen()
        except verdict.RefusalError as error:
            self.ended = True
            yield events.error_event(error.given)
        finally:
            if self.ended:
                stream.close()
            else:
                self.run_keeper.keep_resumed(self, stream)

    def reopen(self) -> engine.Stream:
        """Return the engine's stream anew, a few times without progress."""
        self.resumes += 1
        if self.resumes > MAX_RESUMES:
            raise verdict.RefusalError(
                verdict.Ran(
                    verdict.Reason.ENDPOINT_LOST,
                    f"the stream broke; resume later, or {CONTINUE}",
                    RETRY_AFTER_S,
                )
            )
        return self.open()

    def relay(self, stream: engine.Stream) -> typing.Iterator[bytes]:
        """Yield token events in order, then ``done``."""
        pieces = iter(stream)
        while True:
            match self.sequencer.next(pieces):
                case engine.Token() as piece:
                    self.resumes = 0
                    yield events.token_event(piece)
                case engine.Done() as piece:
                    self.ended = True
                    yield events.done_event(piece)
                    return


def replay_failure_verdict(
    replayed: messages.Replayed, given: verdict.Verdict
) -> verdict.Verdict:
    """Return what a caller is told when an answer cannot be had again.

    Parameters
    ----------
    replayed
        What is known of the first request.
    given
        Why its endpoint does not give the answer.
    """
    if replayed.ran == "unknown":
        return verdict.MayHaveRun(
            verdict.Reason.OUTCOME_UNKNOWN,
            "the first request's answer was lost",
        )
    return verdict.Ran(given.reason, given.detail, given.retry_after_s)
