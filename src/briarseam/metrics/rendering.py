"""The plain text that a Prometheus scrape reads."""

from __future__ import annotations

import dataclasses

from briarseam.metrics import instruments

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

Labels = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True)
class Sample:
    """One present value.

    Attributes
    ----------
    name
        Name, with its unit.
    labels
        Pairs of label name and value.
    value
        The value.
    """

    name: str
    labels: Labels
    value: float


def instrument_samples(
    name: str, labels: Labels, instrument: instruments.Instrument
) -> list[Sample]:
    """Return the present values of one instrument."""
    match instrument:
        case instruments.Latency():
            return latency_samples(name, labels, instrument.summary())
        case _:
            return [Sample(name, labels, instrument.value)]


def latency_samples(
    name: str, labels: Labels, summary: instruments.LatencySummary
) -> list[Sample]:
    """Return quantiles, sum and count of a latency."""
    quantiles = zip(instruments.QUANTILES, summary.quantiles_us, strict=True)
    samples = [
        Sample(name, (*labels, ("quantile", f"{quantile:g}")), value_us)
        for quantile, value_us in quantiles
    ]
    samples.append(Sample(f"{name}_sum", labels, summary.sum_us))
    samples.append(Sample(f"{name}_count", labels, summary.count))
    return samples


def block(name: str, help: str, kind: str, samples: list[Sample]) -> str:
    """Return the lines of one metric, each with its line end."""
    lines = [f"# HELP {name} {escaped(help)}", f"# TYPE {name} {kind}"]
    lines.extend(line(sample) for sample in samples)
    return "".join(f"{text}\n" for text in lines)


def line(sample: Sample) -> str:
    """Return the line of one value."""
    if not sample.labels:
        return f"{sample.name} {number(sample.value)}"
    pairs = ",".join(
        f'{name}="{quoted(value)}"' for name, value in sample.labels
    )
    return f"{sample.name}{{{pairs}}} {number(sample.value)}"


def number(value: float) -> str:
    """Return a value without an exponent where it is whole."""
    if value != value:
        return "NaN"
    return str(int(value)) if float(value).is_integer() else repr(value)


def escaped(text: str) -> str:
    """Return help text on one line."""
    return text.replace("\\", "\\\\").replace("\n", "\\n")


def quoted(text: str) -> str:
    """Return a label value as it stands between quotes."""
    return escaped(text).replace('"', '\\"')
