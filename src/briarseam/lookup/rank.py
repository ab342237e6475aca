"""Rendezvous ranking of cells and members for a session."""

from __future__ import annotations

import typing

import xxhash

RANK_SALT = "briarseam-rank-1"
Ranked = typing.TypeVar("Ranked")


def session_key(organisation: str, session: str) -> str:
    """Return the key by which a session is ranked.

    The length in front keeps two different pairs from having one key.
    """
    return f"{RANK_SALT}\0{len(organisation)}\0{organisation}\0{session}"


def weight(key: str, name: str) -> int:
    """Return the rendezvous weight of a name for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())


def ranked(
    key: str,
    items: typing.Iterable[Ranked],
    name_of: typing.Callable[[Ranked], str],
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
        Name of an item; equal names would tie.
    """
    return sorted(
        items,
        key=lambda item: (weight(key, name_of(item)), name_of(item)),
        reverse=True,
    )
