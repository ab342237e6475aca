"""Lookup of entry addresses by the caller's availability zone only."""

from __future__ import annotations

import typing

from briarseam.lookup import rank
from briarseam.membership import state

if typing.TYPE_CHECKING:
    import collections.abc

# With a single address, a caller whose instance dies could not reach any
# other until its lookup expires.
MIN_ADDRESSES = 2
# Callers choose one of their addresses at random.  In a large zone each
# caller gets a subset of the instances that favours the stronger ones, so
# that these get more work; a larger subset would even this out.
MAX_ADDRESSES = 8
# Instances without a path to endpoints are left out while the others have at
# least this share of the capacity; fewer could not take all callers.
MIN_SHARE_WITH_PATHS = 0.3

Members = typing.Callable[[], "collections.abc.Sequence[state.Member]"]


def always(name: str) -> bool:
    """Return that an instance has paths to all endpoints."""
    del name
    return True


def no_region(zone: str) -> str:
    """Return the same region for every zone."""
    del zone
    return ""


class ZonalLookup:
    """Looks up the addresses that callers of a zone should use.

    Instances of other zones are returned only if the zone has too few,
    since traffic between zones is expensive.  Each instance returns the
    same addresses to a caller each time, as long as they are alive, because
    a caller drops its connections to addresses that are no longer returned.

    Parameters
    ----------
    members
        Returns all known instances.
    zone_of
        Returns an instance's availability zone.
    weight_of
        Returns the capacity of an instance, relative to others.
    region_of
        Returns the region of an availability zone; empty if unknown.
    has_paths
        Returns whether an instance reaches endpoints of all services.
    """

    def __init__(
        self,
        members: Members,
        zone_of: typing.Callable[[str], str],
        weight_of: typing.Callable[[str], float] = rank.equal_weight,
        region_of: typing.Callable[[str], str] = no_region,
        has_paths: typing.Callable[[str], bool] = always,
    ) -> None:
        self.has_paths = has_paths
        self.region_of = region_of
        self.members = members
        self.zone_of = zone_of
        self.weight_of = weight_of

    def addresses(self, zone: str, caller: str, region: str = "") -> list[str]:
        """Return the addresses for a caller.

        Parameters
        ----------
        zone
            Availability zone of the caller.
        caller
            Identifies the caller.
        region
            Region of the caller; that of its zone unless given.  Instances
            of other regions are returned only if this one has none, since
            some requests must not leave it.
        """
        alive = [
            member
            for member in self.members()
            if member.state is state.MemberState.ALIVE
            and member.entry_addresses
        ]
        alive = self.with_paths(alive)
        local = [
            member for member in alive if self.zone_of(member.name) == zone
        ]
        chosen = self.choose(local, caller)
        if len(chosen) < MIN_ADDRESSES:
            remote = [member for member in alive if member not in local]
            region = region or self.region_of(zone)
            near = [
                member
                for member in remote
                if self.region_of(self.zone_of(member.name)) == region
            ]
            chosen += self.choose(near, caller)
            chosen = chosen or self.choose(remote, caller)
        return [
            address for member in chosen for address in member.entry_addresses
        ][:MAX_ADDRESSES]

    def with_paths(self, alive: list[state.Member]) -> list[state.Member]:
        """Return the instances with paths to endpoints, or all of them.

        The others pass requests on to these, so that all serve; a caller
        that asks these itself saves a hop.
        """
        found = [member for member in alive if self.has_paths(member.name)]
        if self.weight(found) < MIN_SHARE_WITH_PATHS * self.weight(alive):
            return alive
        return found

    def weight(self, members: list[state.Member]) -> float:
        """Return the capacity of some instances."""
        return sum(self.weight_of(member.name) for member in members)

    def choose(
        self, candidates: list[state.Member], caller: str
    ) -> list[state.Member]:
        """Return a subset of the instances, always the same for a caller."""
        if len(candidates) <= MAX_ADDRESSES:
            return candidates
        return rank.ranked(
            caller,
            candidates,
            lambda member: member.name,
            lambda member: self.weight_of(member.name),
        )[:MAX_ADDRESSES]
