"""Regions that requests and their KV cache must not leave."""

from __future__ import annotations

import typing

from briarseam import malformed

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.routes import model as routes

# ``None`` for no restriction.
Allowed = frozenset[str] | None


def intersection(route: Allowed, organisation: Allowed) -> Allowed:
    """Return the regions that both a route and an organisation allow."""
    if route is None:
        return organisation
    if organisation is None:
        return route
    return route & organisation


def describe(allowed: Allowed) -> str:
    """Return the allowed regions for an error message."""
    if allowed is None:
        return "any region"
    return ", ".join(sorted(allowed)) or "no common region"


class RegionMap:
    """Regions of the availability zones.

    Parameters
    ----------
    by_zone
        Region of each availability zone; empty if not known.
    """

    def __init__(self, by_zone: typing.Mapping[str, str]) -> None:
        self.by_zone = dict(by_zone)

    def allows(self, allowed: Allowed, zone: str) -> bool:
        """Return whether a request may be sent to a zone.

        The region of an unknown zone is unknown, so only requests without
        restriction may be sent there.
        """
        return allowed is None or self.by_zone.get(zone) in allowed

    def region_of(self, zone: str) -> str:
        """Return the region of a zone; empty if unknown."""
        return self.by_zone.get(zone, "")

    def check(self, configuration: routes.Configuration) -> None:
        """Ensure that a configuration names known regions only.

        Raises
        ------
        MalformedError
            Names the route or organisation, and the region.
        """
        if not self.by_zone:
            return
        for route in configuration.routes:
            self.check_names(f"route {route.name}", route.regions)
        for organisation in (configuration.organisations or {}).values():
            self.check_names(
                f"organisation {organisation.name}", organisation.regions
            )

    def check_names(self, owner: str, allowed: Allowed) -> None:
        """Ensure that all regions are known; raises ``MalformedError``."""
        known: collections.abc.Set[str] = set(self.by_zone.values())
        unknown = sorted((allowed or frozenset()) - known)
        if unknown:
            raise malformed.MalformedError(
                f"{owner}: unknown region {unknown[0]!r}; "
                f"known are {', '.join(sorted(known))}"
            )
