"""The data classes of the values that paths hold."""

from __future__ import annotations

import dataclasses
import enum
import typing

import msgspec


class EndpointKind(enum.StrEnum):
    """What an endpoint does."""

    ENGINE = "engine"
    SERVICE = "service"
    STORE = "store"


class EndpointState(enum.StrEnum):
    """Whether an endpoint gets new work."""

    SERVING = "serving"
    DRAINING = "draining"


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
        blake2b-16 of the bearer token, in hex.
    weight
        Share under contention, relative to other organisations.
    max_running
        Requests running at once over the cell; 0 means no limit.
    requests_per_s
        Sustained rate over the cell; 0 means no limit.
    priority
        Best priority its requests may ask for, 0 high to 9 low.
    cache_share
        Largest part of the kept cache it may fill.
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
        Adapter to load besides the weights; empty for none.
    floor
        Least number of endpoints that keep serving during a rollout.
    max_tokens
        Most tokens one answer may have.
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
        Its availability zone.
    models
        Models an engine may serve.
    services
        Plain services it offers.
    fencing
        Whether it refuses orders with an old fencing number.
    state
        Draining endpoints get no new work.
    link_bytes_per_s
        A store's link budget; 0 means no limit.
    role
        Role an engine is ordered to take; empty leaves it as it is.
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
class Service:
    """``services/NAME``: a plain service.

    Attributes
    ----------
    non_idempotent
        Calls that may not be repeated.
    timeout_ms
        Bound on one call.
    """

    non_idempotent: tuple[str, ...] = ()
    timeout_ms: Positive = 5000


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingPolicy:
    """``policies/routing``: what the choice of an endpoint minds.

    Attributes
    ----------
    strategy
        ``predicted``, or ``round-robin`` as a baseline to measure against.
    recompute_weight
        0 minds only the predicted time to first token, 1 mainly the share
        of prompt work recomputed.
    candidates
        Endpoints looked at per request.
    retry_budget
        Retries allowed as a part of first tries, per organisation.
    queueing
        ``fair`` over organisations, or ``arrival`` (priority, then
        deadline, whoever asks) as a baseline to measure against.
    returning
        ``spaced`` gives each refused caller a time of its own to return,
        ``fixed`` tells all of them 1 s, as a baseline.
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
        ``value`` (return chance times recompute cost per byte), ``lru`` or
        ``off``.
    fill
        Part of a store's capacity to use.
    min_pieces
        Shorter prefixes are not kept.
    """

    policy: typing.Literal["value", "lru", "off"] = "value"
    fill: Share = 0.9
    min_pieces: NonNegative = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """``cells/ZONE``: how many cells a zone's agents are cut into."""

    parts: typing.Annotated[int, msgspec.Meta(ge=1, le=64)] = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Weights:
    """``platform/weights``: where weights are loaded from.

    Attributes
    ----------
    address
        ``ip:port`` of the weight store.
    max_loading
        Endpoints loading at once.
    """

    address: Address
    max_loading: typing.Annotated[int, msgspec.Meta(ge=1)] = 2
