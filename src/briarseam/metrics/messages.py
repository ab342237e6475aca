"""Messages by which an entry's page shows its agent's metrics too."""

from __future__ import annotations

import dataclasses

from briarseam.wire import codec


@codec.message("metrics-asked")
@dataclasses.dataclass(frozen=True)
class MetricsAsked:
    """Ask an agent for its metrics."""


@codec.message("metrics-text")
@dataclasses.dataclass(frozen=True)
class MetricsText:
    """All present values, as the scrape page has them."""

    text: str
