"""Times of losses, by what was lost and where."""

from __future__ import annotations

import collections
import typing

# Bounds the endpoints of one key that heartbeats carry.
MAX_PUBLISHED_ENDPOINTS = 8
# When a key was lost at an endpoint, by both.
Lost = dict[tuple[bytes, str], float]
Key = typing.TypeVar("Key")


def most_lost(lost: Lost, count: int) -> list[tuple[tuple[bytes, str], float]]:
    """Return losses of the keys with the most of them, the newest first."""
    endpoints = collections.Counter(key for key, _endpoint in lost)
    ranked = sorted(
        lost.items(), key=lambda item: (-endpoints[item[0][0]], -item[1])
    )
    return ranked[:count]


def newer_than(times_s: dict[Key, float], at_s: float) -> dict[Key, float]:
    """Return the times after another one."""
    return {key: own_s for key, own_s in times_s.items() if own_s > at_s}


def add_earliest(known: dict[str, float], others: dict[str, float]) -> None:
    """Add the times of losses; of the same loss the earlier one counts.

    A peer tells a loss later than it was known if it has adopted it.
    """
    for endpoint, at_s in others.items():
        known[endpoint] = min(at_s, known.get(endpoint, at_s))


def newest(lost: dict[str, float]) -> list[str]:
    """Return the endpoints of the newest losses, sorted by id."""
    ranked = sorted(lost, key=lambda endpoint: -lost[endpoint])
    return sorted(ranked[:MAX_PUBLISHED_ENDPOINTS])
