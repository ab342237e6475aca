"""Which of a service's endpoints may get a request now."""

from __future__ import annotations

import dataclasses
import random
import typing

from briarseam import verdict
from briarseam.eligibility import cold_starts
from briarseam.eligibility import permissions
from briarseam.eligibility import rate_limits
from briarseam.eligibility import regions
from briarseam.eligibility import rejection_limits
from briarseam.eligibility import requested_backoffs
from briarseam.routes import evacuation

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.discovery import announcements
    from briarseam.discovery import model as discovery
    from briarseam.routes import model as routes

# Time after which operators may have taken an evacuation back, or another
# region's endpoints may have returned.
EXCLUDED_RETRY_S = 1.0
# Callers that are refused at rate limits return after this time at least, and
# after up to twice as long, so that they do not return together.
MIN_RATE_RETRY_S = 0.3
# Callers that were refused while all endpoints were cold, or in a backoff,
# return within this time after one of them is not.
RETRY_SPREAD_S = 0.5


@dataclasses.dataclass(frozen=True)
class Eligible:
    """Endpoints that may get a request; each send must be acquired first.

    Attributes
    ----------
    warm
        Warm endpoints.
    cold
        Cold endpoints, or endpoints that may have turned cold since entries
        were read.

    Both are empty while this instance has sent to all endpoints what their
    limits allow.
    """

    warm: list[discovery.Endpoint]
    cold: list[discovery.Endpoint]


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
    rejections
        Limits that endpoints name on the requests that they may reject.
    backoffs
        Times for which endpoints want no requests from this instance.
    region_map
        Regions of the availability zones.
    """

    def __init__(
        self,
        evacuations: evacuation.Evacuations,
        starts: cold_starts.ColdStarts,
        limits: rate_limits.RateLimits,
        rejections: rejection_limits.RejectionLimits,
        backoffs: requested_backoffs.RequestedBackoffs,
        region_map: regions.RegionMap,
    ) -> None:
        self.evacuations = evacuations
        self.starts = starts
        self.rate_limits = limits
        self.rejection_limits = rejections
        self.backoffs = backoffs
        self.region_map = region_map

    def record_entry(self, endpoint: discovery.Endpoint) -> None:
        """Record an entry that an endpoint has written."""
        self.starts.record_entry(endpoint.id, endpoint.cold_remaining_s)

    def record_answer(
        self,
        endpoint_id: str,
        announced: announcements.Announcements,
        sent_s: float,
    ) -> None:
        """Record what an answer tells of its endpoint.

        Parameters
        ----------
        endpoint_id
            The endpoint's start.
        announced
            What it tells.
        sent_s
            When its request was sent, by the boot clock.
        """
        self.rate_limits.record_answer(
            endpoint_id, announced.rate_limit, sent_s
        )
        self.rejection_limits.record_answer(
            endpoint_id, announced.rejection_limit, sent_s
        )
        self.backoffs.record_answer(endpoint_id, announced.backoff_s)

    def keep_only(self, endpoint_ids: collections.abc.Collection[str]) -> None:
        """Drop what is known of all endpoints but these."""
        self.starts.keep_only(endpoint_ids)
        self.rate_limits.keep_only(endpoint_ids)
        self.rejection_limits.keep_only(endpoint_ids)
        self.backoffs.keep_only(endpoint_ids)

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
        available = self.backoffs.without_backoff(remaining)
        if not available:
            return self.refusal_in_backoff(remaining)
        return self.sorted_by_permission(available, service)

    def sorted_by_permission(
        self,
        endpoints: list[discovery.Endpoint],
        service: routes.Service,
    ) -> Eligible | verdict.NotRun:
        """Return endpoints by permission, or why none may be used."""
        within_rate = self.rate_limits.with_room(endpoints)
        if not within_rate:
            return self.refusal_at_rate_limit(endpoints)
        within_rate = self.rejection_limits.with_room(within_rate)
        if not within_rate:
            # Undecided requests are decided soon, so this one may wait.
            return Eligible([], [])
        cold = service.cold_start
        if cold is None:
            return Eligible(within_rate, [])
        found = self.starts.permissions(within_rate, cold)
        eligible = Eligible(
            pick(within_rate, found, permissions.Permission.UNLIMITED),
            pick(within_rate, found, permissions.Permission.LIMITED),
        )
        if eligible.warm or eligible.cold:
            return eligible
        remaining_s = min(
            self.starts.cold_remaining_s(endpoint, cold)
            for endpoint in within_rate
        )
        if remaining_s <= 0:
            return eligible
        return verdict.NotRun(
            verdict.Reason.OVERLOADED,
            f"all {len(within_rate)} endpoints are warming up and take "
            f"{cold.requests_per_s:g} requests/s for {remaining_s:.1f} s",
            remaining_s + RETRY_SPREAD_S * random.random(),
        )

    def refusal_in_backoff(
        self, endpoints: list[discovery.Endpoint]
    ) -> verdict.NotRun:
        """Return the refusal if all endpoints have asked for a backoff."""
        remaining_s = min(
            self.backoffs.remaining_s(endpoint.id) for endpoint in endpoints
        )
        return verdict.NotRun(
            verdict.Reason.OVERLOADED,
            f"all {len(endpoints)} endpoints want no requests for "
            f"{remaining_s:.1f} s",
            remaining_s + RETRY_SPREAD_S * random.random(),
        )

    def refusal_at_rate_limit(
        self, endpoints: list[discovery.Endpoint]
    ) -> verdict.NotRun:
        """Return the refusal if no endpoint has room in its rate limit.

        Callers return when another instance is likely to have room.
        """
        rate_per_s = sum(map(self.rate_limits.rate_per_s, endpoints))
        retry_s = max(MIN_RATE_RETRY_S, 1 / rate_per_s)
        return verdict.NotRun(
            verdict.Reason.OVERLOADED,
            f"all {len(endpoints)} endpoints limit the rate of requests, to "
            f"{rate_per_s:g} requests/s together",
            retry_s * (1 + random.random()),
        )

    def try_acquire(
        self, endpoint: discovery.Endpoint, service: routes.Service
    ) -> bool:
        """Count a send to an endpoint with limits; return if it may go.

        Each one that may must be released.
        """
        if not self.rejection_limits.try_acquire(endpoint):
            return False
        cold = service.cold_start
        if self.rate_limits.try_acquire(endpoint) and (
            cold is None or self.starts.try_acquire(endpoint, cold)
        ):
            return True
        self.rejection_limits.release(endpoint.id)
        return False


def pick(
    endpoints: list[discovery.Endpoint],
    found: list[permissions.Permission],
    wanted: permissions.Permission,
) -> list[discovery.Endpoint]:
    """Return the endpoints with a permission."""
    return [
        endpoint
        for endpoint, permission in zip(endpoints, found, strict=True)
        if permission is wanted
    ]


class NoSenders:
    """No instance may send to endpoints with limits."""

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
        rate_limits.RateLimits(NoSenders()),
        rejection_limits.RejectionLimits(NoSenders()),
        requested_backoffs.RequestedBackoffs(),
        regions.RegionMap({}),
    )
