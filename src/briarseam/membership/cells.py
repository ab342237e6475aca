"""Assignment of a zone's agents to cells."""

from __future__ import annotations

import typing

import xxhash

PartsOf = typing.Callable[[str], int]
# Returns the cell for an agent's name and zone.
CellOf = typing.Callable[[str, str], str]


def by_parts(parts_of: PartsOf) -> CellOf:
    """Return a function that divides each zone into a number of cells."""
    return lambda name, zone: cell_of(name, zone, parts_of(zone))


def cell_of(name: str, zone: str, parts: int) -> str:
    """Return the cell of an agent as ``ZONE/PART``.

    Parameters
    ----------
    name
        The instance's name.
    zone
        Its availability zone.
    parts
        Number of cells in the zone.  If it grows by one, only about one
        agent in ``parts + 1`` changes its cell.
    """
    best = max(range(parts), key=lambda part: weight(name, part))
    return f"{zone}/{best}"


def whole_zone(name: str, zone: str) -> str:
    """Return the cell of an agent where each zone is a single cell."""
    return cell_of(name, zone, 1)


def weight(name: str, part: int) -> int:
    """Return the rendezvous weight of a part for an agent."""
    return xxhash.xxh64_intdigest(f"{name}\0{part}".encode())
