"""Weighted rendezvous ranking for a session."""

from __future__ import annotations

import math
import typing

import xxhash

RANK_SALT = "briarseam-rank-1"
HASH_RANGE = 2.0**64
Ranked = typing.TypeVar("Ranked")


def session_key(organisation: str, session: str) -> str:
    """Return the key by which a session is ranked, 16 hex digits.

    A hash, so that it can stand in the names of the session's kept blocks.
    The length in front keeps two different pairs from having one key.
    """
    pair = f"{RANK_SALT}\0{len(organisation)}\0{organisation}\0{session}"
    return xxhash.xxh3_64_hexdigest(pair.encode())


def score(key: str, name: str, weight: float) -> float:
    """Return a name's score for a key.

    With ``weight / -ln(u)``, u uniform by hash, each name is the highest
    for a part of the keys in proportion to its weight, and a change of one
    weight moves keys only to or from that name.
    """
    hashed = xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
    return weight / -math.log((hashed + 0.5) / HASH_RANGE)


def equal_weight(item: object) -> float:
    """Return the same weight for every item."""
    del item
    return 1.0


def ranked(
    key: str,
    items: typing.Iterable[Ranked],
    name_of: typing.Callable[[Ranked], str],
    weight_of: typing.Callable[[Ranked], float] = equal_weight,
) -> list[Ranked]:
    """Return the items in the key's order, best first.

    When an item joins or leaves, the order of the others stays as it was,
    so only the sessions of that item move.

    Parameters
    ----------
    key
        From :func:`session_key`.
    items
        What to rank.
    name_of
        Unique name of an item.
    weight_of
        Share of the keys that an item should get, relative to others.
    """
    return sorted(
        items,
        key=lambda item: (
            score(key, name_of(item), weight_of(item)),
            name_of(item),
        ),
        reverse=True,
    )


def strongest(
    key: str,
    names: typing.Iterable[str],
    weight_of: typing.Callable[[str], float],
) -> list[str]:
    """Return instances by what they can take, the strongest first.

    For a duty that one instance does for many: drawn in proportion to
    weights, as by :func:`ranked`, it would mostly fall to one of the many
    weak ones, and its link and processor would hold up all of its work.

    Parameters
    ----------
    key
        Orders equals, the same way each time.
    names
        The instances.
    weight_of
        What an instance can take, relative to others.
    """
    return sorted(
        names,
        key=lambda name: (weight_of(name), score(key, name, 1.0), name),
        reverse=True,
    )
