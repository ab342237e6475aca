"""Messages between instances about trials of suspected parts."""

from __future__ import annotations

import enum

import msgspec

from briarseam.wire import codec


class TrialEnd(enum.StrEnum):
    """How a trial has ended."""

    ANSWERED = "answered"
    # The endpoint that got the prompt was lost.
    LOST = "lost"
    # No endpoint got the prompt.
    UNUSED = "unused"


class LostTrials(msgspec.Struct, array_like=True, frozen=True):
    """Trials of prompts with the same suspected parts that were lost.

    Attributes
    ----------
    parts
        Keys of the parts.
    count
        Number of the trials.
    """

    parts: tuple[bytes, ...]
    count: int


class PartAsked(msgspec.Struct, array_like=True, frozen=True):
    """A part for which a trial is asked.

    Attributes
    ----------
    part
        Key of the part.
    lost_ms
        Time since its last loss, in milliseconds.
    """

    part: bytes
    lost_ms: int


@codec.message("part-trial-asked")
class TrialAsked(msgspec.Struct, frozen=True):
    """Asks whether a prompt may be sent.

    Attributes
    ----------
    parts
        All its suspected parts.
    lost_trials
        Lost trials with any of them that the sender knows of.
    """

    parts: tuple[PartAsked, ...]
    lost_trials: tuple[LostTrials, ...]


@codec.message("part-trial-told")
class TrialTold(msgspec.Struct, frozen=True):
    """Tells whether a trial may begin.

    Attributes
    ----------
    granted
        Whether it may.
    wait_ms
        When to ask again otherwise.
    answered
        Parts that were answered since their last loss.
    lost_trials
        Lost trials with any of the other parts.
    """

    granted: bool
    wait_ms: int
    answered: tuple[bytes, ...]
    lost_trials: tuple[LostTrials, ...]


@codec.message("part-trial-ended")
class TrialEnded(msgspec.Struct, frozen=True):
    """Tells how a trial has ended.

    Attributes
    ----------
    parts
        Keys of the parts.
    end
        How.
    """

    parts: tuple[bytes, ...]
    end: TrialEnd


@codec.message("part-trial-ended-noted")
class TrialEndNoted(msgspec.Struct, frozen=True):
    """Acknowledges :class:`TrialEnded`."""
