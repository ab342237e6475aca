"""One answer from grant to ``done``: the entry's side of a run.

Before the first token an idempotent request that loses its endpoint asks
the agent for another.  After it the relay first resumes the engine's own
stream, and when the endpoint is gone continues elsewhere from the prompt
plus the tokens already passed on, under the same weight version only.
"""

from __future__ import annotations

import dataclasses
import time
import typing

import msgspec

from briarseam import verdict
from briarseam.admission import messages
from briarseam.answers import attempts
from briarseam.endpoints import engine
from briarseam.endpoints import sse

MAX_RESUMES = 2
MS = 1000.0


@dataclasses.dataclass(frozen=True)
class Ask:
    """What the caller asked, as the relay needs it.

    Attributes
    ----------
    admit
        The message to the agent.
    prompt
        The prompt's text.
    accepted_at
        Monotonic time of the caller's request, in seconds.
    """

    admit: messages.Admit
    prompt: str
    accepted_at: float


class Agent(typing.Protocol):
    """What the relay needs from the link to the agent."""

    def admit(
        self, request: messages.Admit
    ) -> messages.Granted | messages.Replayed:
        """Return a grant or a replay; raise ``verdict.RefusalError``."""

    def report(self, message: typing.Any) -> typing.Any:
        """Tell the agent how a run went."""


@dataclasses.dataclass
class Run:
    """A granted run and how far its answer has got."""

    grant: messages.Granted
    stream: engine.Stream
    pieces: typing.Iterator[engine.Piece]
    tokens: list[str]
    reused_tokens: int = 0
    resumes: int = 0
    ended: bool = False


