"""What a relay works on: the caller's request and its granted run."""

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


@dataclasses.dataclass
class Run:
    """A granted run and how far its answer has got."""

    grant: messages.Granted
    stream: engine.Stream
    pieces: typing.Iterator[engine.Piece]
    tokens: list[str]
    sequencer: ordering.Sequencer
    reused_tokens: int = 0
    resumes: int = 0
    told: bool = False
    ended: bool = False

    def next_piece(self) -> engine.Token | engine.Done:
        """Return the next piece; a token counts as had from now on."""
        piece = self.sequencer.next(self.pieces)
        if isinstance(piece, engine.Token):
            self.resumes = 0
        return piece


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


def true_of_tries(
    given: verdict.Verdict, may_have_run: bool, has_run: bool = False
) -> verdict.Verdict:
    """Return a refusal that is true of all tries of a request together.

    The agent answers for its own grant only.  Told "not run" after an
    earlier endpoint was lost with the request, or after a part of the
    answer was had, a caller would believe that nothing had happened.

    Parameters
    ----------
    given
        The agent's word.
    may_have_run
        Whether an endpoint was lost after the request was sent.
    has_run
        Whether the caller has a part of the answer.
    """
    if not isinstance(given, verdict.NotRun):
        return given
    kind: type[verdict.NotRun | verdict.Ran | verdict.MayHaveRun]
    kind = verdict.NotRun
    if has_run:
        kind = verdict.Ran
    elif may_have_run:
        kind = verdict.MayHaveRun
    return kind(given.reason, given.detail, given.retry_after_s)
