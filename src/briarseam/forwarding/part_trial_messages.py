"""Messages between instances about trials of suspected parts."""

from __future__ import annotations

import msgspec

from briarseam.wire import codec


class PartAsked(msgspec.Struct, array_like=True, frozen=True):
    """A part for which a trial is asked.

    Attributes
    ----------
    part
        Key of the part.
    trials
        Number of lost trials that the sender knows of.
    lost_ms
        Time since its last loss, in milliseconds.
    """

    part: bytes
    trials: int
    lost_ms: int


@codec.message("part-trial-asked")
class TrialAsked(msgspec.Struct, frozen=True):
    """Asks whether a prompt with suspected parts may be sent."""

    parts: tuple[PartAsked, ...]


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
    trials
        Number of lost trials by part.
    """

    granted: bool
    wait_ms: int
    answered: tuple[bytes, ...]
    trials: tuple[tuple[bytes, int], ...]


@codec.message("part-trial-ended")
class TrialEnded(msgspec.Struct, frozen=True):
    """Tells how a trial has ended that was not lost.

    Attributes
    ----------
    parts
        Keys of the parts.
    answered
        Whether an endpoint answered; otherwise none got the prompt.
    """

    parts: tuple[bytes, ...]
    answered: bool


@codec.message("part-trial-ended-noted")
class TrialEndNoted(msgspec.Struct, frozen=True):
    """Acknowledges :class:`TrialEnded`."""
