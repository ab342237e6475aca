"""Registry of all metrics of a process."""

from __future__ import annotations

import dataclasses
import re
import threading
import typing

from briarseam.metrics import instruments
from briarseam.metrics import labels
from briarseam.metrics import rendering

if typing.TYPE_CHECKING:
    import collections.abc

MAX_LABEL_VALUES = 64
# Each label value has its own histogram of 25 KB.
MAX_LATENCY_LABEL_VALUES = 16

NAME_PATTERN = re.compile(r"[a-z][a-z0-9_]*")
COUNTER_SUFFIX = "_total"
LATENCY_SUFFIX = "_us"

InstrumentT = typing.TypeVar("InstrumentT", bound=instruments.Instrument)
AnyFamily = (
    labels.Family[instruments.Counter]
    | labels.Family[instruments.Gauge]
    | labels.Family[instruments.Latency]
    | labels.Family[instruments.CallbackGauge]
)


@dataclasses.dataclass(frozen=True)
class Metric:
    """A named metric and its instruments.

    Attributes
    ----------
    name
        Name, with the unit as its suffix.
    help
        Description for operators, in one sentence.
    kind
        Prometheus metric type.
    family
        Instruments by label values.
    """

    name: str
    help: str
    kind: str
    family: AnyFamily


class Registry:
    """Metrics of a process; safe to use from any thread.

    Names of counters end in ``_total``, those of latencies in ``_us``.

    Parameters
    ----------
    max_label_values
        Maximum number of distinct values of a label; further values are
        replaced by ``other``.
    """

    def __init__(self, max_label_values: int = MAX_LABEL_VALUES) -> None:
        self.max_label_values = max_label_values
        self.metrics: dict[str, Metric] = {}
        self.lock = threading.Lock()

    def counter(self, name: str, help: str) -> instruments.Counter:
        """Register a counter and return it."""
        return self.counters(name, help, ()).labelled()

    def counters(
        self, name: str, help: str, label_names: tuple[str, ...]
    ) -> labels.Family[instruments.Counter]:
        """Register a family of counters and return it."""
        require_suffix(name, COUNTER_SUFFIX)
        family = labels.Family(
            instruments.Counter, label_names, self.max_label_values
        )
        self.add(Metric(name, help, "counter", family))
        return family

    def gauge(self, name: str, help: str) -> instruments.Gauge:
        """Register a gauge and return it."""
        return self.gauges(name, help, ()).labelled()

    def gauges(
        self, name: str, help: str, label_names: tuple[str, ...]
    ) -> labels.Family[instruments.Gauge]:
        """Register a family of gauges and return it."""
        family = labels.Family(
            instruments.Gauge, label_names, self.max_label_values
        )
        self.add(Metric(name, help, "gauge", family))
        return family

    def callback_gauge(
        self,
        name: str,
        help: str,
        callback: collections.abc.Callable[[], float],
    ) -> None:
        """Register a gauge whose value a callback returns at each scrape."""
        family = labels.Family(
            lambda: instruments.CallbackGauge(callback), (), 1
        )
        family.labelled()
        self.add(Metric(name, help, "gauge", family))

    def latency(self, name: str, help: str) -> instruments.Latency:
        """Register a latency in microseconds and return it."""
        return self.latencies(name, help, ()).labelled()

    def latencies(
        self, name: str, help: str, label_names: tuple[str, ...]
    ) -> labels.Family[instruments.Latency]:
        """Register a family of latencies in microseconds and return it."""
        require_suffix(name, LATENCY_SUFFIX)
        max_values = min(self.max_label_values, MAX_LATENCY_LABEL_VALUES)
        family = labels.Family(instruments.Latency, label_names, max_values)
        self.add(Metric(name, help, "summary", family))
        return family

    def add(self, metric: Metric) -> None:
        """Register a metric.

        Raises
        ------
        ValueError
            If its name or a label's name is malformed, or the name is
            already registered.
        """
        for name in (metric.name, *metric.family.label_names):
            if not NAME_PATTERN.fullmatch(name):
                raise ValueError(f"invalid metric or label name: {name!r}")
        with self.lock:
            if metric.name in self.metrics:
                raise ValueError(f"metric {metric.name} is already registered")
            self.metrics[metric.name] = metric

    def samples(self) -> list[rendering.Sample]:
        """Return the current values, metrics in order of registration."""
        return [
            sample
            for metric in self.all_metrics()
            for sample in metric_samples(metric)
        ]

    def render(self) -> str:
        """Return the current values in the Prometheus text format."""
        parts = [
            rendering.metric_text(
                metric.name, metric.help, metric.kind, metric_samples(metric)
            )
            for metric in self.all_metrics()
        ]
        return "".join(parts)

    def all_metrics(self) -> list[Metric]:
        """Return the metrics in order of registration."""
        with self.lock:
            return list(self.metrics.values())


def require_suffix(name: str, suffix: str) -> None:
    """Raise `ValueError` if a metric's name does not end in a suffix."""
    if not name.endswith(suffix):
        raise ValueError(f"{name!r} must end in {suffix!r}")


def metric_samples(metric: Metric) -> list[rendering.Sample]:
    """Return the current values of one metric."""
    samples: list[rendering.Sample] = []
    for values, instrument in metric.family.items():
        pairs = tuple(zip(metric.family.label_names, values, strict=True))
        samples.extend(
            rendering.instrument_samples(metric.name, pairs, instrument)
        )
    return samples
