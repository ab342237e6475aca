"""Outcome of an attempt at one endpoint."""

from __future__ import annotations

import dataclasses

from briarseam.forwarding import calls


@dataclasses.dataclass(frozen=True)
class Answered:
    """The endpoint's complete answer was sent to the caller.

    Attributes
    ----------
    status
        HTTP status.
    """

    status: int


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The endpoint guarantees that it did not run the request.

    Attributes
    ----------
    status
        HTTP status.
    retry_after_s
        When it is worth to try again, in seconds; ``None`` if not said.
    """

    status: int
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True)
class Unreached:
    """Nothing was sent, since the connection failed.

    Attributes
    ----------
    detail
        One sentence.
    """

    detail: str


@dataclasses.dataclass(frozen=True)
class Withheld:
    """Nothing was sent, since the request must be placed anew.

    Attributes
    ----------
    detail
        One sentence.
    """

    detail: str


@dataclasses.dataclass(frozen=True)
class Failed:
    """The endpoint ran the request and answered with a failure.

    Attributes
    ----------
    head, body
        The endpoint's answer; the body in pieces.
    """

    head: calls.AnswerHead
    body: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True)
class Broken:
    """The endpoint may have run the request; its answer is incomplete.

    Attributes
    ----------
    detail
        One sentence.
    given_up
        Whether this instance ended the answer, since it exceeded a limit.
        The endpoint has not broken it off.
    """

    detail: str
    given_up: bool = False


Outcome = Answered | Rejected | Unreached | Withheld | Failed | Broken


def name_of(outcome: Outcome | None) -> str:
    """Return the name of an outcome, for logs and metrics."""
    return type(outcome).__name__.lower() if outcome else "ended"
