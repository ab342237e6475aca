"""Finding the route of a request and who asks."""

from __future__ import annotations

import dataclasses
import typing

import xxhash

if typing.TYPE_CHECKING:
    from briarseam.routes import model

HASH_RANGE = 2.0**64


@dataclasses.dataclass(frozen=True)
class AnonymousCaller:
    """The route asks for no key."""


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
    """The key is missing or belongs to nobody."""


Caller = AnonymousCaller | KnownCaller | UnknownCaller


class RouteTable:
    """One configuration, indexed for lookups.

    Parameters
    ----------
    configuration
        The version to serve.
    """

    def __init__(self, configuration: model.Configuration) -> None:
        self.configuration = configuration
        self.by_host: dict[str, dict[str, model.Route]] = {}
        for route in configuration.routes:
            host = self.by_host.setdefault(route.host.lower(), {})
            host[route.prefix] = route

    def find(self, host: str, path: str) -> model.Route | None:
        """Return the route with the longest prefix of a path, if any.

        Parameters
        ----------
        host
            Host as the caller named it, with or without a port.
        path
            Path without its query.
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

    def identify(self, route: model.Route, key: str) -> Caller:
        """Return who asks on a route with a key, empty if without one."""
        organisations = self.configuration.organisations
        if organisations is None:
            return AnonymousCaller()
        found = organisations.get(key) if key else None
        if found is not None:
            return KnownCaller(found)
        return AnonymousCaller() if route.anonymous else UnknownCaller()


def select_service(route: model.Route, key: str) -> str:
    """Return the service that a request goes to.

    The choice is made by hash, so that a session's requests reach the
    service that holds its KV cache as long as the weights stay.

    Parameters
    ----------
    route
        The request's route.
    key
        What to keep together: the session, or the request.
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
