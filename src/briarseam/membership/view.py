"""The members of all cells as a tuple, replaced only when they change."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from briarseam.membership import state


@dataclasses.dataclass(frozen=True)
class MemberKey:
    """The fields of a member whose change matters to lookups and routing."""

    name: str
    incarnation: int
    state: state.MemberState
    cell: str
    agent_address: str
    entry_addresses: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class View:
    """Members of all cells, and the keys that detect a change.

    Attributes
    ----------
    members
        Members of the local cell first, then of the others.
    keys
        Keys of the local cell's members.
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
    """Return the same view if nothing changed, otherwise a new one.

    The directory returns the same tuple until it changes, which avoids
    comparing thousands of members several times a second.
    """
    keys = tuple(map(key_of, own))
    if others is view.others and keys == view.keys:
        return view
    names = {member.name for member in own}
    rest = (each for each in others if each.name not in names)
    return View((*own, *rest), keys, others)


def key_of(member: state.Member) -> MemberKey:
    """Return a member's key."""
    return MemberKey(
        name=member.name,
        incarnation=member.incarnation,
        state=member.state,
        cell=member.cell,
        agent_address=member.agent_address,
        entry_addresses=member.entry_addresses,
    )
