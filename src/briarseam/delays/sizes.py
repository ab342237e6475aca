"""How requests ended, by the size of their prompts."""

from __future__ import annotations

import collections
import dataclasses
import typing

from briarseam.delays import lines
from briarseam.delays import sends

if typing.TYPE_CHECKING:
    import collections.abc

LARGEST_TENTH = 0.9
FIFTH_BELOW = 0.7


@dataclasses.dataclass(frozen=True)
class SizeClass:
    """Requests of one kind whose prompts have about the same size.

    Attributes
    ----------
    route
        The kind of request.
    size
        Which part of the kind.
    least_tokens, most_tokens
        Memory that a prompt and its answer may take, in tokens.
    requests
        How many ended.
    answered, refused
        How many of these were answered by an endpoint to the end, and how
        many were refused.
    """

    route: str
    size: str
    least_tokens: int
    most_tokens: int
    requests: int
    answered: int
    refused: int


def size_classes(read: collections.abc.Iterable[lines.Line]) -> list[SizeClass]:
    """Return the classes of all kinds of request that have prompts."""
    by_route: dict[str, list[lines.RequestEnded]] = collections.defaultdict(
        list
    )
    for line in read:
        if isinstance(line, lines.RequestEnded) and line.memory_tokens:
            by_route[line.route].append(line)
    return [
        size_class(route, size, part)
        for route in sorted(by_route)
        for size, part in parts(by_route[route])
        if part
    ]


def parts(
    ended: list[lines.RequestEnded],
) -> list[tuple[str, list[lines.RequestEnded]]]:
    """Cut the requests of a kind by size, the largest first."""
    ended = sorted(ended, key=lambda line: line.memory_tokens or 0)
    tenth = round(LARGEST_TENTH * len(ended))
    fifth = round(FIFTH_BELOW * len(ended))
    return [
        ("largest tenth", ended[tenth:]),
        ("fifth below", ended[fifth:tenth]),
        ("others", ended[:fifth]),
    ]


def size_class(
    route: str, size: str, ended: list[lines.RequestEnded]
) -> SizeClass:
    """Return what describes one class; `ended` is in order of size."""
    return SizeClass(
        route=route,
        size=size,
        least_tokens=ended[0].memory_tokens or 0,
        most_tokens=ended[-1].memory_tokens or 0,
        requests=len(ended),
        answered=count(ended, sends.ANSWERED),
        refused=count(ended, sends.REFUSED),
    )


def count(ended: list[lines.RequestEnded], outcome: str) -> int:
    """Return how many outcomes begin with a word."""
    return sum(line.outcome.startswith(outcome) for line in ended)
