"""Decodes the operators' documents: configuration and weight goals."""

from __future__ import annotations

import typing

import msgspec

from briarseam.platform import decoding
from briarseam.platform import names
from briarseam.routes import model
from briarseam.weights import goals

MS = 1000.0
REPEAT_BY_KIND = {
    "safe": model.Repeat.SAFE,
    "unsafe": model.Repeat.ONCE,
    "stream": model.Repeat.STREAM,
    # Requests with an idempotency key of the caller.  There is no claim log
    # here, so they are sent at most once.
    "keyed": model.Repeat.ONCE,
}


# A model is the key of a record as well, which has at most 255 bytes.
MAX_MODEL_BYTES = 255 - len(names.VERSION_KEY_PREFIX)

# An empty name would exclude every region without saying so.
Region = typing.Annotated[decoding.Text, msgspec.Meta(min_length=1)]


class WireShare(msgspec.Struct):
    """Share of a service in the traffic of a route."""

    service: str
    weight: decoding.Factor = 1.0


class WireRoute(msgspec.Struct, rename="camel"):
    """A route in the operators' format."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: decoding.Millis
    target_latency_ms: decoding.Millis = 0.0
    priority: decoding.Number = 0
    service: str = ""
    traffic_split: list[WireShare] = []
    max_attempts: decoding.Number = 1
    anonymous: bool = False
    # Requests carry prompt parts; they need not go to the same endpoint.
    sticky: bool = False
    resumable: bool = False
    # Longest pause between the events of an answer that is not late.
    gap_aim_ms: decoding.Millis = 0.0
    # Despite the name, without any it may be served everywhere.
    allowed_regions: list[Region] = []


class WireModel(msgspec.Struct):
    """A model that a service of engines offers."""

    name: str


class WireEngine(msgspec.Struct, rename="camel"):
    """Properties of the engines of a service."""

    slots: decoding.Number = 1
    kv_capacity_tokens: decoding.Number = 0
    kv_token_bytes: decoding.Factor = 0.0
    link_mbps: decoding.Factor = 0.0
    # Steps of an engine from one event of a stream to the next.
    stride: decoding.Number = 1
    models: list[WireModel] = []


class WireService(msgspec.Struct, rename="camel"):
    """A service; a store of KV cache if ``kvStoreAddr`` is set."""

    name: str
    health_path: str = ""
    max_connections: decoding.Number = 0
    engine: WireEngine | None = None
    kv_store_addr: str = ""
    zone: str = ""
    kv_capacity_tokens: decoding.Number = 0
    link_mbps: decoding.Factor = 0.0
    managed: bool = False
    # Limits of an endpoint after its start; without limits the time is 0.
    cold_start_s: decoding.Factor = 0.0
    cold_per_s: decoding.Factor = 0.0
    first_ms: decoding.Millis = msgspec.field(default=0.0, name="first_ms")


class WireTenant(msgspec.Struct, rename="camel"):
    """An organisation and its API keys."""

    name: str
    api_keys: list[str] = []
    priority: decoding.Number | None = None
    isolated: bool = False
    allowed_regions: list[Region] = []


class WireLimits(msgspec.Struct, rename="camel"):
    """Limits on requests of callers."""

    max_header_bytes: decoding.Number = 16384
    max_body_bytes: decoding.Number = 4194304
    header_timeout_ms: decoding.Millis = 3000.0
    idle_timeout_ms: decoding.Millis = 15000.0


class WireConfiguration(msgspec.Struct):
    """The configuration document."""

    version: decoding.Number
    routes: list[WireRoute] = []
    services: list[WireService] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: list[WireTenant] | None = None


class WireVersion(msgspec.Struct):
    """The weight version that a model must have."""

    model: str
    version: decoding.Number


def decode_configuration(data: bytes) -> model.Configuration:
    """Return the configuration in a document of the operators.

    Raises
    ------
    MalformedError
        If the document does not have its documented form.
    """
    wire = decoding.decode(data, WireConfiguration)
    return model.Configuration(
        version=wire.version,
        routes=tuple(route_of(route) for route in wire.routes),
        services={
            service.name: service_of(service) for service in wire.services
        },
        organisations=organisations_of(wire.tenants),
        limits=limits_of(wire.limits),
        isolated=isolated_of(wire.tenants),
    )


def route_of(wire: WireRoute) -> model.Route:
    """Convert a route to the project's type."""
    repeat = REPEAT_BY_KIND.get(wire.kind)
    if repeat is None:
        raise decoding.MalformedError(
            f"route {wire.name}: unknown kind {wire.kind!r}"
        )
    shares = tuple(
        model.Share(share.service, share.weight)
        for share in wire.traffic_split
    )
    return model.Route(
        name=wire.name,
        host=wire.host,
        prefix=wire.path_prefix,
        repeat=repeat,
        shares=shares or (model.Share(wire.service),),
        timeout_s=wire.timeout_ms / MS,
        target_latency_s=wire.target_latency_ms / MS,
        max_endpoints=max(1, wire.max_attempts),
        priority=wire.priority,
        anonymous=wire.anonymous,
        sessions=wire.sticky,
        resumable=wire.resumable,
        max_pause_s=wire.gap_aim_ms / MS,
        regions=regions_of(wire.allowed_regions),
    )


