"""Messages by which an entry adds its agent's metrics to its scrape page."""

from __future__ import annotations

import dataclasses

from briarseam.wire import codec


@codec.message("metrics-asked")
@dataclasses.dataclass(frozen=True)
class MetricsAsked:
    """Query the metrics of an agent."""


@codec.message("metrics-text")
@dataclasses.dataclass(frozen=True)
class MetricsText:
    """The current values of an agent's metrics.

    Attributes
    ----------
    text
        The values in the Prometheus text format.
    """

    text: str
