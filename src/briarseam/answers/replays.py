"""Answers that were kept when their request ran before."""

from __future__ import annotations

import typing

from briarseam import verdict

if typing.TYPE_CHECKING:
    from briarseam.admission import messages


def whole_body(replayed: messages.Replayed, what: str) -> bytes:
    """Return the body of a kept answer.

    Parameters
    ----------
    replayed
        The answer.
    what
        What ran, as a caller would call it.

    Raises
    ------
    verdict.RefusalError
        When only a part of it was kept.
    """
    if replayed.whole:
        return replayed.body
    raise verdict.RefusalError(
        verdict.Ran(
            verdict.Reason.ANSWER_GONE,
            f"the {what} ran; its answer was too long to be kept",
        )
    )
