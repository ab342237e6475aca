"""Data classes of the values in the configuration tree."""

from __future__ import annotations

import dataclasses
import enum
import typing

import msgspec


class EndpointKind(enum.StrEnum):
    """The kind of an endpoint."""

    ENGINE = "engine"
    SERVICE = "service"
    STORE = "store"


class EndpointState(enum.StrEnum):
    """Whether an endpoint gets new work."""

    SERVING = "serving"
    DRAINING = "draining"


class ZoneState(enum.StrEnum):
    """Whether the endpoints of an availability zone get new work."""

    SERVING = "serving"
    EVACUATED = "evacuated"


Share = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Positive = typing.Annotated[float, msgspec.Meta(gt=0.0)]
NonNegative = typing.Annotated[int, msgspec.Meta(ge=0)]
PriorityLevel = typing.Annotated[int, msgspec.Meta(ge=0, le=9)]
Digest = typing.Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{32}$")]
Address = typing.Annotated[
    str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
]


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """``organisations/NAME``: a customer and its limits.

    Attributes
    ----------
    token_digest
        blake2b digest of the bearer token, 16 bytes in hex.
    weight
        Share under contention, relative to other organisations.
    max_running
        Maximum number of concurrent requests in the cell; 0 means no limit.
    requests_per_s
        Maximum sustained rate in the cell; 0 means no limit.
    priority
        Highest priority that its requests may have, from 0 (high) to 9
        (low).
    cache_share
        Maximum share of the kept cache.
    """

    token_digest: Digest
    weight: Positive = 1.0
    max_running: NonNegative = 0
    requests_per_s: float = 0.0
    priority: PriorityLevel = 5
    cache_share: Share = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """``models/NAME``: a model and the weight version to serve.

    Attributes
    ----------
    version
        Weight version for new requests.
    adapter
        Adapter to load in addition to the weights; empty for none.
    floor
        Minimum number of endpoints that keep serving during a rollout.
    max_tokens
        Maximum number of tokens of an answer.
    """

    version: str
    adapter: str = ""
    floor: NonNegative = 1
    max_tokens: NonNegative = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """``endpoints/NAME``: a back end.

    Attributes
    ----------
    kind
        Engine, service or store.
    address
        ``ip:port``.
    zone
        Availability zone.
    models
        Models that an engine may serve.
    services
        Plain services that the endpoint offers.
    fencing
        Whether the endpoint refuses orders with an old fencing number.
    state
        Draining endpoints get no new work.
    link_bytes_per_s
        Bandwidth budget of a store's link; 0 means no limit.
    role
        Role that an engine is ordered to take; empty for no change.
    """

    kind: EndpointKind
    address: Address
    zone: str
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    fencing: bool = False
    state: EndpointState = EndpointState.SERVING
    link_bytes_per_s: NonNegative = 0
    role: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Zone:
    """``zones/NAME``: an availability zone.

    Attributes
    ----------
    state
        Endpoints of an evacuated zone get no new work; runs there finish.
    """

    state: ZoneState = ZoneState.SERVING


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """``services/NAME``: a plain service.

    Attributes
    ----------
    non_idempotent
        Names of the calls that must not be repeated.
    timeout_ms
        Timeout of a call, in ms.
    """

    non_idempotent: tuple[str, ...] = ()
    timeout_ms: Positive = 5000


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingPolicy:
    """``policies/routing``: how endpoints are selected for requests.

    Attributes
    ----------
    strategy
        ``predicted``, or ``round-robin`` as a baseline for benchmarks.
    recompute_weight
        0 considers only the predicted time to first token, 1 mainly the
        share of the prompt that is recomputed.
    candidates
        Number of endpoints considered per request.
    retry_budget
        Maximum ratio of retries to first attempts, per organisation.
    queueing
        ``fair`` between organisations, or ``arrival`` (by priority, then
        deadline, regardless of the organisation) as a baseline for
        benchmarks.
    returning
        ``spaced`` gives each refused caller a different retry time;
        ``fixed`` gives all of them 1 s, as a baseline for benchmarks.
    """

    strategy: typing.Literal["predicted", "round-robin"] = "predicted"
    recompute_weight: Share = 0.3
    candidates: NonNegative = 8
    retry_budget: Share = 0.1
    queueing: typing.Literal["fair", "arrival"] = "fair"
    returning: typing.Literal["spaced", "fixed"] = "spaced"


@dataclasses.dataclass(frozen=True, slots=True)
class CachePolicy:
    """``policies/kept-cache``: what is kept in the stores.

    Attributes
    ----------
    policy
        ``value`` (probability of a return times recompute cost per byte),
        ``lru`` or ``off``.
    fill
        Fraction of a store's capacity to use.
    min_pieces
        Minimum length of a kept prefix, in pieces.
    """

    policy: typing.Literal["value", "lru", "off"] = "value"
    fill: Share = 0.9
    min_pieces: NonNegative = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """``cells/ZONE``: the number of cells that a zone is divided into."""

    parts: typing.Annotated[int, msgspec.Meta(ge=1, le=64)] = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Weights:
    """``platform/weights``: the store that weights are loaded from.

    Attributes
    ----------
    address
        ``ip:port`` of the weight store.
    max_loading
        Maximum number of endpoints that load concurrently.
    """

    address: Address
    max_loading: typing.Annotated[int, msgspec.Meta(ge=1)] = 2
