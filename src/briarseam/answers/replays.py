"""Replays of the stored answers of requests that ran before."""

from __future__ import annotations

import typing

from briarseam import verdict

if typing.TYPE_CHECKING:
    from briarseam.admission import messages


def complete_body(replayed: messages.Replayed, what: str) -> bytes:
    """Return the body of a stored answer.

    Parameters
    ----------
    replayed
        The stored answer.
    what
        The kind of request, for the message to the caller.

    Raises
    ------
    verdict.RefusalError
        If only a part of the body is stored.
    """
    if replayed.whole:
        return replayed.body
    raise verdict.RefusalError(
        verdict.Ran(
            verdict.Reason.ANSWER_GONE,
            f"the {what} ran; its answer was too long to be stored",
        )
    )