class Relay:
    """Relays one answer.

    Parameters
    ----------
    ask
        The caller's request.
    agent
        Link to the agent.
    engines
        Adapter to the engines.
    """

    def __init__(
        self, ask: Ask, agent: Agent, engines: engine.EngineClient
    ) -> None:
        self.ask = dataclasses.replace(ask, admit=attempts.named(ask.admit))
        self.agent = agent
        self.engines = engines
        self.lost: tuple[str, ...] = ()

    def open(self) -> Run | messages.Replayed:
        """Return a run whose first piece has arrived, or a replay.

        Raises
        ------
        verdict.RefusalError
            With the final verdict.
        """
        while True:
            reply = self.agent.admit(
                dataclasses.replace(self.ask.admit, lost=self.lost)
            )
            if isinstance(reply, messages.Replayed):
                return reply
            run = self.try_grant(reply)
            if run is not None:
                return run

    def try_grant(self, grant: messages.Granted) -> Run | None:
        """Start a granted run; ``None`` when another may be asked for."""
        try:
            stream = self.engines.start(
                grant.address, self.run_request(grant, ())
            )
            run = Run(grant, stream, iter(stream), [])
            self.await_first(run)
        except engine.NotSentError:
            self.end_unsent(grant, messages.RunResult.NOT_SENT)
            self.lost += (grant.endpoint,)
            return None
        except engine.RefusedError:
            self.end_unsent(grant, messages.RunResult.REFUSED)
            self.lost += (grant.endpoint,)
            return None
        except engine.LostError as error:
            self.end(grant, messages.RunResult.LOST_BEFORE_FIRST)
            self.lost += (grant.endpoint,)
            if not self.ask.admit.idempotent:
                raise verdict.RefusalError(
                    verdict.MayHaveRun(
                        verdict.Reason.ENDPOINT_LOST,
                        "the endpoint was lost; the prompt may have run",
                    )
                ) from error
            return None
        return run

    def await_first(self, run: Run) -> None:
        """Wait for the first token, or an empty answer's end."""
        started = next(run.pieces, None)
        if not isinstance(started, engine.Started):
            raise engine.LostError("no start of the stream")
        check_run(started.run_id, run.grant.run_id)
        if started.version != run.grant.version:
            raise engine.LostError("the endpoint runs another version")
        run.reused_tokens = started.cached_tokens
        first = self.next_piece(run)
        run.pieces = prepend(first, run.pieces)
        elapsed_s = time.monotonic() - self.ask.accepted_at
        self.agent.report(
            messages.RunStarted(
                run_id=run.grant.run_id,
                cached_tokens=started.cached_tokens,
                first_token_ms=elapsed_s * MS,
            )
        )

    def next_piece(self, run: Run) -> engine.Token | engine.Done:
        """Return the next new token or the end of the answer.

        Raises
        ------
        engine.LostError
            When the stream ends early, skips, or is another run's.
        """
        for piece in run.pieces:
            match piece:
                case engine.Started():
                    check_run(piece.run_id, run.grant.run_id)
                case engine.Token():
                    check_run(piece.run_id, run.grant.run_id)
                    expected = len(run.tokens)
                    if piece.offset < expected:
                        continue
                    if piece.offset > expected:
                        raise engine.LostError("tokens are missing")
                    return piece
                case engine.Done():
                    check_run(piece.run_id, run.grant.run_id)
                    if piece.tokens != len(run.tokens):
                        raise engine.LostError("the answer is not whole")
                    return piece
                case engine.Broken():
                    raise engine.LostError(piece.reason)
        raise engine.LostError("the stream ended without its end")

    def events(self, run: Run) -> typing.Iterator[bytes]:
        """Yield the caller's event stream of a run that has begun.

        Closing the iterator early means that the caller is gone.
        """
        try:
            yield from self.relay(run)
        finally:
            run.stream.close()
            if not run.ended:
                run.ended = True
                self.end(run.grant, messages.RunResult.CANCELLED, run.tokens)

    def relay(self, run: Run) -> typing.Iterator[bytes]:
        """Yield events; mend the stream where that can be done."""
        yield begin_event(run)
        while True:
            try:
                piece = self.next_piece(run)
            except engine.LostError:
                if not self.mend(run):
                    yield self.give_up(run)
                    return
                yield begin_event(run)
                continue
            match piece:
                case engine.Token():
                    run.tokens.append(piece.token)
                    yield token_event(piece)
                case engine.Done():
                    run.ended = True
                    self.end(run.grant, messages.RunResult.DONE, run.tokens)
                    yield done_event(piece)
                    return

    def mend(self, run: Run) -> bool:
        """Resume the run, else continue it elsewhere; tell whether."""
        run.stream.close()
        if run.resumes < MAX_RESUMES and self.resume(run):
            return True
        return self.ask.admit.idempotent and self.continue_elsewhere(run)

    def resume(self, run: Run) -> bool:
        """Read the engine's stream again from where it broke."""
        run.resumes += 1
        try:
            stream = self.engines.resume(
                run.grant.address, run.grant.run_id, len(run.tokens)
            )
        except engine.EngineError:
            return False
        run.stream = stream
        run.pieces = iter(stream)
        return True

    def continue_elsewhere(self, run: Run) -> bool:
        """Run the rest of the answer at another endpoint."""
        self.end(run.grant, messages.RunResult.LOST_AFTER_FIRST, run.tokens)
        run.ended = True
        self.lost += (run.grant.endpoint,)
        request = dataclasses.replace(
            self.ask.admit,
            lost=self.lost,
            continues=run.grant.answer_id,
            passed_on=len(run.tokens),
        )
        try:
            grant = self.agent.admit(request)
        except verdict.RefusalError:
            return False
        if not isinstance(grant, messages.Granted):
            return False
        try:
            stream = self.engines.start(
                grant.address, self.run_request(grant, tuple(run.tokens))
            )
        except engine.EngineError:
            self.end(grant, messages.RunResult.NOT_SENT)
            return False
        run.grant = grant
        run.stream = stream
        run.pieces = iter(stream)
        run.resumes = 0
        run.ended = False
        return True

    def give_up(self, run: Run) -> bytes:
        """Report the loss and return the caller's last event."""
        if not run.ended:
            run.ended = True
            self.end(
                run.grant, messages.RunResult.LOST_AFTER_FIRST, run.tokens
            )
        given = verdict.MayHaveRun(
            verdict.Reason.ENDPOINT_LOST,
            "the endpoint was lost and the answer cannot be continued",
        )
        return error_event(given)

    def run_request(
        self, grant: messages.Granted, prior: tuple[str, ...]
    ) -> engine.RunRequest:
        """Return the engine's request for a grant."""
        return engine.RunRequest(
            run_id=grant.run_id,
            model=self.ask.admit.model,
            version=grant.version,
            adapter=grant.adapter or None,
            prompt=self.ask.prompt,
            prior=prior,
            max_tokens=self.ask.admit.max_tokens,
            priority=grant.priority,
            organisation=grant.salt,
        )

    def end_unsent(
        self, grant: messages.Granted, result: messages.RunResult
    ) -> None:
        """Report that the endpoint did not start the run."""
        attempts.check_told(self.ask.admit, self.end(grant, result))

    def end(
        self,
        grant: messages.Granted,
        result: messages.RunResult,
        tokens: typing.Sequence[str] = (),
    ) -> typing.Any:
        """Report a run's end to the agent and return its reply."""
        body = " ".join(tokens).encode() if grant.attempt else b""
        return self.agent.report(
            messages.RunEnded(
                run_id=grant.run_id,
                attempt=grant.attempt,
                endpoint=grant.endpoint,
                result=result,
                tokens=len(tokens),
                body=body,
                organisation=grant.organisation,
                key=self.ask.admit.key,
            )
        )


