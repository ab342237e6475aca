"""Which of a service's endpoints may get a request now."""

from __future__ import annotations

import dataclasses
import random
import typing

from briarseam import verdict
from briarseam.eligibility import cold_starts
from briarseam.eligibility import rate_limits
from briarseam.eligibility import regions
from briarseam.routes import evacuation

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.discovery import announcements
    from briarseam.discovery import model as discovery
    from briarseam.routes import model as routes

# Time after which operators may have taken an evacuation back, or another
# region's endpoints may have returned.
EXCLUDED_RETRY_S = 1.0
# Callers that were refused while all endpoints were cold return within this
# time after one of them is warm.
RETRY_SPREAD_S = 0.5


@dataclasses.dataclass(frozen=True)
class Eligible:
    """Endpoints that may get a request.

    Attributes
    ----------
    unlimited
        Warm endpoints.
    limited
        Cold endpoints, or endpoints that may have turned cold since entries
        were read; each send to them must be acquired first.

    Both are empty if entries are outdated and the limits of all endpoints
    are used up for the moment.
    """

    unlimited: list[discovery.Endpoint]
    limited: list[discovery.Endpoint]


class Eligibility:
    """Decides which endpoints may get a request.

    Parameters
    ----------
    evacuations
        Evacuated availability zones.
    starts
        Cold endpoints.
    limits
        Limits that endpoints name on the rate of their requests.
    region_map
        Regions of the availability zones.
    """

    def __init__(
        self,
        evacuations: evacuation.Evacuations,
        starts: cold_starts.ColdStarts,
        limits: rate_limits.RateLimits,
        region_map: regions.RegionMap,
    ) -> None:
        self.evacuations = evacuations
        self.starts = starts
        self.rate_limits = limits
        self.region_map = region_map

    def record_entry(self, endpoint: discovery.Endpoint) -> None:
        """Record an entry that an endpoint has written."""
        self.starts.record_entry(endpoint.id, endpoint.cold_remaining_s)

    def record_answer(
        self, endpoint_id: str, announced: announcements.Announcements
    ) -> None:
        """Record what an answer tells of its endpoint."""
        self.rate_limits.record_answer(endpoint_id, announced.rate_limit)

    def keep_only(self, endpoint_ids: collections.abc.Collection[str]) -> None:
        """Drop what is known of all endpoints but these."""
        self.starts.keep_only(endpoint_ids)
        self.rate_limits.keep_only(endpoint_ids)

    def select(
        self,
        endpoints: collections.abc.Sequence[discovery.Endpoint],
        service: routes.Service,
        allowed: regions.Allowed,
    ) -> Eligible | verdict.NotRun:
        """Return the endpoints that may get a request, or why none may.

        Parameters
        ----------
        endpoints
            Endpoints of the service that accept requests; at least one.
        service
            The service.
        allowed
            Regions that the request must not leave.
        """
        in_region = [
            endpoint
            for endpoint in endpoints
            if self.region_map.allows(allowed, endpoint.zone)
        ]
        if not in_region:
            return verdict.NotRun(
                verdict.Reason.NO_ENDPOINT,
                "no endpoint in the allowed regions: "
                + regions.describe(allowed),
                EXCLUDED_RETRY_S,
            )
        evacuated = self.evacuations.zones
        remaining = [
            endpoint
            for endpoint in in_region
            if endpoint.zone not in evacuated
        ]
        if not remaining:
            zones = sorted({endpoint.zone for endpoint in in_region})
            return verdict.NotRun(
                verdict.Reason.NO_ENDPOINT,
                f"evacuated availability zones: {', '.join(zones)}",
                EXCLUDED_RETRY_S,
            )
        return self.sorted_by_permission(remaining, service)

    def sorted_by_permission(
        self,
        endpoints: list[discovery.Endpoint],
        service: routes.Service,
    ) -> Eligible | verdict.NotRun:
        """Return endpoints by permission, or why none may be used."""
        cold = service.cold_start
        if cold is None:
            return Eligible(endpoints, [])
        permissions = self.starts.permissions(endpoints, cold)
        found = Eligible(
            pick(endpoints, permissions, cold_starts.Permission.UNLIMITED),
            pick(endpoints, permissions, cold_starts.Permission.LIMITED),
        )
        if found.unlimited or found.limited:
            return found
        remaining_s = min(
            self.starts.cold_remaining_s(endpoint, cold)
            for endpoint in endpoints
        )
        if remaining_s <= 0:
            return found
        return verdict.NotRun(
            verdict.Reason.OVERLOADED,
            f"all {len(endpoints)} endpoints are warming up and take "
            f"{cold.requests_per_s:g} requests/s for {remaining_s:.1f} s",
            remaining_s + RETRY_SPREAD_S * random.random(),
        )

    def try_acquire(
        self, endpoint: discovery.Endpoint, service: routes.Service
    ) -> bool:
        """Count a send to an endpoint with limits; return if it may go."""
        cold = service.cold_start
        return cold is None or self.starts.try_acquire(endpoint, cold)


def pick(
    endpoints: list[discovery.Endpoint],
    permissions: list[cold_starts.Permission],
    wanted: cold_starts.Permission,
) -> list[discovery.Endpoint]:
    """Return the endpoints with a permission."""
    return [
        endpoint
        for endpoint, permission in zip(endpoints, permissions, strict=True)
        if permission is wanted
    ]


class NoSenders:
    """No instance may send to cold endpoints."""

    def known_count(self) -> int:
        """Return the number of all instances."""
        return 1

    def is_sender(self, endpoint: discovery.Endpoint, count: int) -> bool:
        """Return that this instance is no sender."""
        del endpoint, count
        return False


def unrestricted() -> Eligibility:
    """Return the decision without evacuations and regions."""
    return Eligibility(
        evacuation.Evacuations(),
        cold_starts.ColdStarts(NoSenders(), cold_starts.Limits()),
        rate_limits.RateLimits(),
        regions.RegionMap({}),
    )
