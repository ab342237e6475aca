"""All metrics of one process."""

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
# A histogram takes 25 KB, and one is made for each label value.
MAX_LATENCY_LABEL_VALUES = 16

NAME = re.compile(r"[a-z][a-z0-9_]*")
COUNTER_ENDING = "_total"
LATENCY_ENDING = "_us"

Made = typing.TypeVar("Made", bound=instruments.Instrument)
AnyFamily = (
    labels.Family[instruments.Counter]
    | labels.Family[instruments.Gauge]
    | labels.Family[instruments.Latency]
    | labels.Family[instruments.CallbackGauge]
)


@dataclasses.dataclass(frozen=True)
class Metric:
    """One name with its instruments.

    Attributes
    ----------
    name
        Name, with its unit.
    help
        One sentence for operators.
    kind
        Prometheus type.
    family
        Instruments by label values.
    """

    name: str
    help: str
    kind: str
    family: AnyFamily


class Registry:
    """The metrics of one process; may be used from any thread.

    Names carry their unit: counters end in ``_total``, latencies in ``_us``.

    Parameters
    ----------
    max_label_values
        Distinct values kept of one label; further ones count as ``other``.
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
        """Register counters that differ by labels."""
        require_ending(name, COUNTER_ENDING)
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
        """Register gauges that differ by labels."""
        family = labels.Family(
            instruments.Gauge, label_names, self.max_label_values
        )
        self.add(Metric(name, help, "gauge", family))
        return family

    def callback_gauge(
        self,
        name: str,
        help: str,
        read: collections.abc.Callable[[], float],
    ) -> None:
        """Register a gauge whose value is read at each scrape."""
        family = labels.Family(lambda: instruments.CallbackGauge(read), (), 1)
        family.labelled()
        self.add(Metric(name, help, "gauge", family))

    def latency(self, name: str, help: str) -> instruments.Latency:
        """Register a latency, microseconds, and return it."""
        return self.latencies(name, help, ()).labelled()

    def latencies(
        self, name: str, help: str, label_names: tuple[str, ...]
    ) -> labels.Family[instruments.Latency]:
        """Register latencies, microseconds, that differ by labels."""
        require_ending(name, LATENCY_ENDING)
        bound = min(self.max_label_values, MAX_LATENCY_LABEL_VALUES)
        family = labels.Family(instruments.Latency, label_names, bound)
        self.add(Metric(name, help, "summary", family))
        return family

    def add(self, metric: Metric) -> None:
        """Register a metric.

        Raises
        ------
        ValueError
            If its name or a label's is malformed, or the name is taken.
        """
        for name in (metric.name, *metric.family.label_names):
            if not NAME.fullmatch(name):
                raise ValueError(f"{name!r} is no metric or label name")
        with self.lock:
            if metric.name in self.metrics:
                raise ValueError(f"{metric.name} is registered already")
            self.metrics[metric.name] = metric

    def samples(self) -> list[rendering.Sample]:
        """Return all present values, metrics in order of registration."""
        return [
            sample
            for metric in self.all_metrics()
            for sample in metric_samples(metric)
        ]

    def render(self) -> str:
        """Return all present values as Prometheus text."""
        parts = [
            rendering.block(
                metric.name, metric.help, metric.kind, metric_samples(metric)
            )
            for metric in self.all_metrics()
        ]
        return "".join(parts)

    def all_metrics(self) -> list[Metric]:
        """Return the metrics in order of registration."""
        with self.lock:
            return list(self.metrics.values())


def require_ending(name: str, ending: str) -> None:
    """Raise if a name does not tell its unit."""
    if not name.endswith(ending):
        raise ValueError(f"{name!r} must end in {ending!r}")


def metric_samples(metric: Metric) -> list[rendering.Sample]:
    """Return the present values of one metric."""
    samples: list[rendering.Sample] = []
    for values, instrument in metric.family.items():
        pairs = tuple(zip(metric.family.label_names, values, strict=True))
        samples.extend(
            rendering.instrument_samples(metric.name, pairs, instrument)
        )
    return samples
