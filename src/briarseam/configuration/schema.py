"""The schema of the configuration tree, and its typed view.

A path is ``kind/name``; its value is one JSON object.  Only this module
defines which kinds exist and which type each one has.  It validates changes
before they are published and gives all other packages a typed view of the
folded tree.
"""

from __future__ import annotations

import dataclasses
import functools
import typing

import msgspec

from briarseam.configuration import values


class SchemaError(Exception):
    """A value that is not valid for its path.

    Attributes
    ----------
    path
        The path in the tree.
    expected
        The expected value, in one sentence.
    """

    def __init__(self, path: str, expected: str) -> None:
        super().__init__(f"{path}: {expected}")
        self.path = path
        self.expected = expected


Value = (
    values.Organisation
    | values.Model
    | values.Endpoint
    | values.Service
    | values.RoutingPolicy
    | values.CachePolicy
    | values.Cell
    | values.Zone
    | values.Weights
)

COLLECTIONS: dict[str, type] = {
    "organisations": values.Organisation,
    "models": values.Model,
    "endpoints": values.Endpoint,
    "services": values.Service,
    "cells": values.Cell,
    "zones": values.Zone,
}
SINGLES: dict[str, type] = {
    "policies/routing": values.RoutingPolicy,
    "policies/kept-cache": values.CachePolicy,
    "platform/weights": values.Weights,
}


def value_type(path: str) -> type:
    """Return the data class of the value at ``path``.

    Raises
    ------
    SchemaError
        When the schema has no such path.
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
        Path in the tree.
    raw
        JSON object.
    strict
        Reject unknown fields; readers ignore these, since a newer release
        may have added them.

    Raises
    ------
    SchemaError
        When the value is not valid.
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
    """The typed tree; replaced as a whole on each change.

    Attributes
    ----------
    offset
        Offset of the last configuration record applied; 0 means none.
    """

    offset: int = 0
    organisations: typing.Mapping[str, values.Organisation] = (
        dataclasses.field(default_factory=dict)
    )
    models: typing.Mapping[str, values.Model] = dataclasses.field(
        default_factory=dict
    )
    endpoints: typing.Mapping[str, values.Endpoint] = dataclasses.field(
        default_factory=dict
    )
    services: typing.Mapping[str, values.Service] = dataclasses.field(
        default_factory=dict
    )
    cells: typing.Mapping[str, values.Cell] = dataclasses.field(
        default_factory=dict
    )
    zones: typing.Mapping[str, values.Zone] = dataclasses.field(
        default_factory=dict
    )
    routing: values.RoutingPolicy = values.RoutingPolicy()
    kept_cache: values.CachePolicy = values.CachePolicy()
    weights: values.Weights | None = None

    def organisation_of(self, token_digest: str) -> str | None:
        """Return the organisation whose token has this digest."""
        return self.by_token.get(token_digest)

    def is_serving(self, endpoint: values.Endpoint) -> bool:
        """Return whether an endpoint gets new work."""
        if endpoint.state is not values.EndpointState.SERVING:
            return False
        zone = self.zones.get(endpoint.zone)
        return zone is None or zone.state is values.ZoneState.SERVING

    @functools.cached_property
    def by_token(self) -> typing.Mapping[str, str]:
        """Organisation names by token digest.

        A digest that two organisations share is omitted: otherwise callers
        of one could access the answers of the other.
        """
        names: dict[str, str] = {}
        duplicates: set[str] = set()
        for name, value in self.organisations.items():
            if names.setdefault(value.token_digest, name) != name:
                duplicates.add(value.token_digest)
        return {
            digest: name
            for digest, name in names.items()
            if digest not in duplicates
        }


def make_view(
    offset: int,
    collections: typing.Mapping[str, typing.Mapping[str, typing.Any]],
    singles: typing.Mapping[str, typing.Any],
) -> View:
    """Return the view of parsed values.

    Parameters
    ----------
    offset
        Offset of the last record in the tree.
    collections
        Values by kind and name.
    singles
        Values by path, for the paths outside collections.
    """
    return View(
        offset=offset,
        **collections,
        routing=singles.get("policies/routing", values.RoutingPolicy()),
        kept_cache=singles.get("policies/kept-cache", values.CachePolicy()),
        weights=singles.get("platform/weights"),
    )


def build_view(
    offset: int, tree: typing.Mapping[str, typing.Any]
) -> tuple[View, tuple[SchemaError, ...]]:
    """Return the typed view of a complete tree and the invalid values.

    Parameters
    ----------
    offset
        Offset of the last record in the tree.
    tree
        Raw values by path.
    """
    collections: dict[str, dict[str, Value]] = {
        kind: {} for kind in COLLECTIONS
    }
    singles: dict[str, Value] = {}
    errors: list[SchemaError] = []
    for path, raw in tree.items():
        kind, _, name = path.partition("/")
        try:
            value = parse_value(path, raw, strict=False)
        except SchemaError as error:
            errors.append(error)
            continue
        if path in SINGLES:
            singles[path] = value
        else:
            collections[kind][name] = value
    return make_view(offset, collections, singles), tuple(errors)
