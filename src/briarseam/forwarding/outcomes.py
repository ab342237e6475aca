"""What became of a request at one endpoint."""

from __future__ import annotations

import dataclasses

from briarseam.forwarding import calls


@dataclasses.dataclass(frozen=True)
class Answered:
    """The caller has the endpoint's whole answer.

    Attributes
    ----------
    status
        HTTP status.
    """

    status: int


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The endpoint promises that it has not run the request.

    Attributes
    ----------
    status
        HTTP status.
    retry_after_s
        When to come back, as the endpoint says.
    """

    status: int
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True)
class Unreached:
    """Nothing was sent, since there was no connection.

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
        Its answer.
    """

    head: calls.AnswerHead
    body: bytes


@dataclasses.dataclass(frozen=True)
class Broken:
    """The endpoint may have run the request; its answer is not whole.

    Attributes
    ----------
    detail
        One sentence.
    """

    detail: str


Outcome = Answered | Rejected | Unreached | Failed | Broken