def check_run(got: str, expected: str) -> None:
    """Refuse a piece of another run.

    An answer is matched by its run id, not by the connection it came on:
    a confused endpoint or proxy that sends another run's pieces would
    otherwise hand one caller another's answer.
    """
    if got != expected:
        raise engine.LostError("the stream is another run's")


def prepend(
    first: engine.Piece, rest: typing.Iterator[engine.Piece]
) -> typing.Iterator[engine.Piece]:
    """Yield ``first`` and then the rest."""
    yield first
    yield from rest


def begin_event(run: Run) -> bytes:
    """Return the event that names the answer id and what was reused."""
    return sse.render(
        sse.Event(
            "answer",
            render_json(
                {
                    "answer_id": run.grant.answer_id,
                    "reused_tokens": run.reused_tokens,
                }
            ),
        )
    )


def answer_id_event(answer_id: str) -> bytes:
    """Return the event that names the answer id."""
    return sse.render(
        sse.Event("answer", render_json({"answer_id": answer_id}))
    )


def token_event(piece: engine.Token) -> bytes:
    """Return the event of one token."""
    return sse.render(
        sse.Event(
            "token", render_json({"token": piece.token}), str(piece.offset)
        )
    )


def done_event(piece: engine.Done) -> bytes:
    """Return the last event of a whole answer."""
    return sse.render(sse.Event("done", render_json({"tokens": piece.tokens})))


def error_event(given: verdict.Verdict) -> bytes:
    """Return the last event of an answer that cannot be finished."""
    return sse.render(
        sse.Event(
            "error",
            render_json(
                {
                    "reason": given.reason.value,
                    "detail": given.detail,
                    "ran": verdict.ran_word(given),
                    "retry_after_s": given.retry_after_s,
                }
            ),
        )
    )


def render_json(value: typing.Any) -> str:
    """Return compact JSON on one line."""
    return msgspec.json.encode(value).decode()


def replayed_events(
    replayed: messages.Replayed,
) -> typing.Iterator[bytes]:
    """Yield the events of an answer whose text was kept.

    Raises
    ------
    verdict.RefusalError
        When only a part of it was kept.
    """
    if not replayed.whole:
        raise verdict.RefusalError(
            verdict.Ran(
                verdict.Reason.ANSWER_GONE,
                "the prompt ran; its answer was too long to be kept",
            )
        )
    tokens = replayed.body.decode().split()
    yield answer_id_event(replayed.answer_id)
    for offset, token in enumerate(tokens):
        yield token_event(engine.Token("", offset, token))
    yield done_event(engine.Done("", len(tokens)))
