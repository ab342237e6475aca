"""Composition of the rules on which endpoints may get a request."""

from __future__ import annotations

import typing

from briarseam.eligibility import cold_starts
from briarseam.eligibility import rate_limits
from briarseam.eligibility import regions
from briarseam.eligibility import rejection_limits
from briarseam.eligibility import requested_backoffs
from briarseam.eligibility import service
from briarseam.routes import evacuation

if typing.TYPE_CHECKING:
    from briarseam import malformed
    from briarseam.compose import node_instances
    from briarseam.settings import serving


def build(
    settings: serving.ServeSettings,
    instances: node_instances.Instances,
    entries_age_s: typing.Callable[[], float],
    malformed_counter: malformed.Tally,
) -> service.Eligibility:
    """Return the rules of an instance.

    Parameters
    ----------
    settings
        The settings of this process.
    instances
        All instances, of which some may send to an endpoint with a limit.
    entries_age_s
        Returns the time since the endpoints' entries were last read.
    malformed_counter
        Counts answers of endpoints that can't be read.
    """
    starts = cold_starts.ColdStarts(
        instances, limits_of(settings.bounds), entries_age_s
    )
    return service.Eligibility(
        evacuation.Evacuations(starts.record_release),
        starts,
        rate_limits.RateLimits(instances, malformed_counter=malformed_counter),
        rejection_limits.RejectionLimits(
            instances, malformed_counter=malformed_counter
        ),
        requested_backoffs.RequestedBackoffs(),
        regions.RegionMap(settings.instance.regions()),
    )


def limits_of(bounds: serving.Bounds) -> cold_starts.Limits:
    """Return the limits on requests to cold endpoints."""
    return cold_starts.Limits(bounds.cold_rate_factor, bounds.cold_rate_slack)
