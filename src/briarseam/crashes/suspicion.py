"""Which requests and parts of prompts may crash endpoints."""

from __future__ import annotations

import dataclasses
import typing

from briarseam.crashes import loss_keys

if typing.TYPE_CHECKING:
    import collections.abc

# What was lost at this many endpoints, and not answered since, is suspected
# of crashing them.
LOST_ENDPOINTS_LIMIT = 3
# The same for a part that was answered before: it is more likely to have been
# under way when something else ended the endpoints.
ANSWERED_ENDPOINTS_LIMIT = 2 * LOST_ENDPOINTS_LIMIT


@dataclasses.dataclass
class Suspicion:
    """Why requests and parts are suspected.

    Attributes
    ----------
    endpoints
        Endpoints at which each suspect was lost, by its key.
    causes
        The same of suspects that were not answered lately.
    """

    endpoints: dict[bytes, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )
    causes: dict[bytes, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )

    def is_explained(
        self, request: bytes, parts: collections.abc.Container[bytes]
    ) -> bool:
        """Return whether the cause of a request's losses is a foreign part.

        Crashes by prompts with that part took the request along.  Once it is
        lost at more endpoints than the part, it is rather the cause itself.

        Parameters
        ----------
        request
            Key of the request.
        parts
            Keys of the parts of its own prompt.
        """
        lost = self.endpoints.get(request, frozenset())
        foreign = (
            endpoints
            for key, endpoints in self.causes.items()
            if not loss_keys.is_request(key)
            and key not in parts
            and len(endpoints) >= len(lost)
        )
        return len(lost.difference(*foreign)) < LOST_ENDPOINTS_LIMIT


def find_suspects(
    lost: collections.abc.Mapping[bytes, frozenset[str]],
    is_answered: typing.Callable[[bytes], bool],
) -> Suspicion:
    """Return the suspects, those lost at the most endpoints first.

    The loss of an endpoint speaks against what was answered lately, or
    against a part, only if no likelier cause explains it: one that was not
    answered, and was lost at more endpoints than a part that was not either.
    Nothing is likelier than a request that no endpoint has answered.

    Parameters
    ----------
    lost
        Endpoints at which each key was lost since its last answer.
    is_answered
        Returns whether a key was answered lately.
    """
    ranked = sorted(
        (key for key in lost if len(lost[key]) >= LOST_ENDPOINTS_LIMIT),
        key=lambda key: (is_answered(key), -len(lost[key])),
    )
    suspected: dict[bytes, frozenset[str]] = {}
    causes: dict[bytes, frozenset[str]] = {}
    for key in ranked:
        answered = is_answered(key)
        is_request = loss_keys.is_request(key)
        likelier = (
            endpoints
            for endpoints in causes.values()
            if answered or (not is_request and len(endpoints) > len(lost[key]))
        )
        unexplained = lost[key].difference(*likelier)
        if len(unexplained) < limit_of(is_request, answered):
            continue
        suspected[key] = lost[key]
        if not answered:
            causes[key] = lost[key]
    return Suspicion(suspected, causes)


def limit_of(is_request: bool, answered: bool) -> int:
    """Return from how many lost endpoints on a key is suspected.

    A request that crashes endpoints is not answered by others meanwhile, but
    a part that many prompts share is under way at most endpoints.
    """
    if answered and not is_request:
        return ANSWERED_ENDPOINTS_LIMIT
    return LOST_ENDPOINTS_LIMIT
