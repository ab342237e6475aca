"""The caller's request and its granted run, as a relay uses them."""

from __future__ import annotations

import dataclasses
import typing

from briarseam import verdict
from briarseam.answers import events
from briarseam.endpoints import engine

if typing.TYPE_CHECKING:
    from briarseam.admission import messages
    from briarseam.answers import ordering

RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True)
class PromptRequest:
    """A caller's prompt, as the relay needs it.

    Attributes
    ----------
    admit
        The message to the agent that admits the prompt.
    prompt
        Text of the prompt.
    accepted_at
        Monotonic time of the caller's request, in seconds.
    prior
        Tokens that the caller has of an answer to be continued.
    """

    admit: messages.Admit
    prompt: str
    accepted_at: float
    prior: tuple[str, ...] = ()


@dataclasses.dataclass
class Run:
    """A granted run and the progress of its answer."""

    grant: messages.Granted
    stream: engine.Stream
    pieces: typing.Iterator[engine.Piece]
    tokens: list[str]
    sequencer: ordering.Sequencer
    reused_tokens: int = 0
    resumes: int = 0
    start_reported: bool = False
    ended: bool = False

    def next_piece(self) -> engine.Token | engine.Done:
        """Return the next piece; a token resets the count of resumes."""
        piece = self.sequencer.next(self.pieces)
        if isinstance(piece, engine.Token):
            self.resumes = 0
        return piece


def prepend(
    first: engine.Piece, rest: typing.Iterator[engine.Piece]
) -> typing.Iterator[engine.Piece]:
    """Yield ``first``, then the rest."""
    yield first
    yield from rest


def verdict_after_start(agent_verdict: verdict.Verdict) -> verdict.Verdict:
    """Return the verdict for a refused continuation of an answer."""
    retry_after_s = agent_verdict.retry_after_s
    if agent_verdict.reason is not verdict.Reason.VERSION_GONE:
        retry_after_s = retry_after_s or RETRY_AFTER_S
    return verdict.Ran(
        agent_verdict.reason, agent_verdict.detail, retry_after_s
    )


def unexpected_replay_verdict() -> verdict.Verdict:
    """Return the verdict if a continuation is answered by a replay."""
    return verdict.Ran(
        verdict.Reason.OUTCOME_UNKNOWN, "the answer cannot be continued"
    )


def begin_event(run: Run) -> bytes:
    """Return the event with the answer id."""
    return events.begin_event(run.grant.answer_id, run.reused_tokens)


def verdict_of_all_tries(
    agent_verdict: verdict.Verdict, may_have_run: bool, has_run: bool = False
) -> verdict.Verdict:
    """Return a verdict that holds for all tries of a request together.

    The agent's verdict covers only its last decision.  If an earlier
    endpoint was lost with the request, or the caller has a part of the
    answer, "not run" would be wrong.

    Parameters
    ----------
    agent_verdict
        The agent's verdict.
    may_have_run
        Whether an endpoint was lost after the request was sent.
    has_run
        Whether the caller has a part of the answer.
    """
    if not isinstance(agent_verdict, verdict.NotRun):
        return agent_verdict
    kind: type[verdict.NotRun | verdict.Ran | verdict.MayHaveRun]
    kind = verdict.NotRun
    if has_run:
        kind = verdict.Ran
    elif may_have_run:
        kind = verdict.MayHaveRun
    return kind(
        agent_verdict.reason, agent_verdict.detail, agent_verdict.retry_after_s
    )
