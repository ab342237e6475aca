"""Sharing of free capacity by the instances that have waiting requests.

Each instance learns of the others' grants late.  If all of them granted all
free capacity at once, they would overload the endpoints jointly.
"""

from __future__ import annotations

import dataclasses
import typing

from briarseam.placement import requests

if typing.TYPE_CHECKING:
    from briarseam.discovery import model as discovery
    from briarseam.placement import loads as load_module
    from briarseam.routes import model as routes


def share_of(free: int, own: int, at_peers: int) -> int:
    """Return how many requests an instance grants in one round, at least 1.

    Parameters
    ----------
    free
        Number of requests for which there is capacity.
    own, at_peers
        Number of requests that wait at this instance and at its peers.
    """
    return max(1, free * own // max(own + at_peers, 1))


def free_at(
    slots: int, load: load_module.Load, cache_tokens: int, tokens: float
) -> int:
    """Return the number of requests for which an endpoint has capacity.

    Parameters
    ----------
    slots
        Number of its slots.
    load
        Its load.
    cache_tokens
        Size of its memory, in tokens; 0 if it has none.
    tokens
        Tokens that one request takes of it.
    """
    free = slots - load.requests
    if cache_tokens:
        free_tokens = cache_tokens * requests.LARGE_MAX_FILL
        free_tokens -= load.memory_tokens
        free = min(free, int(free_tokens / max(tokens, 1.0)))
    return max(free, 0)


@dataclasses.dataclass(frozen=True)
class Sharing:
    """Limits the grants of one round while requests wait at peers.

    Attributes
    ----------
    loads
        Load of endpoints, and requests that wait at peers.
    endpoints
        Returns the endpoints of a service that accept requests.
    service
        Returns a service of the configuration; ``None`` if it is unknown.
    """

    loads: load_module.Loads
    endpoints: typing.Callable[[str], list[discovery.Endpoint]]
    service: typing.Callable[[str], routes.Service | None]

    def limit(self, name: str, own: int, typical_work: float) -> int | None:
        """Return how many requests may be granted; ``None`` for any number.

        Parameters
        ----------
        name
            The service.
        own
            Number of requests that wait for it at this instance.
        typical_work
            Mean work of these.
        """
        at_peers = self.loads.waiting_at_peers(name)
        if not at_peers:
            return None
        service = self.service(name)
        engine = None if service is None else service.engine
        cache_tokens = 0 if engine is None else engine.cache_tokens
        free = sum(
            free_at(
                endpoint.slots,
                self.loads.of(endpoint.id),
                cache_tokens,
                typical_work,
            )
            for endpoint in self.endpoints(name)
        )
        return share_of(free, own, at_peers)
