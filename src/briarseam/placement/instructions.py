"""Instructions that an endpoint gets with a request."""

from __future__ import annotations

import typing

from briarseam.forwarding import calls
from briarseam.placement import requests

if typing.TYPE_CHECKING:
    from briarseam.discovery import model as discovery


def for_request(
    request: requests.Request,
    endpoint: discovery.Endpoint,
    version: int = 0,
) -> calls.Instructions:
    """Return the instructions that an endpoint gets with a request."""
    organisation = request.organisation
    priority = request.route.priority
    if organisation is not None and organisation.priority is not None:
        priority = organisation.priority
    return calls.Instructions(
        endpoint=endpoint.id,
        organisation=organisation.name if organisation else "",
        priority=min(priority, 9),
        salt=requests.salt_of(request, version),
        version=version or None,
        last_event_id=request.call.last_event_id,
    )