def regions_of(allowed: list[str]) -> model.Regions:
    """Return the allowed regions; ``None`` if there is no restriction."""
    return frozenset(allowed) or None


def service_of(wire: WireService) -> model.Service:
    """Convert a service to the project's type."""
    engine = None
    if wire.engine is not None:
        engine = model.EngineTraits(
            models=tuple(item.name for item in wire.engine.models),
            slots=wire.engine.slots,
            cache_tokens=wire.engine.kv_capacity_tokens,
            token_bytes=wire.engine.kv_token_bytes,
            link_mbps=wire.engine.link_mbps,
            steps_per_event=max(1, wire.engine.stride),
        )
    store = None
    if wire.kv_store_addr:
        store = model.StoreTraits(
            address=wire.kv_store_addr,
            zone=wire.zone,
            capacity_tokens=wire.kv_capacity_tokens,
            link_mbps=wire.link_mbps,
            first_byte_s=wire.first_ms / MS,
            frees_on_request=wire.managed,
        )
    cold_start = None
    if wire.cold_start_s > 0:
        cold_start = model.ColdStart(wire.cold_start_s, wire.cold_per_s)
    return model.Service(
        name=wire.name,
        health_path=wire.health_path,
        max_connections=wire.max_connections,
        engine=engine,
        store=store,
        cold_start=cold_start,
    )


def organisations_of(
    tenants: list[WireTenant] | None,
) -> dict[str, model.Organisation] | None:
    """Return the organisations by API key; ``None`` if none are configured."""
    if tenants is None:
        return None
    by_key: dict[str, model.Organisation] = {}
    for tenant in tenants:
        organisation = model.Organisation(
            tenant.name,
            tenant.priority,
            regions_of(tenant.allowed_regions),
        )
        by_key.update(dict.fromkeys(tenant.api_keys, organisation))
    return by_key


def isolated_of(tenants: list[WireTenant] | None) -> frozenset[str]:
    """Return the names of the isolated organisations."""
    return frozenset(
        tenant.name for tenant in tenants or () if tenant.isolated
    )


def limits_of(wire: WireLimits) -> model.CallerLimits:
    """Convert the limits on callers to the project's type."""
    return model.CallerLimits(
        header_bytes=wire.max_header_bytes,
        body_bytes=wire.max_body_bytes,
        header_timeout_s=wire.header_timeout_ms / MS,
        idle_timeout_s=wire.idle_timeout_ms / MS,
    )


def is_weight_goal(key: str) -> bool:
    """Return whether a key of the operators' topic is a weight goal."""
    return key.startswith(names.VERSION_KEY_PREFIX)


def evacuated_zone(key: str) -> str | None:
    """Return the availability zone that a key evacuates, if it does."""
    if not key.startswith(names.EVACUATION_KEY_PREFIX):
        return None
    return key.removeprefix(names.EVACUATION_KEY_PREFIX) or None


def decode_weight_goal(data: bytes) -> goals.WeightGoal:
    """Return the weight goal in a document of the operators.

    Raises
    ------
    MalformedError
        If the document does not have its documented form.
    """
    wire = decoding.decode(data, WireVersion)
    if not 0 < len(wire.model.encode()) <= MAX_MODEL_BYTES:
        raise decoding.MalformedError("model is empty or too long")
    return goals.WeightGoal(wire.model, wire.version)
