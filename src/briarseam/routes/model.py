"""The configuration that operators write: routes, services, organisations."""

from __future__ import annotations

import dataclasses
import enum


class Repeat(enum.StrEnum):
    """Whether a route's requests may be repeated.

    ``SAFE`` requests may run more than once.  ``ONCE`` requests may run at
    most once.  ``STREAM`` requests are answered by a stream of events and
    run once unless their route is resumable.
    """

    SAFE = "safe"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True)
class Share:
    """A service's share of a route's requests.

    Attributes
    ----------
    service
        Name of the service.
    weight
        Relative to the route's other shares.
    """

    service: str
    weight: float = 1.0


# Names of regions; ``None`` for no restriction.
Regions = frozenset[str] | None


@dataclasses.dataclass(frozen=True)
class Route:
    """Requests to one host below one path.

    Attributes
    ----------
    name
        Unique in a configuration.
    host
        Host of the requests.
    prefix
        Path prefix; begins and ends with a slash.
    repeat
        Whether requests may be repeated.
    shares
        Services that answer.
    timeout_s
        Maximum time that a caller waits, in seconds.
    target_latency_s
        Target time to the answer or its first event, in seconds.
    max_endpoints
        Maximum number of endpoints that one request is sent to.
    priority
        Rank among routes; 0 is the most urgent.
    anonymous
        Whether requests need no key.
    sessions
        Whether requests carry prompts whose parts are cached.
    resumable
        Whether another endpoint may continue a broken stream.
    max_pause_s
        Longest pause between events of an answer that is not late, in
        seconds; 0 for any.
    regions
        Regions that requests must not leave.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    shares: tuple[Share, ...]
    timeout_s: float
    target_latency_s: float
    max_endpoints: int
    priority: int = 0
    anonymous: bool = False
    sessions: bool = False
    resumable: bool = False
    max_pause_s: float = 0.0
    regions: Regions = None

    @property
    def idempotent(self) -> bool:
        """Whether a request of this route may run more than once."""
        return self.repeat is Repeat.SAFE or (
            self.repeat is Repeat.STREAM and self.resumable
        )


@dataclasses.dataclass(frozen=True)
class EngineTraits:
    """Configured properties of a service of model engines.

    Attributes
    ----------
    models
        Names of the models that the engines serve.
    slots
        Number of requests that one engine batches.
    cache_tokens
        Capacity of one engine's memory, in tokens.
    token_bytes
        Size of a token's KV cache, in bytes.
    link_mbps
        Bandwidth of an engine's link for KV cache, in Mbit/s.
    steps_per_event
        Steps of an engine from one event of a stream to the next.
    """

    models: tuple[str, ...]
    slots: int
    cache_tokens: int
    token_bytes: float
    link_mbps: float
    steps_per_event: int = 1


@dataclasses.dataclass(frozen=True)
class StoreTraits:
    """Configured properties of a store of kept KV cache.

    Attributes
    ----------
    address
        ``ip:port``.
    zone
        Availability zone.
    capacity_tokens
        Capacity, in tokens.
    link_mbps
        Bandwidth of its link, in Mbit/s.
    first_byte_s
        Latency before each transfer begins, in seconds.
    frees_on_request
        Whether parts are freed only on request.
    """

    address: str
    zone: str
    capacity_tokens: int
    link_mbps: float
    first_byte_s: float
    frees_on_request: bool


@dataclasses.dataclass(frozen=True)
class ColdStart:
    """Limits of an endpoint for some time after its start.

    Attributes
    ----------
    duration_s
        How long an endpoint is cold, in seconds.
    requests_per_s
        Requests per second that a cold endpoint tolerates from all
        instances together; it crashes at a rate well above that.
    """

    duration_s: float
    requests_per_s: float


@dataclasses.dataclass(frozen=True)
class Service:
    """A group of interchangeable endpoints, or a store.

    Attributes
    ----------
    name
        Unique in a configuration.
    health_path
        Path of an endpoint's health check.
    max_connections
        Connections that one endpoint accepts from all callers together.
    engine
        Set only for model engines.
    store
        Set only for a store of kept KV cache.
    cold_start
        Set only if its endpoints are limited after their start.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    engine: EngineTraits | None = None
    store: StoreTraits | None = None
    cold_start: ColdStart | None = None


@dataclasses.dataclass(frozen=True)
class Organisation:
    """A customer whose callers send requests.

    Attributes
    ----------
    name
        Unique in a configuration.
    priority
        Overrides a route's priority unless ``None``.
    regions
        Regions that its requests must not leave.
    """

    name: str
    priority: int | None = None
    regions: Regions = None


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Limits on what a caller may send.

    Attributes
    ----------
    header_bytes, body_bytes
        Maximum sizes of the headers and the body.
    header_timeout_s
        Maximum time to send a request's headers, in seconds.
    idle_timeout_s
        Time after which an idle connection is closed, in seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of the complete configuration.

    Attributes
    ----------
    version
        Increases with each change.
    routes
        All routes.
    services
        Services by name.
    organisations
        Organisations by key; ``None`` when callers need no key.
    limits
        Limits on what callers send.
    isolated
        Names of the organisations whose KV cache is shared with no other
        one, those without a key included.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    organisations: dict[str, Organisation] | None
    limits: CallerLimits
    isolated: frozenset[str] = frozenset()

    def max_pauses(self) -> dict[str, float]:
        """Return the longest tolerated pause between events by service.

        In seconds: the shortest one of the service's routes.  Services whose
        routes tolerate any pause are left out.
        """
        pauses: dict[str, float] = {}
        for route in self.routes:
            for share in route.shares:
                if route.max_pause_s > 0:
                    known_s = pauses.get(share.service, route.max_pause_s)
                    pauses[share.service] = min(known_s, route.max_pause_s)
        return pauses

    def stores(self) -> list[StoreTraits]:
        """Return the stores of kept KV cache, sorted by name."""
        return [
            service.store
            for _name, service in sorted(self.services.items())
            if service.store is not None
        ]
