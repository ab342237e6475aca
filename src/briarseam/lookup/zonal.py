"""Entry addresses for a caller that names only its availability zone."""

from __future__ import annotations

import typing

from briarseam.lookup import rank
from briarseam.membership import state

if typing.TYPE_CHECKING:
    import collections.abc

# With one address alone a caller whose instance dies has nobody to turn to
# until its lookup has run out.
LEAST_ADDRESSES = 2
# Callers pick one of their addresses at random.  Each caller is told a part
# of a large zone's instances, the stronger ones more often, so that these
# get more of the work; the more are named, the more equal it is.
MOST_ADDRESSES = 8

Members = typing.Callable[[], "collections.abc.Sequence[state.Member]"]


class ZonalLookup:
    """Answers which addresses callers of a zone should use.

    No other zone's instances are named unless there are too few: bytes
    between zones are dear.  A caller is told the same ones by each instance
    and each time, as long as they live: it gives up its connections to
    those that are not named any more.

    Parameters
    ----------
    members
        All known instances.
    zone_of
        Returns an instance's availability zone.
    weight_of
        Returns the work an instance can take, relative to others.
    """

    def __init__(
        self,
        members: Members,
        zone_of: typing.Callable[[str], str],
        weight_of: typing.Callable[[str], float] = rank.equal_weight,
    ) -> None:
        self.members = members
        self.zone_of = zone_of
        self.weight_of = weight_of

    def addresses(self, zone: str, caller: str) -> list[str]:
        """Return the addresses for a caller.

        Parameters
        ----------
        zone
            Availability zone of the caller.
        caller
            What tells it from others.
        """
        alive = [
            member
            for member in self.members()
            if member.state is state.MemberState.ALIVE
            and member.entry_addresses
        ]
        near = [
            member for member in alive if self.zone_of(member.name) == zone
        ]
        chosen = self.choose(near, caller)
        if len(chosen) < LEAST_ADDRESSES:
            far = [member for member in alive if member not in near]
            chosen += self.choose(far, caller)
        return [
            address for member in chosen for address in member.entry_addresses
        ][:MOST_ADDRESSES]

    def choose(
        self, among: list[state.Member], caller: str
    ) -> list[state.Member]:
        """Return some of the instances, the same for a caller each time."""
        if len(among) <= MOST_ADDRESSES:
            return among
        return rank.ranked(
            caller,
            among,
            lambda member: member.name,
            lambda member: self.weight_of(member.name),
        )[:MOST_ADDRESSES]
