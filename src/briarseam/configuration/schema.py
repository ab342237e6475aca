"""What the paths of the configuration tree hold, validated.

A path is ``kind/name``; its value is one JSON object.  This module is the
only place that knows the kinds and their fields.  It is used at the border
(before a change is published) and to give every slice a typed view of the
folded tree.
"""

from __future__ import annotations

import dataclasses
import enum
import functools
import typing

import msgspec


class SchemaError(Exception):
    """A value that does not fit its path.

    Attributes
    ----------
    path
        The path in the tree.
    expected
        What was expected, in one sentence.
    """

    def __init__(self, path: str, expected: str) -> None:
        super().__init__(f"{path}: {expected}")
        self.path = path
        self.expected = expected


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


@dataclasses.dataclass(frozen=True)
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


@dataclasses.dataclass(frozen=True)
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


@dataclasses.dataclass(frozen=True)
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
    """

    kind: EndpointKind
    address: Address
    zone: str
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    fencing: bool = False
    state: EndpointState = EndpointState.SERVING
    link_bytes_per_s: NonNegative = 0


@dataclasses.dataclass(frozen=True)
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


@dataclasses.dataclass(frozen=True)
class RoutingPolicy:
    """``policies/routing``: what the choice of an endpoint minds.

    Attributes
    ----------
    recompute_weight
        0 minds only the predicted time to first token, 1 mainly the share
        of prompt work recomputed.
    candidates
        Endpoints looked at per request.
    retry_budget
        Retries allowed as a part of first tries, per organisation.
    """

    recompute_weight: Share = 0.3
    candidates: NonNegative = 8
    retry_budget: Share = 0.1


@dataclasses.dataclass(frozen=True)
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


@dataclasses.dataclass(frozen=True)
class Cell:
    """``cells/ZONE``: how many cells a zone's agents are cut into."""

    parts: typing.Annotated[int, msgspec.Meta(ge=1, le=64)] = 1


@dataclasses.dataclass(frozen=True)
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


Value = (
    Organisation
    | Model
    | Endpoint
    | Service
    | RoutingPolicy
    | CachePolicy
    | Cell
    | Weights
)

COLLECTIONS: dict[str, type] = {
    "organisations": Organisation,
    "models": Model,
    "endpoints": Endpoint,
    "services": Service,
    "cells": Cell,
}
SINGLES: dict[str, type] = {
    "policies/routing": RoutingPolicy,
    "policies/kept-cache": CachePolicy,
    "platform/weights": Weights,
}


def value_type(path: str) -> type:
    """Return the data class that ``path`` holds.

    Raises
    ------
    SchemaError
        When no value may stand at ``path``.
    """
    if path in SINGLES:
        return SINGLES[path]
    kind, _, name = path.partition("/")
    if kind in COLLECTIONS and name and "/" not in name:
        return COLLECTIONS[kind]
    kinds = ", ".join([*sorted(COLLECTIONS), *sorted(SINGLES)])
    raise SchemaError(path, f"no such path; there are {kinds}")


def parse_value(path: str, raw: typing.Any, strict: bool = True) -> Value:
    """Return the validated value of ``path``.

    Parameters
    ----------
    path
        Where it stands.
    raw
        JSON object.
    strict
        Refuse fields that are not known; a reader that meets a newer
        release's field passes over it.

    Raises
    ------
    SchemaError
        With the path and what was expected.
    """
    kind = value_type(path)
    if not isinstance(raw, dict):
        raise SchemaError(path, "expected an object of fields")
    known = {field.name for field in dataclasses.fields(kind)}
    unknown = sorted(set(raw) - known)
    if unknown and strict:
        fields = ", ".join(sorted(known))
        raise SchemaError(path, f"unknown field {unknown[0]}; has {fields}")
    fields_known = {name: raw[name] for name in raw if name in known}
    try:
        return typing.cast("Value", msgspec.convert(fields_known, kind))
    except msgspec.ValidationError as error:
        raise SchemaError(path, str(error)) from error


@dataclasses.dataclass(frozen=True)
class View:
    """The folded tree, typed; replaced as a whole on each change.

    Attributes
    ----------
    offset
        Offset of the last configuration record folded in; 0 means none.
    """

    offset: int = 0
    organisations: typing.Mapping[str, Organisation] = dataclasses.field(
        default_factory=dict
    )
    models: typing.Mapping[str, Model] = dataclasses.field(
        default_factory=dict
    )
    endpoints: typing.Mapping[str, Endpoint] = dataclasses.field(
        default_factory=dict
    )
    services: typing.Mapping[str, Service] = dataclasses.field(
        default_factory=dict
    )
    cells: typing.Mapping[str, Cell] = dataclasses.field(default_factory=dict)
    routing: RoutingPolicy = RoutingPolicy()
    kept_cache: CachePolicy = CachePolicy()
    weights: Weights | None = None

    def organisation_of(self, token_digest: str) -> str | None:
        """Return the organisation whose token has this digest."""
        return self.by_token.get(token_digest)

    @functools.cached_property
    def by_token(self) -> typing.Mapping[str, str]:
        """Organisation names by token digest.

        A digest that two organisations hold names neither: the callers of
        one would else reach the answers of the other.
        """
        names: dict[str, str] = {}
        doubled: set[str] = set()
        for name, value in self.organisations.items():
            if names.setdefault(value.token_digest, name) != name:
                doubled.add(value.token_digest)
        return {
            digest: name
            for digest, name in names.items()
            if digest not in doubled
        }


def parse_lenient(path: str, raw: typing.Any) -> Value:
    """Return the value of ``path``, passing over fields not known.

    Raises
    ------
    SchemaError
        When it does not fit.
    """
    return parse_value(path, raw, strict=False)


def build_view(
    offset: int,
    tree: typing.Mapping[str, typing.Any],
    parse: typing.Callable[[str, typing.Any], Value] = parse_lenient,
) -> tuple[View, tuple[SchemaError, ...]]:
    """Return the typed view of a folded tree and what did not fit.

    Parameters
    ----------
    offset
        Offset of the last record in the tree.
    tree
        Raw values by path.
    parse
        Gives the typed value of a path.

    Returns
    -------
    View, tuple of SchemaError
        A value that does not fit is left out of the view and reported;
        the fold itself never depends on it.
    """
    collections: dict[str, dict[str, typing.Any]] = {
        kind: {} for kind in COLLECTIONS
    }
    singles: dict[str, typing.Any] = {}
    errors: list[SchemaError] = []
    for path, raw in tree.items():
        try:
            value = parse(path, raw)
        except SchemaError as error:
            errors.append(error)
            continue
        if path in SINGLES:
            singles[path] = value
            continue
        kind, _, name = path.partition("/")
        collections[kind][name] = value
    view = View(
        offset=offset,
        **collections,
        routing=singles.get("policies/routing", RoutingPolicy()),
        kept_cache=singles.get("policies/kept-cache", CachePolicy()),
        weights=singles.get("platform/weights"),
    )
    return view, tuple(errors)
