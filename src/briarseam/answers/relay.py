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

from briarseam import verdict
from briarseam.admission import messages
from briarseam.answers import attempts
from briarseam.answers import events
from briarseam.answers import ordering
from briarseam.endpoints import engine

# Resumes of one engine's stream without a new token between them.
MAX_RESUMES = 2
MS = 1000.0
RETRY_AFTER_S = 1.0
# The part of the time left to the deadline that one endpoint may use before
# its first token; the rest is for another, should it have been lost.
FIRST_TOKEN_PART = 0.5


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
    prior
        Tokens that the caller has of an answer it wants continued.
    """

    admit: messages.Admit
    prompt: str
    accepted_at: float
    prior: tuple[str, ...] = ()


class Agent(typing.Protocol):
    """What the relay needs from the link to the agent."""

    def admit(
        self, request: messages.Admit
    ) -> messages.Granted | messages.Replayed:
        """Return a grant or a replay; raise ``verdict.RefusalError``."""

    def report(self, message: typing.Any) -> typing.Any:
        """Tell the agent how a run went."""


class Keeping(typing.Protocol):
    """What happens to a run whose caller is gone."""

    def keep(self, relay: Relay, run: Run) -> None:
        """Take the run over."""


@dataclasses.dataclass
class Run:
    """A granted run and how far its answer has got."""

    grant: messages.Granted
    stream: engine.Stream
    pieces: typing.Iterator[engine.Piece]
    tokens: list[str]
    order: ordering.Ordered
    reused_tokens: int = 0
    resumes: int = 0
    ended: bool = False

    def next_piece(self) -> engine.Token | engine.Done:
        """Return the next piece; a token counts as had from now on."""
        piece = self.order.next(self.pieces)
        if isinstance(piece, engine.Token):
            self.resumes = 0
        return piece


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
    keeping
        Takes over the run when the caller is gone.
    """

    def __init__(
        self,
        ask: Ask,
        agent: Agent,
        engines: engine.EngineClient,
        keeping: Keeping,
    ) -> None:
        self.ask = dataclasses.replace(ask, admit=attempts.named(ask.admit))
        self.agent = agent
        self.engines = engines
        self.keeping = keeping
        self.lost: tuple[str, ...] = ()
        self.may_have_run = False

    def open(self) -> Run | messages.Replayed:
        """Return a run whose first piece has arrived, or a replay.

        Raises
        ------
        verdict.RefusalError
            With the final verdict.
        """
        while True:
            try:
                reply = self.agent.admit(self.next_ask())
            except verdict.RefusalError as error:
                raise verdict.RefusalError(self.true(error.given)) from error
            if isinstance(reply, messages.Replayed):
                return reply
            run = self.try_grant(reply)
            if run is not None:
                return run

    def next_ask(self) -> messages.Admit:
        """Return the message to the agent, with the time that is left."""
        if not self.lost:
            return self.ask.admit
        left_ms = max(int(self.left_s() * MS), 1)
        return dataclasses.replace(
            self.ask.admit, lost=self.lost, deadline_ms=left_ms
        )

    def left_s(self) -> float:
        """Return the seconds left to the caller's deadline."""
        elapsed_s = time.monotonic() - self.ask.accepted_at
        return self.ask.admit.deadline_ms / MS - elapsed_s

    def true(self, given: verdict.Verdict) -> verdict.Verdict:
        """Return a refusal that is true of all tries together.

        The agent answers for its own grant only.  Told "not run" after an
        earlier endpoint was lost with the prompt, or after a part of the
        answer was had, a caller would believe that nothing was computed.
        """
        if not isinstance(given, verdict.NotRun):
            return given
        kind: type[verdict.Ran | verdict.MayHaveRun]
        if self.ask.prior:
            kind = verdict.Ran
        elif self.may_have_run:
            kind = verdict.MayHaveRun
        else:
            return given
        return kind(given.reason, given.detail, given.retry_after_s)

    def try_grant(self, grant: messages.Granted) -> Run | None:
        """Start a granted run; ``None`` when another may be asked for."""
        try:
            run = self.start(grant, list(self.ask.prior))
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
            self.may_have_run = True
            if not self.ask.admit.idempotent:
                raise verdict.RefusalError(
                    verdict.MayHaveRun(
                        verdict.Reason.ENDPOINT_LOST,
                        "the endpoint was lost; the prompt may have run",
                    )
                ) from error
            return None
        return run

    def start(self, grant: messages.Granted, tokens: list[str]) -> Run:
        """Start a granted run after the tokens that were passed on."""
        stream = self.engines.start(
            grant.address,
            self.run_request(grant, tuple(tokens)),
            self.left_s() * FIRST_TOKEN_PART,
        )
        order = ordering.Ordered(grant.run_id, grant.version, len(tokens))
        return Run(grant, stream, iter(stream), tokens, order)

    def await_first(self, run: Run) -> None:
        """Wait for the first token, or an empty answer's end."""
        try:
            started = run.order.started(run.pieces)
            run.reused_tokens = started.cached_tokens
            first = run.next_piece()
        except engine.LostError:
            run.stream.close()
            raise
        run.order.offset -= isinstance(first, engine.Token)
        run.pieces = prepend(first, run.pieces)
        run.stream.begun()
        elapsed_s = time.monotonic() - self.ask.accepted_at
        self.agent.report(
            messages.RunStarted(
                run_id=run.grant.run_id,
                cached_tokens=started.cached_tokens,
                first_token_ms=elapsed_s * MS,
            )
        )

    def events(self, run: Run) -> typing.Iterator[bytes]:
        """Yield the caller's event stream of a run that has begun.

        Closing the iterator early means that the caller is gone.
        """
        try:
            yield from self.relay(run)
        finally:
            if run.ended:
                run.stream.close()
            else:
                self.keeping.keep(self, run)

    def relay(self, run: Run) -> typing.Iterator[bytes]:
        """Yield events; mend the stream where that can be done."""
        yield begin_event(run)
        while True:
            try:
                piece = run.next_piece()
            except engine.LostError:
                given = self.mend(run)
                if given is not None:
                    yield events.error_event(given)
                    return
                yield begin_event(run)
                continue
            match piece:
                case engine.Token():
                    run.tokens.append(piece.token)
                    yield events.token_event(piece)
                case engine.Done():
                    self.finish(run)
                    yield events.done_event(piece)
                    return

    def finish(self, run: Run) -> None:
        """Report that the answer is whole."""
        run.ended = True
        self.end(run.grant, messages.RunResult.DONE, run.tokens)

    def mend(self, run: Run) -> verdict.Verdict | None:
        """Resume the run, else continue it; return why neither went."""
        run.stream.close()
        if run.resumes < MAX_RESUMES and self.resume(run):
            return None
        run.ended = True
        self.end(run.grant, messages.RunResult.LOST_AFTER_FIRST, run.tokens)
        if not self.ask.admit.idempotent:
            return verdict.MayHaveRun(
                verdict.Reason.ENDPOINT_LOST,
                "the endpoint was lost and the answer cannot be continued",
            )
        self.lost += (run.grant.endpoint,)
        return self.continue_elsewhere(run)

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

    def continue_elsewhere(self, run: Run) -> verdict.Verdict | None:
        """Run the rest at another endpoint; return why that cannot be."""
        while True:
            request = dataclasses.replace(
                self.ask.admit,
                lost=self.lost,
                continues=run.grant.answer_id,
                passed_on=len(run.tokens),
            )
            try:
                grant = self.agent.admit(request)
            except verdict.RefusalError as error:
                return began(error.given)
            if not isinstance(grant, messages.Granted):
                return began(unexpected_replay())
            if self.adopt(run, grant):
                return None
            self.lost += (grant.endpoint,)

    def adopt(self, run: Run, grant: messages.Granted) -> bool:
        """Let a run go on under a new grant; tell whether it started."""
        try:
            fresh = self.start(grant, run.tokens)
        except engine.NotSentError:
            self.end(grant, messages.RunResult.NOT_SENT)
            return False
        except engine.RefusedError:
            self.end(grant, messages.RunResult.REFUSED)
            return False
        except engine.LostError:
            self.end(grant, messages.RunResult.LOST_BEFORE_FIRST)
            return False
        run.grant = grant
        run.stream = fresh.stream
        run.pieces = fresh.pieces
        run.order = fresh.order
        run.resumes = 0
        run.ended = False
        return True

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
                answer_id=grant.answer_id,
            )
        )


def prepend(
    first: engine.Piece, rest: typing.Iterator[engine.Piece]
) -> typing.Iterator[engine.Piece]:
    """Yield ``first`` and then the rest."""
    yield first
    yield from rest


def began(given: verdict.Verdict) -> verdict.Verdict:
    """Return a refusal to continue, for an answer that had begun."""
    retry_after_s = given.retry_after_s
    if given.reason is not verdict.Reason.VERSION_GONE:
        retry_after_s = retry_after_s or RETRY_AFTER_S
    return verdict.Ran(given.reason, given.detail, retry_after_s)


def unexpected_replay() -> verdict.Verdict:
    """Return the verdict when a continuation is answered by a replay."""
    return verdict.Ran(
        verdict.Reason.OUTCOME_UNKNOWN, "the answer cannot be continued"
    )


def begin_event(run: Run) -> bytes:
    """Return the event that names the answer id."""
    return events.begin_event(run.grant.answer_id, run.reused_tokens)
