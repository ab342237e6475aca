"""Finds the route and the caller of a request."""

from __future__ import annotations

import dataclasses
import typing

import xxhash

if typing.TYPE_CHECKING:
    from briarseam.routes import model

HASH_RANGE = 2.0**64


@dataclasses.dataclass(frozen=True)
class AnonymousCaller:
    """The caller needs no key on the route."""


@dataclasses.dataclass(frozen=True)
class KnownCaller:
    """The key belongs to an organisation."""

    organisation: model.Organisation

    @property
    def name(self) -> str:
        """Name of the organisation."""
        return self.organisation.name


@dataclasses.dataclass(frozen=True)
class UnknownCaller:
    """The key is missing or belongs to no organisation."""


Caller = AnonymousCaller | KnownCaller | UnknownCaller


class RouteTable:
    """A configuration indexed by host and path prefix.

    Parameters
    ----------
    configuration
        The configuration to index.
    """

    def __init__(self, configuration: model.Configuration) -> None:
        self.configuration = configuration
        self.by_host: dict[str, dict[str, model.Route]] = {}
        self.by_name = {route.name: route for route in configuration.routes}
        for route in configuration.routes:
            host = self.by_host.setdefault(route.host.lower(), {})
            host[route.prefix] = route

    def find(self, host: str, path: str) -> model.Route | None:
        """Return the route with the longest prefix of a path, if any.

        Parameters
        ----------
        host
            Host header of the request, with or without a port.
        path
            Path without the query string.
        """
        prefixes = self.by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end) + 1
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end -= 1
        return None

    def with_regions(self, route: model.Route) -> model.Route:
        """Return a route of an older configuration with its regions now.

        A route that is gone keeps its regions.
        """
        now = self.by_name.get(route.name, route)
        if now.regions == route.regions:
            return route
        return dataclasses.replace(route, regions=now.regions)

    def newest(
        self, organisation: model.Organisation, key: str
    ) -> model.Organisation:
        """Return an organisation of an older configuration as it is now.

        One whose key is gone, or has another organisation, stays as it was.
        """
        now = (self.configuration.organisations or {}).get(key)
        if now is None or now.name != organisation.name:
            return organisation
        return now

    def identify(self, route: model.Route, key: str) -> Caller:
        """Return the caller on a route by its key, empty if it sent none."""
        organisations = self.configuration.organisations
        if organisations is None:
            return AnonymousCaller()
        organisation = organisations.get(key) if key else None
        if organisation is not None:
            return KnownCaller(organisation)
        return AnonymousCaller() if route.anonymous else UnknownCaller()


def select_service(route: model.Route, key: str) -> str:
    """Return the service that a request goes to.

    The service is chosen by hash, so that a session's requests reach the
    service that holds its KV cache as long as the weights do not change.

    Parameters
    ----------
    route
        The request's route.
    key
        Requests with the same key go to the same service: the session or
        the request.
    """
    shares = [share for share in route.shares if share.weight > 0]
    if len(shares) == 1:
        return shares[0].service
    if not shares:
        return ""
    total = sum(share.weight for share in shares)
    hashed = xxhash.xxh3_64_intdigest(f"{route.name}\0{key}".encode())
    point = hashed / HASH_RANGE * total
    for share in shares:
        point -= share.weight
        if point < 0:
            return share.service
    return shares[-1].service
