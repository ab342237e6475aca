"""Serves an agent's metrics to the scrape pages of its entries."""

from __future__ import annotations

import typing

from briarseam.metrics import messages

if typing.TYPE_CHECKING:
    from briarseam.metrics import registry as registries
    from briarseam.wire import connection
    from briarseam.wire import server


class MetricsService:
    """Answers metrics queries.

    Parameters
    ----------
    registry
        The agent's metrics.
    """

    def __init__(self, registry: registries.Registry) -> None:
        self.registry = registry

    def register(self, router: server.Router) -> None:
        """Register the handler of metrics queries."""
        router.on(messages.MetricsAsked, self.on_query)

    def on_query(
        self, peer: connection.Identity, query: messages.MetricsAsked
    ) -> messages.MetricsText:
        """Return the metrics in the Prometheus text format."""
        del peer, query
        return messages.MetricsText(self.registry.render())
