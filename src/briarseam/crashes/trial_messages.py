"""Messages between instances about trials of suspects."""

from __future__ import annotations

import enum

import msgspec

from briarseam.wire import codec


class TrialEnd(enum.StrEnum):
    """How a trial has ended."""

    ANSWERED = "answered"
    # The endpoint that got the request was lost.
    LOST = "lost"
    # No endpoint got the request.
    UNUSED = "unused"


class TrialState(enum.IntEnum):
    """What is known of a trial; of two instances the higher one holds."""

    OPEN = 0
    # Its end was not told in time: the endpoint may have rejected it, or the
    # caller has left.
    UNKNOWN = 1
    LOST = 2
    UNUSED = 3


class TrialRow(msgspec.Struct, array_like=True, frozen=True):
    """A trial, as instances tell each other.

    Attributes
    ----------
    id
        Unique.
    keys
        Keys of all suspects that the request tries.
    state
        What is known of it.
    """

    id: bytes
    keys: tuple[bytes, ...]
    state: TrialState


class SuspectAsked(msgspec.Struct, array_like=True, frozen=True):
    """A suspect for which a trial is asked.

    Attributes
    ----------
    key
        Its key.
    lost_ms
        Time since its last loss, in milliseconds.
    answered
        Whether it was answered lately, before its losses.
    """

    key: bytes
    lost_ms: int
    answered: bool = False


@codec.message("suspect-trial-asked")
class TrialAsked(msgspec.Struct, frozen=True):
    """Asks whether a request may be sent.

    Attributes
    ----------
    suspects
        All its suspects.
    trials
        Trials with any of them that the sender knows of.
    """

    suspects: tuple[SuspectAsked, ...]
    trials: tuple[TrialRow, ...]


@codec.message("suspect-trial-told")
class TrialTold(msgspec.Struct, frozen=True):
    """Tells whether a trial may begin.

    Attributes
    ----------
    granted
        Whether it may.
    wait_ms
        When to ask again otherwise.
    answered
        Suspects that were answered since their last loss.
    trials
        Trials with any of the others; the one that is granted comes last.
    """

    granted: bool
    wait_ms: int
    answered: tuple[bytes, ...]
    trials: tuple[TrialRow, ...]


@codec.message("suspect-trial-ended")
class TrialEnded(msgspec.Struct, frozen=True):
    """Tells how a trial has ended.

    Attributes
    ----------
    id
        The trial.
    keys
        Keys of the suspects that it tells of.
    end
        How.
    """

    id: bytes
    keys: tuple[bytes, ...]
    end: TrialEnd


@codec.message("suspect-trial-ended-noted")
class TrialEndNoted(msgspec.Struct, frozen=True):
    """Acknowledges :class:`TrialEnded`."""
