"""A request's entry in the queue, and how its wait ended."""

from __future__ import annotations

import dataclasses
import enum
import threading
import typing

from briarseam import verdict
from briarseam.placement import requests

if typing.TYPE_CHECKING:
    from briarseam.queueing import estimate as estimates
    from briarseam.queueing import waiters

Final = requests.Placement | requests.Unreachable | verdict.NotRun
Result = Final | requests.Unplaced
# Tries to place a request at any endpoint but the given ones, and counts its
# load there if it succeeds.
TryPlace = typing.Callable[[frozenset[str]], Result]


class Cause(enum.StrEnum):
    """Why a waiting request was refused.

    Attributes
    ----------
    TOO_LATE
        It can't be answered before its deadline.
    FULL
        The queue has reached its limits.
    """

    TOO_LATE = "too-late"
    FULL = "queue-full"


@dataclasses.dataclass(frozen=True)
class KeptFree:
    """What could take a request is kept free for one before it."""

    def __str__(self) -> str:
        """Return the grounds for the refusal, for the log."""
        return "kept-free"


@dataclasses.dataclass(frozen=True)
class NotTried:
    """A request was not tried, since one like it found no capacity."""

    def __str__(self) -> str:
        """Return the grounds for the refusal, for the log."""
        return "not-tried"


Obstacle = requests.Unplaced | KeptFree | NotTried


@dataclasses.dataclass(frozen=True)
class Refused:
    """A request was refused while it waited.

    Attributes
    ----------
    cause
        Why.
    estimate
        When it would have got its turn.
    retry_after_s
        When its caller may try again, in seconds.
    obstacle
        Why it had no capacity when it was tried last.
    """

    cause: Cause
    estimate: estimates.Estimate
    retry_after_s: float
    obstacle: Obstacle


@dataclasses.dataclass(frozen=True)
class Raised:
    """Placing a request raised an error.

    Attributes
    ----------
    error
        The error, which belongs to the thread of the request.
    """

    error: Exception


Outcome = Final | Refused | Raised


class Ticket:
    """A request's entry in the queue.

    Parameters
    ----------
    waiter
        The request.
    try_place
        Tries to place it; any thread may call this.

    Attributes
    ----------
    obstacle
        Why it had no capacity when it was tried last.
    outcome
        How its wait ended; ``None`` while it waits.
    ended
        Set once there is an outcome.
    """

    def __init__(self, waiter: waiters.Waiter, try_place: TryPlace) -> None:
        self.waiter = waiter
        self.try_place = try_place
        self.obstacle: Obstacle = NotTried()
        self.outcome: Outcome | None = None
        self.ended = threading.Event()

    def end(self, outcome: Outcome) -> None:
        """Set the outcome, and wake the request's thread."""
        self.outcome = outcome
        self.ended.set()
