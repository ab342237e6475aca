"""HTTP handlers that need no endpoint: readiness, lookups, metrics."""

from __future__ import annotations

import typing

from briarseam.metrics import rendering
from briarseam.platform import answers

if typing.TYPE_CHECKING:
    from briarseam.forwarding import server as http
    from briarseam.lookup import zonal
    from briarseam.metrics import registry as registries

OK = 200
NOT_FOUND = 404
NOT_READY = 503
# Callers keep trying an instance that failed for this long.
LOOKUP_TTL_S = 2.0


class LocalHandlers:
    """Answers readiness probes, lookups and scrapes of metrics.

    Parameters
    ----------
    is_ready
        Returns whether callers may be directed to this instance.
    lookup
        Finds the addresses that callers should use.
    own_address
        The address of this instance for callers.
    max_ttl_s
        Returns the maximum time for which callers keep addresses, in
        seconds.
    registry
        The metrics.
    """

    def __init__(
        self,
        is_ready: typing.Callable[[], bool],
        lookup: zonal.ZonalLookup,
        own_address: str,
        max_ttl_s: typing.Callable[[], float],
        registry: registries.Registry,
    ) -> None:
        self.is_ready = is_ready
        self.lookup = lookup
        self.own_address = own_address
        self.max_ttl_s = max_ttl_s
        self.registry = registry

    def readiness(self, exchange: http.Exchange) -> None:
        """Answer a readiness probe."""
        if not answers.is_readiness(exchange.target):
            exchange.answer(NOT_FOUND, (), b"")
            return
        exchange.answer(OK if self.is_ready() else NOT_READY, (), b"")

    def addresses(self, exchange: http.Exchange) -> None:
        """Answer a lookup with the addresses that the caller should use."""
        query = answers.decode_lookup(exchange.target)
        if query is None:
            exchange.answer(NOT_FOUND, (), b"")
            return
        addresses = self.lookup.addresses(
            query.zone, exchange.caller_ip, query.region
        )
        if not addresses and self.is_ready():
            addresses = [self.own_address]
        if not addresses:
            exchange.answer(NOT_READY, (), b"")
            return
        ttl_s = min(LOOKUP_TTL_S, self.max_ttl_s())
        body = answers.encode_addresses(addresses, ttl_s)
        exchange.answer(OK, (("Content-Type", answers.JSON),), body)

    def scrape(self, exchange: http.Exchange) -> None:
        """Answer a scrape with the metrics."""
        headers = (("Content-Type", rendering.CONTENT_TYPE),)
        exchange.answer(OK, headers, self.registry.render().encode())
