"""What counts and measures; each may be used from any thread."""

from __future__ import annotations

import dataclasses
import threading
import time
import typing

from hdrh import histogram

if typing.TYPE_CHECKING:
    import collections.abc
    import types

# Two significant figures over a microsecond to ten minutes: 25 KB a
# histogram.
SIGNIFICANT_FIGURES = 2
LOWEST_US = 1
HIGHEST_US = 600_000_000
US_PER_S = 1_000_000
QUANTILES = (0.5, 0.95, 0.99)


class Counter:
    """A number that only grows.

    Attributes
    ----------
    value
        Sum of what was added.
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
            raise ValueError("a counter only grows")
        with self.lock:
            self.value += amount


class Gauge:
    """A number that goes up and down.

    Attributes
    ----------
    value
        The present value.
    """

    def __init__(self) -> None:
        self.value = 0.0
        self.lock = threading.Lock()

    def set(self, value: float) -> None:
        """Replace the present value."""
        with self.lock:
            self.value = value

    def add(self, amount: float) -> None:
        """Change the present value by an amount, which may be negative."""
        with self.lock:
            self.value += amount


@dataclasses.dataclass(frozen=True)
class LatencySummary:
    """What a latency has recorded so far.

    Attributes
    ----------
    count
        Number of recordings.
    sum_us
        Their sum, microseconds.
    max_us
        The longest, microseconds.
    quantiles_us
        Microseconds for each of ``QUANTILES``, in their order.
    """

    count: int
    sum_us: int
    max_us: int
    quantiles_us: tuple[int, ...]


class Latency:
    """A histogram of durations in microseconds.

    Durations beyond ten minutes count as ten minutes.
    """

    def __init__(self) -> None:
        self.histogram = histogram.HdrHistogram(
            LOWEST_US, HIGHEST_US, SIGNIFICANT_FIGURES
        )
        self.sum_us = 0
        self.lock = threading.Lock()

    def record_us(self, duration_us: float) -> None:
        """Record a duration in microseconds; a negative one counts as 0."""
        whole_us = min(max(int(duration_us), 0), HIGHEST_US)
        with self.lock:
            self.histogram.record_value(whole_us)
            self.sum_us += whole_us

    def record_s(self, duration_s: float) -> None:
        """Record a duration in seconds."""
        self.record_us(duration_s * US_PER_S)

    def time(self) -> Timing:
        """Return a context manager that records how long its body takes."""
        return Timing(self)

    def summary(self) -> LatencySummary:
        """Return what was recorded so far, consistent in itself."""
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


class Timing:
    """Records how long a ``with`` body takes, also when it raises."""

    def __init__(self, latency: Latency) -> None:
        self.latency = latency
        self.started_s = 0.0

    def __enter__(self) -> None:
        """Start the clock."""
        self.started_s = time.perf_counter()

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Record the time since the start."""
        self.latency.record_s(time.perf_counter() - self.started_s)


class CallbackGauge:
    """A gauge whose value is read when it is scraped."""

    def __init__(self, read: collections.abc.Callable[[], float]) -> None:
        self.read = read

    @property
    def value(self) -> float:
        """The present value; NaN when it can't be read."""
        # One reading that raises would fail the whole scrape and hide all
        # other metrics just when something is wrong; NaN marks only it.
        try:
            return float(self.read())
        except Exception:
            return float("nan")


Instrument = Counter | Gauge | Latency | CallbackGauge
