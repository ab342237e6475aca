"""Members grouped by cell, ready to be ranked for many sessions."""

from __future__ import annotations

import dataclasses
import typing

from briarseam.lookup import rank
from briarseam.membership import state

# The second of the session's own cell takes over a dead first one's
# sessions; further addresses lie in other zones, for when a zone is down.
FROM_OWN_CELL = 2
USABLE = frozenset({state.MemberState.ALIVE, state.MemberState.SUSPECT})


@dataclasses.dataclass(frozen=True)
class Cell:
    """The usable members of one cell.

    Attributes
    ----------
    name
        ``ZONE/PART``.
    zone
        Its availability zone.
    alive, suspect
        Members with an entry, by state.
    weight
        Entry processes of the live members.
    """

    name: str
    zone: str
    alive: tuple[state.Member, ...]
    suspect: tuple[state.Member, ...]
    weight: int

    def ranked(self, key: str) -> list[state.Member]:
        """Return the members in a session's order, suspects last.

        A suspect may well be dead, so callers should try it last; it stays
        in the answer since a cut may be ours alone.
        """
        return [
            *rank.ranked(key, self.alive, member_name, member_weight),
            *rank.ranked(key, self.suspect, member_name, member_weight),
        ]


@dataclasses.dataclass(frozen=True)
class Layout:
    """All cells, built once for each snapshot of members.

    Attributes
    ----------
    members
        The snapshot.
    cells
        Those with a usable member.
    """

    members: typing.Sequence[state.Member]
    cells: tuple[Cell, ...]

    def order(self, key: str, count: int) -> list[state.Member]:
        """Return up to ``count`` members in a session's order."""
        cells = rank.ranked(key, self.cells, cell_name, cell_weight)
        if not cells:
            return []
        own = cells[0].ranked(key)
        chosen = own[:FROM_OWN_CELL]
        zones = {cells[0].zone}
        for cell in cells[1:]:
            if len(chosen) >= count:
                break
            if cell.zone not in zones:
                zones.add(cell.zone)
                chosen.append(cell.ranked(key)[0])
        rest = own[FROM_OWN_CELL:]
        for cell in cells[1:]:
            if len(chosen) + len(rest) >= count:
                break
            rest += [m for m in cell.ranked(key) if m not in chosen]
        return [*chosen, *rest][:count]


def build(members: typing.Sequence[state.Member]) -> Layout:
    """Return the layout of a snapshot of members."""
    by_cell: dict[str, list[state.Member]] = {}
    for member in members:
        if member.state in USABLE and member.entry_addresses:
            by_cell.setdefault(member.cell, []).append(member)
    cells = tuple(build_cell(name, found) for name, found in by_cell.items())
    return Layout(members, cells)


def build_cell(name: str, members: list[state.Member]) -> Cell:
    """Return one cell of its usable members."""
    alive = tuple(m for m in members if m.state is state.MemberState.ALIVE)
    suspect = tuple(m for m in members if m.state is state.MemberState.SUSPECT)
    return Cell(
        name=name,
        zone=members[0].zone,
        alive=alive,
        suspect=suspect,
        weight=sum(len(member.entry_addresses) for member in alive),
    )


def member_name(member: state.Member) -> str:
    """Return the name that a member is ranked by."""
    return member.name


def member_weight(member: state.Member) -> float:
    """Return a member's share: its entry processes."""
    return len(member.entry_addresses)


def cell_name(cell: Cell) -> str:
    """Return the name that a cell is ranked by."""
    return cell.name


def cell_weight(cell: Cell) -> float:
    """Return a cell's share; one with only suspects comes last."""
    return cell.weight
