"""Entry addresses for a caller that names only its availability zone."""

from __future__ import annotations

import typing

from briarseam.membership import state

if typing.TYPE_CHECKING:
    import collections.abc

# With one address alone a caller whose instance dies has nobody to turn to
# until its lookup has run out.
LEAST_ADDRESSES = 2
MOST_ADDRESSES = 64

Members = typing.Callable[[], "collections.abc.Sequence[state.Member]"]


class ZonalLookup:
    """Answers which addresses callers of a zone should use.

    Callers pick one at random, so all of a zone's instances are named, and
    no other zone's unless there are too few: bytes between zones are dear.

    Parameters
    ----------
    members
        All known instances.
    zone_of
        Returns an instance's availability zone.
    """

    def __init__(
        self, members: Members, zone_of: typing.Callable[[str], str]
    ) -> None:
        self.members = members
        self.zone_of = zone_of

    def addresses(self, zone: str) -> list[str]:
        """Return the addresses for a caller in a zone."""
        near: list[str] = []
        far: list[str] = []
        for member in self.members():
            if member.state is not state.MemberState.ALIVE:
                continue
            place = near if self.zone_of(member.name) == zone else far
            place.extend(member.entry_addresses)
        if len(near) < LEAST_ADDRESSES:
            near.extend(far)
        return near[:MOST_ADDRESSES]
