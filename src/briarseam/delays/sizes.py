"""Outcomes of requests by the size of their prompts."""

from __future__ import annotations

import collections
import dataclasses
import typing

from briarseam.delays import lines
from briarseam.delays import sends

if typing.TYPE_CHECKING:
    import collections.abc

LARGEST_TENTH_START = 0.9
FIFTH_BELOW_START = 0.7


@dataclasses.dataclass(frozen=True)
class SizeClass:
    """Requests of one route whose prompts are of similar size.

    Attributes
    ----------
    route
        Name of the route.
    size
        Name of the class among the requests of the route.
    least_tokens, most_tokens
        Least and most engine memory that a prompt and its answer may take,
        in tokens.
    requests
        Number of requests that ended.
    answered, refused
        Number of these that an endpoint answered completely, and number of
        those that were refused.
    """

    route: str
    size: str
    least_tokens: int
    most_tokens: int
    requests: int
    answered: int
    refused: int


def size_classes(
    read: collections.abc.Iterable[lines.Line],
) -> list[SizeClass]:
    """Return the size classes of all routes whose requests have prompts."""
    by_route: dict[str, list[lines.RequestEnded]] = collections.defaultdict(
        list
    )
    for line in read:
        if isinstance(line, lines.RequestEnded) and line.memory_tokens:
            by_route[line.route].append(line)
    return [
        size_class(route, size, ended)
        for route in sorted(by_route)
        for size, ended in split_by_size(by_route[route])
        if ended
    ]


def split_by_size(
    ended: list[lines.RequestEnded],
) -> list[tuple[str, list[lines.RequestEnded]]]:
    """Return the requests of a route by size class, largest first."""
    ended = sorted(ended, key=lambda line: line.memory_tokens or 0)
    tenth_start = round(LARGEST_TENTH_START * len(ended))
    fifth_start = round(FIFTH_BELOW_START * len(ended))
    return [
        ("largest tenth", ended[tenth_start:]),
        ("fifth below", ended[fifth_start:tenth_start]),
        ("others", ended[:fifth_start]),
    ]


def size_class(
    route: str, size: str, ended: list[lines.RequestEnded]
) -> SizeClass:
    """Return a size class; `ended` is in order of size and not empty."""
    return SizeClass(
        route=route,
        size=size,
        least_tokens=ended[0].memory_tokens or 0,
        most_tokens=ended[-1].memory_tokens or 0,
        requests=len(ended),
        answered=count_outcomes(ended, sends.ANSWERED_PREFIX),
        refused=count_outcomes(ended, sends.REFUSED_PREFIX),
    )


def count_outcomes(ended: list[lines.RequestEnded], prefix: str) -> int:
    """Return the number of outcomes that start with a prefix."""
    return sum(line.outcome.startswith(prefix) for line in ended)
