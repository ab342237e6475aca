"""Rendering of metrics in the Prometheus text format."""

from __future__ import annotations

import dataclasses

from briarseam.metrics import instruments

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

Labels = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True)
class Sample:
    """One value of a metric.

    Attributes
    ----------
    name
        Name of the metric; the sum and the count of a latency add ``_sum``
        and ``_count``.
    labels
        Pairs of a label's name and value.
    value
        The current value.
    """

    name: str
    labels: Labels
    value: float


def instrument_samples(
    name: str, labels: Labels, instrument: instruments.Instrument
) -> list[Sample]:
    """Return the current values of one instrument."""
    match instrument:
        case instruments.Latency():
            return latency_samples(name, labels, instrument.summary())
        case _:
            return [Sample(name, labels, instrument.value)]


def latency_samples(
    name: str, labels: Labels, summary: instruments.LatencySummary
) -> list[Sample]:
    """Return the quantiles, sum and count of a latency."""
    quantiles = zip(instruments.QUANTILES, summary.quantiles_us, strict=True)
    samples = [
        Sample(name, (*labels, ("quantile", f"{quantile:g}")), value_us)
        for quantile, value_us in quantiles
    ]
    samples.append(Sample(f"{name}_sum", labels, summary.sum_us))
    samples.append(Sample(f"{name}_count", labels, summary.count))
    return samples


def metric_text(name: str, help: str, kind: str, samples: list[Sample]) -> str:
    """Return the text of one metric, each line with its newline."""
    lines = [f"# HELP {name} {escape_help(help)}", f"# TYPE {name} {kind}"]
    lines.extend(sample_line(sample) for sample in samples)
    return "".join(f"{text}\n" for text in lines)


def sample_line(sample: Sample) -> str:
    """Return the line of one sample, without its newline."""
    if not sample.labels:
        return f"{sample.name} {format_value(sample.value)}"
    pairs = ",".join(
        f'{name}="{escape_label_value(value)}"'
        for name, value in sample.labels
    )
    return f"{sample.name}{{{pairs}}} {format_value(sample.value)}"


def format_value(value: float) -> str:
    """Return the text of a value, without exponent if it is integral."""
    if value != value:
        return "NaN"
    return str(int(value)) if float(value).is_integer() else repr(value)


def escape_help(text: str) -> str:
    """Return help text with backslashes and newlines escaped."""
    return text.replace("\\", "\\\\").replace("\n", "\\n")


def escape_label_value(text: str) -> str:
    """Return a label value escaped for use in double quotes."""
    return escape_help(text).replace('"', '\\"')
