"""What the configuration wants of the engines, cut into scopes.

A scope is the engines that one lease holder gives orders to.  An engine
keeps one fencing number for all its models, so leases of several models on
the same engine would refuse each other's orders; hence one lease covers
all models of a scope.
"""

from __future__ import annotations

import dataclasses
import math
import typing

import xxhash

from briarseam.configuration import schema
from briarseam.configuration import values

SCOPE_ENGINES = 64
DEFAULT_MAX_LOADING = 2


@dataclasses.dataclass(frozen=True)
class ModelGoal:
    """What is wanted of one model in a scope.

    Attributes
    ----------
    model, version, adapter
        What to serve; no adapter when empty.
    floor
        Engines of the scope that keep serving at any time.
    """

    model: str
    version: str
    adapter: str
    floor: int


@dataclasses.dataclass(frozen=True)
class Target:
    """An engine that gets orders.

    Attributes
    ----------
    name, address, zone
        Of the engine.
    models
        Configured models that it is to serve.
    role
        Role it is to take; empty leaves it as it is.
    """

    name: str
    address: str
    zone: str
    models: tuple[str, ...]
    role: str = ""


@dataclasses.dataclass(frozen=True)
class Scope:
    """The engines under one lease.

    Attributes
    ----------
    lease
        Name of the lease.
    targets
        The engines, in order of name.
    goals
        By model.
    max_loading
        Engines of the scope that load at once.
    weights
        ``ip:port`` of the weight store, if there is one.
    """

    lease: str
    targets: tuple[Target, ...]
    goals: typing.Mapping[str, ModelGoal]
    max_loading: int
    weights: str | None

    def targets_of_model(self, model: str) -> tuple[Target, ...]:
        """Return the engines that are to serve a model."""
        return tuple(
            target for target in self.targets if model in target.models
        )


def scopes_of(view: schema.View) -> tuple[Scope, ...]:
    """Return the scopes of a configuration.

    Up to ``SCOPE_ENGINES`` engines form one scope, so its holder keeps the
    floor and the loading limit exactly.  Beyond that engines are cut by
    their names' hash into as many scopes as may load at all, and each gets
    its part of the limit and, rounded up, of the floor.
    """
    targets = targets_of(view)
    weights = view.weights
    limit = weights.max_loading if weights else DEFAULT_MAX_LOADING
    parts = max(1, min(math.ceil(len(targets) / SCOPE_ENGINES), limit))
    parts_targets: list[list[Target]] = [[] for _ in range(parts)]
    for target in targets:
        parts_targets[part_number_of(target.name, parts)].append(target)
    return tuple(
        Scope(
            lease=f"engines/{number + 1}-of-{parts}",
            targets=tuple(chosen),
            goals=goals_of(view, targets, chosen),
            max_loading=(limit + number) // parts,
            weights=weights.address if weights else None,
        )
        for number, chosen in enumerate(parts_targets)
    )


def targets_of(view: schema.View) -> tuple[Target, ...]:
    """Return all engines that get orders, in order of name.

    A draining engine gets none: it is on its way out.
    """
    return tuple(
        Target(
            name=name,
            address=endpoint.address,
            zone=endpoint.zone,
            models=tuple(
                model for model in endpoint.models if model in view.models
            ),
            role=endpoint.role,
        )
        for name, endpoint in sorted(view.endpoints.items())
        if endpoint.kind is values.EndpointKind.ENGINE
        and endpoint.state is values.EndpointState.SERVING
    )


def part_number_of(name: str, parts: int) -> int:
    """Return which part an engine belongs to."""
    if parts == 1:
        return 0
    return xxhash.xxh64_intdigest(name.encode()) % parts


def goals_of(
    view: schema.View,
    targets: typing.Sequence[Target],
    chosen: typing.Sequence[Target],
) -> dict[str, ModelGoal]:
    """Return what is wanted of each model that ``chosen`` serve."""
    goals = {}
    for name, model in view.models.items():
        in_scope = sum(name in target.models for target in chosen)
        in_total = sum(name in target.models for target in targets)
        if in_scope:
            floor = math.ceil(model.floor * in_scope / in_total)
            goals[name] = ModelGoal(name, model.version, model.adapter, floor)
    return goals
