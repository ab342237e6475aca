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
from briarseam.answers import runs
from briarseam.endpoints import engine

# Resumes of one engine's stream without a new token between them.
MAX_RESUMES = 2
MS = 1000.0
# The part of the time left to the deadline that one endpoint may use before
# its first token; the rest is for another, should it have been lost.
FIRST_TOKEN_PART = 0.5


class Agent(typing.Protocol):
    """What the relay needs from the link to the agent."""

    def admit(
        self, request: messages.Admit
    ) -> messages.Granted | messages.Replayed:
        """Return a grant or a replay; raise ``verdict.RefusalError``."""

    def report(self, message: typing.Any) -> typing.Any:
        """Tell the agent how a run went."""


class RunKeeper(typing.Protocol):
    """What happens to a run whose caller is gone."""

    def keep(self, relay: Relay, run: runs.Run) -> None:
        """Take the run over."""


class Relay:
    """Relays one answer.

    Parameters
    ----------
    request
        The caller's request.
    agent
        Link to the agent.
    engines
        Adapter to the engines.
    run_keeper
        Takes over the run when the caller is gone.
    """

    def __init__(
        self,
        request: runs.PromptRequest,
        agent: Agent,
        engines: engine.EngineClient,
        run_keeper: RunKeeper,
    ) -> None:
        self.request = dataclasses.replace(
            request, admit=attempts.named(request.admit)
        )
        self.agent = agent
        self.engines = engines
        self.run_keeper = run_keeper
        self.lost: tuple[str, ...] = ()
        self.refused: tuple[str, ...] = ()
        self.may_have_run = False

    def open(self) -> runs.Run | messages.Replayed:
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
                given = runs.true_of_tries(
                    error.given, self.may_have_run, bool(self.request.prior)
                )
                raise verdict.RefusalError(given) from error
            if isinstance(reply, messages.Replayed):
                return reply
            run = self.try_grant(reply)
            if run is not None:
                return run

    def next_ask(self) -> messages.Admit:
        """Return the message to the agent, with the time that is left."""
        if not self.lost:
            return self.request.admit
        left_ms = max(int(self.left_s() * MS), 1)
        return dataclasses.replace(
            self.request.admit,
            lost=self.lost,
            refused=self.refused,
            deadline_ms=left_ms,
        )

    def left_s(self) -> float:
        """Return the seconds left to the caller's deadline."""
        elapsed_s = time.monotonic() - self.request.accepted_at
        return self.request.admit.deadline_ms / MS - elapsed_s

    def try_grant(self, grant: messages.Granted) -> runs.Run | None:
        """Start a granted run; ``None`` when another may be asked for."""
        try:
            run = self.start(grant, list(self.request.prior))
            self.await_first(run)
        except engine.NotSentError:
            self.end_unsent(grant, messages.RunResult.NOT_SENT)
            self.lost += (grant.endpoint,)
            return None
        except engine.RefusedError:
            self.end_unsent(grant, messages.RunResult.REFUSED)
            self.lost += (grant.endpoint,)
            self.refused += (grant.endpoint,)
            return None
        except engine.LostError as error:
            self.end(grant, messages.RunResult.LOST_BEFORE_FIRST)
            self.lost += (grant.endpoint,)
            self.may_have_run = True
            if not self.request.admit.idempotent:
                raise verdict.RefusalError(
                    verdict.MayHaveRun(
                        verdict.Reason.ENDPOINT_LOST,
                        "the endpoint was lost; the prompt may have run",
                    )
                ) from error
            return None
        return run

    def start(self, grant: messages.Granted, tokens: list[str]) -> runs.Run:
        """Start a granted run after the tokens that were passed on."""
        stream = self.engines.start(
            grant.address,
            self.run_request(grant, tuple(tokens)),
            self.left_s() * FIRST_TOKEN_PART,
        )
        sequencer = ordering.Sequencer(
            grant.run_id, grant.version, len(tokens)
        )
        return runs.Run(grant, stream, iter(stream), tokens, sequencer)

    def await_first(self, run: runs.Run) -> None:
        """Wait for the first token, or an empty answer's end."""
        try:
            started = run.sequencer.read_start(run.pieces)
            run.reused_tokens = started.cached_tokens
            first = run.next_piece()
        except engine.LostError:
            run.stream.close()
            raise
        run.sequencer.offset -= isinstance(first, engine.Token)
        run.pieces = runs.prepend(first, run.pieces)
        run.stream.begun()
        self.report_started(run)

    def report_started(self, run: runs.Run) -> None:
        """Tell the agent that a run gave its first token."""
        run.told = True
        elapsed_s = time.monotonic() - self.request.accepted_at
        self.agent.report(
            messages.RunStarted(
                run_id=run.grant.run_id,
                cached_tokens=run.reused_tokens,
                first_token_ms=elapsed_s * MS,
            )
        )

    def events(self, run: runs.Run) -> typing.Iterator[bytes]:
        """Yield the caller's event stream of a run that has begun.

        Closing the iterator early means that the caller is gone.
        """
        try:
            yield from self.relay(run)
        finally:
            if run.ended:
                run.stream.close()
            else:
                self.run_keeper.keep(self, run)

    def relay(self, run: runs.Run) -> typing.Iterator[bytes]:
        """Yield events; mend the stream where that can be done."""
        yield runs.begin_event(run)
        while True:
            try:
                piece = run.next_piece()
            except engine.LostError:
                given = self.mend(run)
                if given is not None:
                    yield events.error_event(given)
                    return
                yield runs.begin_event(run)
                continue
            match piece:
                case engine.Token():
                    run.tokens.append(piece.token)
                    if not run.told:
                        self.report_started(run)
                    yield events.token_event(piece)
                case engine.Done():
                    self.finish(run)
                    yield events.done_event(piece)
                    return

    def finish(self, run: runs.Run) -> None:
        """Report that the answer is whole."""
        run.ended = True
        self.end(run.grant, messages.RunResult.DONE, run.tokens)

    def mend(self, run: runs.Run) -> verdict.Verdict | None:
        """Resume the run, else continue it; return why neither went."""
        run.stream.close()
        if run.resumes < MAX_RESUMES and self.resume(run):
            return None
        run.ended = True
        self.end(run.grant, messages.RunResult.LOST_AFTER_FIRST, run.tokens)
        if not self.request.admit.idempotent:
            return verdict.MayHaveRun(
                verdict.Reason.ENDPOINT_LOST,
                "the endpoint was lost and the answer cannot be continued",
            )
        self.lost += (run.grant.endpoint,)
        return self.continue_elsewhere(run)

    def resume(self, run: runs.Run) -> bool:
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

    def continue_elsewhere(self, run: runs.Run) -> verdict.Verdict | None:
        """Run the rest at another endpoint; return why that cannot be."""
        while True:
            request = dataclasses.replace(
                self.request.admit,
                lost=self.lost,
                refused=self.refused,
                continues=run.grant.answer_id,
                passed_on=len(run.tokens),
            )
            try:
                grant = self.agent.admit(request)
            except verdict.RefusalError as error:
                return runs.began(error.given)
            if not isinstance(grant, messages.Granted):
                return runs.began(runs.unexpected_replay())
            if self.adopt(run, grant):
                return None
            self.lost += (grant.endpoint,)

    def adopt(self, run: runs.Run, grant: messages.Granted) -> bool:
        """Let a run go on under a new grant; tell whether it started."""
        try:
            fresh = self.start(grant, run.tokens)
        except engine.NotSentError:
            self.end(grant, messages.RunResult.NOT_SENT)
            return False
        except engine.RefusedError:
            self.end(grant, messages.RunResult.REFUSED)
            self.refused += (grant.endpoint,)
            return False
        except engine.LostError:
            self.end(grant, messages.RunResult.LOST_BEFORE_FIRST)
            return False
        run.grant = grant
        run.stream = fresh.stream
        run.pieces = fresh.pieces
        run.sequencer = fresh.sequencer
        run.resumes = 0
        run.told = False
        run.ended = False
        return True

    def run_request(
        self, grant: messages.Granted, prior: tuple[str, ...]
    ) -> engine.RunRequest:
        """Return the engine's request for a grant."""
        return engine.RunRequest(
            run_id=grant.run_id,
            model=self.request.admit.model,
            version=grant.version,
            adapter=grant.adapter or None,
            prompt=self.request.prompt,
            prior=prior,
            max_tokens=self.request.admit.max_tokens,
            priority=grant.priority,
            organisation=grant.salt,
        )

    def end_unsent(
        self, grant: messages.Granted, result: messages.RunResult
    ) -> None:
        """Report that the endpoint did not start the run."""
        attempts.check_told(self.request.admit, self.end(grant, result))

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
                key=self.request.admit.key,
                answer_id=grant.answer_id,
            )
        )
