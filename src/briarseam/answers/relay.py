"""Relay of one answer, from grant to ``done``: the entry's side of a run.

If an idempotent request loses its endpoint before the first token, the relay
requests another grant from the agent.  After the first token it resumes the
engine's stream.  If the endpoint is gone, it continues at another one from
the prompt plus the tokens already sent, under the same weight version only.
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

# Consecutive resumes of one engine's stream without a new token.
MAX_RESUMES = 2
MS = 1000.0
# Share of the time until the deadline that one endpoint may use before its
# first token; the rest is reserved for another endpoint if it is lost.
FIRST_TOKEN_SHARE = 0.5


class Agent(typing.Protocol):
    """Link to the agent, as far as the relay needs it."""

    def admit(
        self, request: messages.Admit
    ) -> messages.Granted | messages.Replayed:
        """Return a grant or a replay; raise ``verdict.RefusalError``."""

    def report(self, message: typing.Any) -> typing.Any:
        """Send a report on a run to the agent; return its reply."""


class RunKeeper(typing.Protocol):
    """Takes over runs whose callers have disconnected."""

    def keep(self, relay: Relay, run: runs.Run) -> None:
        """Take over a run."""


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
        Takes over the run when the caller disconnects.
    """

    def __init__(
        self,
        request: runs.PromptRequest,
        agent: Agent,
        engines: engine.EngineClient,
        run_keeper: RunKeeper,
    ) -> None:
        self.request = dataclasses.replace(
            request, admit=attempts.with_attempt(request.admit)
        )
        self.agent = agent
        self.engines = engines
        self.run_keeper = run_keeper
        self.lost_endpoints: tuple[str, ...] = ()
        self.refused_endpoints: tuple[str, ...] = ()
        self.reloaded_endpoints: tuple[str, ...] = ()
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
                reply = self.agent.admit(self.next_admit())
            except verdict.RefusalError as error:
                final_verdict = runs.verdict_of_all_tries(
                    error.given, self.may_have_run, bool(self.request.prior)
                )
                raise verdict.RefusalError(final_verdict) from error
            if isinstance(reply, messages.Replayed):
                return reply
            run = self.try_grant(reply)
            if run is not None:
                return run

    def next_admit(self) -> messages.Admit:
        """Return the message to the agent with the remaining time."""
        if not self.lost_endpoints:
            return self.request.admit
        remaining_ms = max(int(self.remaining_s() * MS), 1)
        return dataclasses.replace(
            self.request.admit,
            lost=self.lost_endpoints,
            refused=self.refused_endpoints,
            reloaded=self.reloaded_endpoints,
            deadline_ms=remaining_ms,
        )

    def remaining_s(self) -> float:
        """Return the seconds until the caller's deadline."""
        elapsed_s = time.monotonic() - self.request.accepted_at
        return self.request.admit.deadline_ms / MS - elapsed_s

    def try_grant(self, grant: messages.Granted) -> runs.Run | None:
        """Start a granted run; ``None`` if another grant may be requested."""
        try:
            run = self.start(grant, list(self.request.prior))
            self.await_first_token(run)
        except engine.NotSentError:
            self.report_unsent(grant, messages.RunResult.NOT_SENT)
            self.lost_endpoints += (grant.endpoint,)
            return None
        except engine.RefusedError as error:
            self.report_unsent(grant, messages.RunResult.REFUSED)
            self.lost_endpoints += (grant.endpoint,)
            self.refused_endpoints += (grant.endpoint,)
            if error.has_other_weights:
                self.reloaded_endpoints += (grant.endpoint,)
            return None
        except engine.LostError as error:
            self.report_end(grant, messages.RunResult.LOST_BEFORE_FIRST)
            self.lost_endpoints += (grant.endpoint,)
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
        """Start a granted run after the tokens that were already sent."""
        stream = self.engines.start(
            grant.address,
            self.run_request(grant, tuple(tokens)),
            self.remaining_s() * FIRST_TOKEN_SHARE,
        )
        sequencer = ordering.Sequencer(
            grant.run_id, grant.version, len(tokens)
        )
        return runs.Run(grant, stream, iter(stream), tokens, sequencer)

    def await_first_token(self, run: runs.Run) -> None:
        """Wait for the first token or the end of an empty answer."""
        try:
            started = run.sequencer.read_start(run.pieces)
            run.reused_tokens = started.cached_tokens
            first = run.next_piece()
        except engine.LostError:
            run.stream.close()
            raise
        run.sequencer.offset -= isinstance(first, engine.Token)
        run.pieces = runs.prepend(first, run.pieces)
        run.stream.limit_silence()
        self.report_started(run)

    def report_started(self, run: runs.Run) -> None:
        """Report to the agent that a run returned its first token."""
        run.start_reported = True
        elapsed_s = time.monotonic() - self.request.accepted_at
        self.agent.report(
            messages.RunStarted(
                run_id=run.grant.run_id,
                cached_tokens=run.reused_tokens,
                first_token_ms=elapsed_s * MS,
            )
        )

    def events(self, run: runs.Run) -> typing.Iterator[bytes]:
        """Yield the caller's events of a run that has started.

        Closing the iterator early means that the caller disconnected.
        """
        try:
            yield from self.relay(run)
        finally:
            if run.ended:
                run.stream.close()
            else:
                self.run_keeper.keep(self, run)

    def relay(self, run: runs.Run) -> typing.Iterator[bytes]:
        """Yield events; resume or continue a stream that breaks."""
        yield runs.begin_event(run)
        while True:
            try:
                piece = run.next_piece()
            except engine.LostError:
                final_verdict = self.recover(run)
                if final_verdict is not None:
                    yield events.error_event(final_verdict)
                    return
                yield runs.begin_event(run)
                continue
            match piece:
                case engine.Token():
                    run.tokens.append(piece.token)
                    if not run.start_reported:
                        self.report_started(run)
                    yield events.token_event(piece)
                case engine.Done():
                    self.finish(run)
                    yield events.done_event(piece)
                    return

    def finish(self, run: runs.Run) -> None:
        """Report that the answer is complete."""
        run.ended = True
        self.report_end(run.grant, messages.RunResult.DONE, run.tokens)

    def recover(self, run: runs.Run) -> verdict.Verdict | None:
        """Resume or continue the run; return the verdict if both fail."""
        run.stream.close()
        if run.resumes < MAX_RESUMES and self.resume(run):
            return None
        run.ended = True
        self.report_end(
            run.grant, messages.RunResult.LOST_AFTER_FIRST, run.tokens
        )
        if not self.request.admit.idempotent:
            return verdict.MayHaveRun(
                verdict.Reason.ENDPOINT_LOST,
                "the endpoint was lost and the answer cannot be continued",
            )
        self.lost_endpoints += (run.grant.endpoint,)
        return self.continue_elsewhere(run)

    def resume(self, run: runs.Run) -> bool:
        """Resume the engine's stream where it broke off."""
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
        """Continue at another endpoint; return the verdict on failure."""
        while True:
            request = dataclasses.replace(
                self.request.admit,
                lost=self.lost_endpoints,
                refused=self.refused_endpoints,
                continues=run.grant.answer_id,
                passed_on=len(run.tokens),
            )
            try:
                grant = self.agent.admit(request)
            except verdict.RefusalError as error:
                return runs.verdict_after_start(error.given)
            if not isinstance(grant, messages.Granted):
                return runs.verdict_after_start(
                    runs.unexpected_replay_verdict()
                )
            if self.switch_to_grant(run, grant):
                return None
            self.lost_endpoints += (grant.endpoint,)

    def switch_to_grant(self, run: runs.Run, grant: messages.Granted) -> bool:
        """Continue a run with a new grant; return whether it started."""
        try:
            new_run = self.start(grant, run.tokens)
        except engine.NotSentError:
            self.report_end(grant, messages.RunResult.NOT_SENT)
            return False
        except engine.RefusedError:
            self.report_end(grant, messages.RunResult.REFUSED)
            self.refused_endpoints += (grant.endpoint,)
            return False
        except engine.LostError:
            self.report_end(grant, messages.RunResult.LOST_BEFORE_FIRST)
            return False
        run.grant = grant
        run.stream = new_run.stream
        run.pieces = new_run.pieces
        run.sequencer = new_run.sequencer
        run.resumes = 0
        run.start_reported = False
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

    def report_unsent(
        self, grant: messages.Granted, result: messages.RunResult
    ) -> None:
        """Report that the endpoint did not start the run."""
        attempts.require_recorded(
            self.request.admit, self.report_end(grant, result)
        )

    def report_end(
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
