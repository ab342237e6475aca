"""Which parts of prompts are suspected of crashing endpoints."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    import collections.abc

# A part that was lost at this many endpoints, and not answered since, is
# suspected of crashing them.
LOST_ENDPOINTS_LIMIT = 3
# The same for a part that was answered before: it is more likely to have been
# under way when something else ended the endpoints.
ANSWERED_ENDPOINTS_LIMIT = 2 * LOST_ENDPOINTS_LIMIT


@dataclasses.dataclass
class Suspicion:
    """Why parts are suspected.

    Attributes
    ----------
    endpoints
        Endpoints at which each suspected part was lost, by its key.
    explained
        Endpoints whose loss suspected parts explain that were never answered;
        it speaks against no other part or request.
    """

    endpoints: dict[bytes, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )
    explained: frozenset[str] = frozenset()


def find_suspects(
    lost: collections.abc.Mapping[bytes, frozenset[str]],
    is_answered: typing.Callable[[bytes], bool],
) -> Suspicion:
    """Return the suspects, those lost at the most endpoints first.

    The loss of an endpoint speaks against a part only if no other one
    explains it that was lost at more endpoints and was not answered.

    Parameters
    ----------
    lost
        Endpoints at which each part was lost since its last answer, by key.
    is_answered
        Returns whether a part was answered lately.
    """
    ranked = sorted(
        (part for part in lost if len(lost[part]) >= LOST_ENDPOINTS_LIMIT),
        key=lambda part: (is_answered(part), -len(lost[part])),
    )
    suspected: dict[bytes, frozenset[str]] = {}
    causes: list[frozenset[str]] = []
    for part in ranked:
        answered = is_answered(part)
        likelier = (
            endpoints
            for endpoints in causes
            if answered or len(endpoints) > len(lost[part])
        )
        unexplained = lost[part].difference(*likelier)
        limit = ANSWERED_ENDPOINTS_LIMIT if answered else LOST_ENDPOINTS_LIMIT
        if len(unexplained) < limit:
            continue
        suspected[part] = lost[part]
        if not answered:
            causes.append(lost[part])
    return Suspicion(suspected, frozenset().union(*causes))
