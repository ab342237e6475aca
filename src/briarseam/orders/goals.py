"""Desired state of the engines by configuration, divided into scopes.

A scope is the set of engines that one lease holder sends orders to.  An
engine keeps one fencing number for all its models, so with a lease for
each model an order under one lease would make the engine refuse the orders
under the others.  Hence one lease covers all models of a scope.
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
    """Desired state of one model in a scope.

    Attributes
    ----------
    model, version, adapter
        What to serve; no adapter when empty.
    floor
        Least number of engines of the scope that serve at any time.
    """

    model: str
    version: str
    adapter: str
    floor: int


@dataclasses.dataclass(frozen=True)
class Target:
    """An engine that receives orders.

    Attributes
    ----------
    name, address, zone
        Of the engine.
    models
        Configured models that it should serve.
    role
        Desired role; empty leaves the role unchanged.
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
        Desired state by model.
    max_loading
        Largest number of engines of the scope that load at once.
    weights
        ``ip:port`` of the weight store, if there is one.
    """

    lease: str
    targets: tuple[Target, ...]
    goals: typing.Mapping[str, ModelGoal]
    max_loading: int
    weights: str | None

    def targets_of_model(self, model: str) -> tuple[Target, ...]:
        """Return the engines that should serve a model."""
        return tuple(
            target for target in self.targets if model in target.models
        )


def scopes_of(view: schema.View) -> tuple[Scope, ...]:
    """Return the scopes of a configuration.

    Up to ``SCOPE_ENGINES`` engines form one scope, so its holder enforces
    the floor and the loading limit exactly.  More engines are divided into
    scopes by the hash of their names.  There are at most as many scopes as
    engines may load at once, and each scope has its share of the limit and
    its share, rounded up, of the floor.
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
    """Return all engines that receive orders, in order of name.

    A draining engine is excluded because it is being removed.
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
    """Return the index of the part that an engine belongs to."""
    if parts == 1:
        return 0
    return xxhash.xxh64_intdigest(name.encode()) % parts


def goals_of(
    view: schema.View,
    targets: typing.Sequence[Target],
    chosen: typing.Sequence[Target],
) -> dict[str, ModelGoal]:
    """Return the goals of the models that the ``chosen`` engines serve."""
    goals = {}
    for name, model in view.models.items():
        in_scope = sum(name in target.models for target in chosen)
        in_total = sum(name in target.models for target in targets)
        if in_scope:
            floor = math.ceil(model.floor * in_scope / in_total)
            goals[name] = ModelGoal(name, model.version, model.adapter, floor)
    return goals
