"""Members grouped by cell, for ranking them by session."""

from __future__ import annotations

import dataclasses
import functools
import typing

from briarseam.lookup import rank
from briarseam.membership import state

# If the first member dies, the second takes over its sessions.  Further
# addresses are in other zones, in case a whole zone fails.
PRIMARY_ADDRESSES = 2
UNDIVIDED_ZONE_SUFFIX = "/0"
USABLE = frozenset({state.MemberState.ALIVE, state.MemberState.SUSPECT})


@dataclasses.dataclass(frozen=True)
class Cell:
    """The usable members of one cell.

    Attributes
    ----------
    name
        ``ZONE/PART``.
    zone
        Availability zone of the cell.
    alive, suspect
        Members that have an entry, by state.
    weight
        Number of entry processes of the live members.
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
        """Return the members ranked for a session, suspects last.

        A suspect may be dead, so callers should try it last.  It
        stays in the answer because it may be unreachable only from the
        local instance.
        """
        return [
            *rank.ranked(key, self.alive, member_name, member_weight),
            *rank.ranked(key, self.suspect, member_name, member_weight),
        ]


@dataclasses.dataclass(frozen=True)
class Layout:
    """All cells, built once for each snapshot of members.

    Ranking all members together distributes sessions exactly by weight and
    moves only the sessions of a member that joins or leaves, but needs one
    hash for each member.  Ranking cells first needs few hashes, but since
    a cell's weight depends on its members, a join or leave moves about
    twice as many sessions.  So cells are ranked first only if the
    configuration divides zones into several cells.

    Attributes
    ----------
    members
        The snapshot.
    cells
        The cells that have a usable member.
    """

    members: typing.Sequence[state.Member]
    cells: tuple[Cell, ...]

    @functools.cached_property
    def single_cell(self) -> Cell | None:
        """Return all members as one cell, if no zone is divided."""
        if any(
            not cell.name.endswith(UNDIVIDED_ZONE_SUFFIX)
            for cell in self.cells
        ):
            return None
        usable = [m for cell in self.cells for m in cell.members()]
        return build_cell("", usable) if usable else None

    def order(self, key: str, count: int) -> list[state.Member]:
        """Return up to ``count`` members, ranked for a session."""
        if self.single_cell is not None:
            ranked = self.single_cell.ranked(key)
            return spread_over_zones(
                ranked[:PRIMARY_ADDRESSES], ranked[PRIMARY_ADDRESSES:], count
            )
        cells = rank.ranked(key, self.cells, cell_name, cell_weight)
        if not cells:
            return []
        own = cells[0].ranked(key)
        rest = own[PRIMARY_ADDRESSES:]
        zones = {cells[0].zone}
        for cell in cells[1:]:
            if len(zones) >= count:
                break
            if cell.zone not in zones or len(rest) < count:
                zones.add(cell.zone)
                rest += cell.ranked(key)
        return spread_over_zones(own[:PRIMARY_ADDRESSES], rest, count)


def spread_over_zones(
    top: list[state.Member], rest: list[state.Member], count: int
) -> list[state.Member]:
    """Return ``top``, then the best member of each other zone, then others.

    Members of other zones serve callers while a whole zone is down.
    """
    zones = {member.zone for member in top}
    other_zones: list[state.Member] = []
    others: list[state.Member] = []
    for member in rest:
        if member.zone in zones:
            others.append(member)
        else:
            zones.add(member.zone)
            other_zones.append(member)
    return [*top, *other_zones, *others][:count]


def build(members: typing.Sequence[state.Member]) -> Layout:
    """Return the layout of a snapshot of members."""
    by_cell: dict[str, list[state.Member]] = {}
    for member in members:
        if member.state in USABLE and member.entry_addresses:
            by_cell.setdefault(member.cell, []).append(member)
    cells = tuple(build_cell(name, group) for name, group in by_cell.items())
    return Layout(members, cells)


def build_cell(name: str, members: list[state.Member]) -> Cell:
    """Return the cell that consists of these usable members."""
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
    """Return the name by which a member is ranked."""
    return member.name


def member_weight(member: state.Member) -> float:
    """Return a member's weight: the number of its entry processes."""
    return len(member.entry_addresses)


def cell_name(cell: Cell) -> str:
    """Return the name by which a cell is ranked."""
    return cell.name


def cell_weight(cell: Cell) -> float:
    """Return a cell's weight; a cell with only suspects ranks last."""
    return cell.weight
