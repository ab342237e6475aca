"""Metric instruments; all are safe to use from any thread."""

from __future__ import annotations

import dataclasses
import threading
import time
import typing

from hdrh import histogram

if typing.TYPE_CHECKING:
    import collections.abc
    import types

# With two significant figures from one microsecond to ten minutes, a
# histogram takes 25 KB.
SIGNIFICANT_FIGURES = 2
LOWEST_US = 1
HIGHEST_US = 600_000_000
US_PER_S = 1_000_000
QUANTILES = (0.5, 0.95, 0.99)


class Counter:
    """A value that never decreases.

    Attributes
    ----------
    value
        Sum of all amounts added.
    """

    def __init__(self) -> None:
        self.value = 0
        self.lock = threading.Lock()

    def add(self, amount: int = 1) -> None:
        """Add to the sum.

        Raises
        ------
        ValueError
            If the amount is negative.
        """
        if amount < 0:
            raise ValueError("counter amount must not be negative")
        with self.lock:
            self.value += amount


class Gauge:
    """A value that can increase and decrease.

    Attributes
    ----------
    value
        The current value.
    """

    def __init__(self) -> None:
        self.value = 0.0
        self.lock = threading.Lock()

    def set(self, value: float) -> None:
        """Set the value."""
        with self.lock:
            self.value = value

    def add(self, amount: float) -> None:
        """Add an amount, which may be negative, to the value."""
        with self.lock:
            self.value += amount


@dataclasses.dataclass(frozen=True)
class LatencySummary:
    """Summary of the durations that a latency has recorded.

    Attributes
    ----------
    count
        Number of durations recorded.
    sum_us
        Sum of the durations, in microseconds.
    max_us
        Longest duration, in microseconds.
    quantiles_us
        Durations at each of ``QUANTILES``, in microseconds and in the same
        order.
    """

    count: int
    sum_us: int
    max_us: int
    quantiles_us: tuple[int, ...]


class Latency:
    """A histogram of durations in microseconds.

    Durations of more than ten minutes are recorded as ten minutes.
    """

    def __init__(self) -> None:
        self.histogram = histogram.HdrHistogram(
            LOWEST_US, HIGHEST_US, SIGNIFICANT_FIGURES
        )
        self.sum_us = 0
        self.lock = threading.Lock()

    def record_us(self, duration_us: float) -> None:
        """Record a duration in microseconds; a negative one as 0."""
        clamped_us = min(max(int(duration_us), 0), HIGHEST_US)
        with self.lock:
            self.histogram.record_value(clamped_us)
            self.sum_us += clamped_us

    def record_s(self, duration_s: float) -> None:
        """Record a duration in seconds."""
        self.record_us(duration_s * US_PER_S)

    def time(self) -> Timer:
        """Return a context manager that records the duration of its body."""
        return Timer(self)

    def summary(self) -> LatencySummary:
        """Return a consistent summary of the durations recorded so far."""
        with self.lock:
            recorded = self.histogram
            return LatencySummary(
                count=recorded.get_total_count(),
                sum_us=self.sum_us,
                max_us=recorded.get_max_value(),
                quantiles_us=tuple(
                    recorded.get_value_at_percentile(quantile * 100)
                    for quantile in QUANTILES
                ),
            )


class Timer:
    """Records the duration of a ``with`` body, also when it raises."""

    def __init__(self, latency: Latency) -> None:
        self.latency = latency
        self.started_s = 0.0

    def __enter__(self) -> None:
        """Start the timer."""
        self.started_s = time.perf_counter()

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Record the time since the timer started."""
        self.latency.record_s(time.perf_counter() - self.started_s)


class CallbackGauge:
    """A gauge whose value a callback returns at each scrape."""

    def __init__(self, callback: collections.abc.Callable[[], float]) -> None:
        self.callback = callback

    @property
    def value(self) -> float:
        """The current value; NaN if the callback raises."""
        # An exception would fail the whole scrape and hide all other
        # metrics during a fault; NaN marks only this value as unavailable.
        try:
            return float(self.callback())
        except Exception:
            return float("nan")


Instrument = Counter | Gauge | Latency | CallbackGauge
