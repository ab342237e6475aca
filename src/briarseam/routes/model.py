"""The configuration that operators write: routes, services, organisations."""

from __future__ import annotations

import dataclasses
import enum


class Repeat(enum.StrEnum):
    """What may be done twice with a request of a route.

    ``SAFE`` requests may run more than once.  ``ONCE`` requests may run at
    most once.  ``STREAM`` requests answer with a series of events and run
    once, unless their route lets them be resumed.
    """

    SAFE = "safe"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True)
class Share:
    """A service's part of a route's requests.

    Attributes
    ----------
    service
        Name of the service.
    weight
        Relative to the route's other shares.
    """

    service: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True)
class Route:
    """Requests of one host below one path.

    Attributes
    ----------
    name
        Unique in a configuration.
    host
        Host that requests name.
    prefix
        Begins and ends with a slash.
    repeat
        What may be done twice.
    shares
        Services that answer.
    timeout_s
        Longest time that a caller is kept waiting, in seconds.
    target_latency_s
        Time to the answer, or its first event, that is aimed at.
    max_endpoints
        Endpoints that one request may be sent to.
    priority
        Rank among routes; 0 is the most urgent.
    anonymous
        Whether requests need no key.
    sessions
        Whether requests carry prompts whose parts are cached.
    resumable
        Whether another endpoint may go on with a broken stream.
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

    @property
    def idempotent(self) -> bool:
        """Whether a request of this route may run more than once."""
        return self.repeat is Repeat.SAFE or (
            self.repeat is Repeat.STREAM and self.resumable
        )


@dataclasses.dataclass(frozen=True)
class EngineTraits:
    """What the configuration says of a service of model engines.

    Attributes
    ----------
    models
        Names of the models that the engines serve.
    slots
        Requests that one engine batches.
    cache_tokens
        Tokens that fit into one engine's memory.
    token_bytes
        Size of a token's KV cache, in bytes.
    link_mbps
        Speed of an engine's link for KV cache, in Mbit/s.
    """

    models: tuple[str, ...]
    slots: int
    cache_tokens: int
    token_bytes: float
    link_mbps: float


@dataclasses.dataclass(frozen=True)
class StoreTraits:
    """What the configuration says of a store of kept KV cache.

    Attributes
    ----------
    address
        ``ip:port``.
    zone
        Availability zone.
    capacity_tokens
        Tokens that fit in.
    link_mbps
        Speed of its link, in Mbit/s.
    first_byte_s
        What each transfer waits before it begins, in seconds.
    frees_on_request
        Whether it frees parts only on request.
    """

    address: str
    zone: str
    capacity_tokens: int
    link_mbps: float
    first_byte_s: float
    frees_on_request: bool


@dataclasses.dataclass(frozen=True)
class Service:
    """A group of endpoints that answer alike, or a store.

    Attributes
    ----------
    name
        Unique in a configuration.
    health_path
        Where an endpoint tells whether it is well.
    max_connections
        Connections that one endpoint accepts from all callers together.
    engine
        Set for model engines.
    store
        Set for a store of kept KV cache.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    engine: EngineTraits | None = None
    store: StoreTraits | None = None


@dataclasses.dataclass(frozen=True)
class Organisation:
    """Who calls.

    Attributes
    ----------
    name
        Unique in a configuration.
    priority
        Rank that goes before a route's, or ``None``.
    isolated
        Whether its KV cache is shared with no other organisation.
    """

    name: str
    priority: int | None = None
    isolated: bool = False


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Bounds on what a caller may send.

    Attributes
    ----------
    header_bytes, body_bytes
        Largest headers and body.
    header_timeout_s
        Longest time for a request's headers, in seconds.
    idle_timeout_s
        Time after which an idle connection is closed, in seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of the whole configuration.

    Attributes
    ----------
    version
        Higher in each newer one.
    routes
        All routes.
    services
        By name.
    organisations
        By key; ``None`` when callers need none.
    limits
        Bounds on what callers send.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    organisations: dict[str, Organisation] | None
    limits: CallerLimits

    def stores(self) -> list[StoreTraits]:
        """Return the stores of kept KV cache, in order of their names."""
        return [
            service.store
            for _name, service in sorted(self.services.items())
            if service.store is not None
        ]
