"""The members of all cells as one tuple that changes only when they do."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from briarseam.membership import state


@dataclasses.dataclass(frozen=True)
class MemberKey:
    """What makes a member another one for lookups and routing."""

    name: str
    incarnation: int
    state: state.MemberState
    cell: str
    agent_address: str
    entry_addresses: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class View:
    """Members, and what tells this view from the next.

    Attributes
    ----------
    members
        Of this cell first, then of the others.
    traits
        Of this cell's members.
    others
        Members of the other cells, as the directory returned them.
    """

    members: tuple[state.Member, ...] = ()
    keys: tuple[MemberKey, ...] = ()
    others: tuple[state.Member, ...] = ()


def update(
    view: View,
    own: tuple[state.Member, ...],
    others: tuple[state.Member, ...],
) -> View:
    """Return the same view if nothing changed, else a new one.

    The directory returns the same tuple until it changes, so thousands of
    members need not be compared several times a second.
    """
    keys = tuple(map(key_of, own))
    if others is view.others and keys == view.keys:
        return view
    names = {member.name for member in own}
    rest = (each for each in others if each.name not in names)
    return View((*own, *rest), keys, others)


def key_of(member: state.Member) -> MemberKey:
    """Return a member's trait."""
    return MemberKey(
        name=member.name,
        incarnation=member.incarnation,
        state=member.state,
        cell=member.cell,
        agent_address=member.agent_address,
        entry_addresses=member.entry_addresses,
    )
