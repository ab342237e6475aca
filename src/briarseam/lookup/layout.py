"""Members grouped by cell, ready to be ranked for many sessions."""

from __future__ import annotations

import dataclasses
import functools
import typing

from briarseam.lookup import rank
from briarseam.membership import state

# The second takes over the sessions of a dead first one; further addresses
# lie in other zones, for when a zone is down.
FROM_TOP = 2
WHOLE_ZONE = "/0"
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

    def members(self) -> tuple[state.Member, ...]:
        """Return the usable members."""
        return (*self.alive, *self.suspect)

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

    Ranking all members in one go gives each its share and moves only the
    sessions of one that joins or leaves, but costs a hash for each member.
    Ranking cells first costs few hashes; since a cell's weight follows its
    members, a join or leave moves about twice as many sessions.  So cells
    are ranked first only where configuration cuts zones into parts.

    Attributes
    ----------
    members
        The snapshot.
    cells
        Those with a usable member.
    """

    members: typing.Sequence[state.Member]
    cells: tuple[Cell, ...]

    @functools.cached_property
    def together(self) -> Cell | None:
        """Return all members as one cell, if no zone is cut in parts."""
        if any(not cell.name.endswith(WHOLE_ZONE) for cell in self.cells):
            return None
        everyone = [m for cell in self.cells for m in cell.members()]
        return build_cell("", everyone) if everyone else None

    def order(self, key: str, count: int) -> list[state.Member]:
        """Return up to ``count`` members in a session's order."""
        if self.together is not None:
            ranked = self.together.ranked(key)
            return pick(ranked[:FROM_TOP], ranked[FROM_TOP:], count)
        cells = rank.ranked(key, self.cells, cell_name, cell_weight)
        if not cells:
            return []
        own = cells[0].ranked(key)
        rest = own[FROM_TOP:]
        zones = {cells[0].zone}
        for cell in cells[1:]:
            if len(zones) >= count:
                break
            if cell.zone not in zones or len(rest) < count:
                zones.add(cell.zone)
                rest += cell.ranked(key)
        return pick(own[:FROM_TOP], rest, count)


def pick(
    top: list[state.Member], rest: list[state.Member], count: int
) -> list[state.Member]:
    """Return the top, then the best of zones not yet there, then others.

    Members of other zones serve callers while a whole zone is down.
    """
    zones = {member.zone for member in top}
    elsewhere: list[state.Member] = []
    others: list[state.Member] = []
    for member in rest:
        if member.zone in zones:
            others.append(member)
        else:
            zones.add(member.zone)
            elsewhere.append(member)
    return [*top, *elsewhere, *others][:count]


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
