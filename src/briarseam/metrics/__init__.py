"""Counters, gauges and latencies, and their Prometheus text format.

Each process creates one `Registry` and passes it to all parts that record
metrics.
"""

from __future__ import annotations

from briarseam.metrics.instruments import Counter as Counter
from briarseam.metrics.instruments import Gauge as Gauge
from briarseam.metrics.instruments import Latency as Latency
from briarseam.metrics.labels import OTHER as OTHER
from briarseam.metrics.labels import Family as Family
from briarseam.metrics.registry import Registry as Registry
from briarseam.metrics.rendering import Sample as Sample

__all__ = [
    "OTHER",
    "Counter",
    "Family",
    "Gauge",
    "Latency",
    "Registry",
    "Sample",
]
