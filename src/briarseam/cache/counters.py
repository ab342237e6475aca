"""Counters of the kept cache in the process's metrics registry."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from briarseam.metrics import registry as metrics

BYTES_ENDING = "_bytes"


class RegistryCounters:
    """Counts events and bytes in two metrics, each with a label.

    Parameters
    ----------
    registry
        The process's metrics.
    """

    def __init__(self, registry: metrics.Registry) -> None:
        self.events = registry.counters(
            "kept_cache_events_total",
            "What the kept cache has done and met, by event.",
            ("event",),
        )
        self.bytes = registry.counters(
            "kept_cache_bytes_total",
            "Bytes moved between engines and stores, by direction.",
            ("direction",),
        )

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter; names that end in ``_bytes`` count bytes."""
        if name.endswith(BYTES_ENDING):
            direction = name.removesuffix(BYTES_ENDING)
            self.bytes.labelled(direction).add(amount)
            return
        self.events.labelled(name).add(amount)
