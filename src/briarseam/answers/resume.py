"""Resumption of an answer at any entry, from a token of the caller's."""

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
CONTINUE_HINT = "send the prompt again with Answer-Id to have it continued"


class RunKeeper(typing.Protocol):
    """Takes over runs whose callers have disconnected."""

    def keep_resumed(self, resumed: Resumption, stream: engine.Stream) -> None:
        """Take over a run."""


class Resumption:
    """Relays a run that this or another entry started.

    Parameters
    ----------
    located
        The run of the answer id.
    answer_id
        The answer id from the caller.
    offset
        Offset of the first token that the caller does not have.
    engines
        Adapter to the engines.
    run_keeper
        Takes over the run when the caller disconnects.
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
        """Open the engine's stream.

        Raises
        ------
        verdict.RefusalError
            If the run is gone or its endpoint unreachable.  The verdict is
            that the request ran.
        """
        try:
            return self.engines.resume(
                self.located.address,
                self.located.run_id,
                self.sequencer.offset,
            )
        except engine.RefusedError as error:
            final_verdict = verdict.Ran(
                verdict.Reason.ANSWER_GONE,
                f"the endpoint no longer has this answer; {CONTINUE_HINT}",
            )
            raise verdict.RefusalError(final_verdict) from error
        except engine.EngineError as error:
            final_verdict = verdict.Ran(
                verdict.Reason.ENDPOINT_LOST,
                "the endpoint of this answer is unreachable;"
                f" resume later, or {CONTINUE_HINT}",
                RETRY_AFTER_S,
            )
            raise verdict.RefusalError(final_verdict) from error

    def events(self, stream: engine.Stream) -> typing.Iterator[bytes]:
        """Yield the caller's events from the offset on."""
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
        """Open the stream again; limited to a few times without progress."""
        self.resumes += 1
        if self.resumes > MAX_RESUMES:
            raise verdict.RefusalError(
                verdict.Ran(
                    verdict.Reason.ENDPOINT_LOST,
                    f"the stream broke; resume later, or {CONTINUE_HINT}",
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
    replayed: messages.Replayed, endpoint_verdict: verdict.Verdict
) -> verdict.Verdict:
    """Return the verdict if an answer cannot be retrieved again.

    Parameters
    ----------
    replayed
        What is known about the first request.
    endpoint_verdict
        Why the endpoint did not return the answer.
    """
    if replayed.ran == "unknown":
        return verdict.MayHaveRun(
            verdict.Reason.OUTCOME_UNKNOWN,
            "the first request's answer was lost",
        )
    return verdict.Ran(
        endpoint_verdict.reason,
        endpoint_verdict.detail,
        endpoint_verdict.retry_after_s,
    )
