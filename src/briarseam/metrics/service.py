"""An agent's metrics, for the scrape page of its entries."""

from __future__ import annotations

import typing

from briarseam.metrics import messages

if typing.TYPE_CHECKING:
    from briarseam.metrics import registry as registries
    from briarseam.wire import connection
    from briarseam.wire import server


class MetricsService:
    """Answers with all present values.

    Parameters
    ----------
    registry
        The agent's metrics.
    """

    def __init__(self, registry: registries.Registry) -> None:
        self.registry = registry

    def register(self, router: server.Router) -> None:
        """Answer the entries."""
        router.on(messages.MetricsAsked, self.on_asked)

    def on_asked(
        self, peer: connection.Identity, asked: messages.MetricsAsked
    ) -> messages.MetricsText:
        """Return the page's text."""
        del peer, asked
        return messages.MetricsText(self.registry.render())
