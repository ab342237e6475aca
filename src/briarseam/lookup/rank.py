"""Weighted rendezvous hashing of sessions and duties."""

from __future__ import annotations

import math
import typing

import xxhash

RANK_SALT = "briarseam-rank-1"
HASH_RANGE = 2.0**64
Ranked = typing.TypeVar("Ranked")


def session_key(organisation: str, session: str) -> str:
    """Return the ranking key of a session, 16 hex digits.

    The key is a hash because it is part of the names of the session's kept
    blocks.  The length prefix prevents two different pairs from having the
    same key.
    """
    pair = f"{RANK_SALT}\0{len(organisation)}\0{organisation}\0{session}"
    return xxhash.xxh3_64_hexdigest(pair.encode())


def score(key: str, name: str, weight: float) -> float:
    """Return a name's score for a key.

    With ``weight / -ln(u)``, where u is a uniform hash, each name scores
    highest for a share of the keys in proportion to its weight, and a
    change of one weight moves keys only to or from that name.
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
    """Return the items ranked for a key, best first.

    When an item joins or leaves, the relative order of the others does not
    change, so only the sessions of that item move.

    Parameters
    ----------
    key
        From :func:`session_key`.
    items
        Items to rank.
    name_of
        Returns the unique name of an item.
    weight_of
        Returns the share of the keys that an item gets, relative to others.
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
    """Return instances by capacity, the strongest first.

    For a duty that one instance does for many.  Chosen in proportion to
    weight, as by :func:`ranked`, it would mostly be one of the many weak
    instances, whose link and processor would then delay all of its work.

    Parameters
    ----------
    key
        Determines the order of instances of equal capacity.
    names
        The instances.
    weight_of
        Returns the capacity of an instance, relative to others.
    """
    return sorted(
        names,
        key=lambda name: (weight_of(name), score(key, name, 1.0), name),
        reverse=True,
    )
