"""Speeds of services and of their endpoints."""

from __future__ import annotations

import dataclasses
import math
import threading
import typing

from briarseam import clocks
from briarseam.prediction import clear_time
from briarseam.prediction import floor_time
from briarseam.prediction import prefill_time

MIN_RATIO = 0.5
MAX_RATIO = 8.0
# An endpoint without new samples is given another chance after some seconds:
# one that was slow may have recovered.
HALF_LIFE_S = 10.0
# Weight of the ratio 1 in each average, in samples.  Without it, one prompt
# that waited behind unknown work would make its endpoint count as slow.
PRIOR_SAMPLES = 1.0


class Speed(typing.NamedTuple):
    """Speed of a service's endpoints at one moment.

    Attributes
    ----------
    s_per_token
        Time to prefill a token without other work, in seconds.
    floor_s
        Median time to a first event of a prompt with few tokens, in seconds.
    """

    s_per_token: float
    floor_s: float


@dataclasses.dataclass
class RatioAverage:
    """Decaying average of the logarithms of an endpoint's ratios.

    Logarithms keep one prompt that took ten times as long from outweighing
    several that took as long as predicted.

    Attributes
    ----------
    weight
        Number of samples, each halved every `HALF_LIFE_S`.
    total
        Sum of the logarithms, with the same weights.
    at_s
        Time to which both apply.
    """

    weight: float = 0.0
    total: float = 0.0
    at_s: float = 0.0

    def add(self, ratio: float, now_s: float) -> None:
        """Add a sample."""
        decay = decay_of(now_s - self.at_s)
        bounded = min(max(ratio, MIN_RATIO), MAX_RATIO)
        self.weight = self.weight * decay + 1.0
        self.total = self.total * decay + math.log(bounded)
        self.at_s = now_s

    def value(self, now_s: float) -> float:
        """Return the average, which returns to 1 without new samples."""
        decay = decay_of(now_s - self.at_s)
        weight = self.weight * decay + PRIOR_SAMPLES
        return math.exp(self.total * decay / weight)


def decay_of(age_s: float) -> float:
    """Return the weight that remains of a sample after a time."""
    return math.pow(0.5, max(age_s, 0.0) / HALF_LIFE_S)


class Rates:
    """Speeds of services, and ratios of endpoints; thread-safe.

    Parameters
    ----------
    clock
        Seconds.
    """

    def __init__(
        self, clock: typing.Callable[[], float] = clocks.boot_clock
    ) -> None:
        self.clock = clock
        self.prefill_times = prefill_time.PrefillTimes()
        self.clear_times: dict[str, clear_time.ClearTime] = {}
        self.floors: dict[str, floor_time.FloorTime] = {}
        self.ratios: dict[str, RatioAverage] = {}
        self.lock = threading.Lock()

    def floor_of(self, service: str) -> floor_time.FloorTime:
        """Return the time to first events of small prompts of a service."""
        # If two threads get here at once, the first one's object stays.
        return self.floors.setdefault(service, floor_time.FloorTime())

    def clear_time_of(self, service: str) -> clear_time.ClearTime:
        """Return the time to prefill a token of a service."""
        # If two threads get here at once, the first one's object stays.
        return self.clear_times.setdefault(service, clear_time.ClearTime())

    def speed(self, service: str) -> Speed:
        """Return the present speed of a service's endpoints."""
        return Speed(
            self.clear_time_of(service).seconds(),
            self.floor_of(service).floor_s,
        )

    def ratio(self, endpoint: str) -> float:
        """Return the ratio of actual to predicted times at an endpoint."""
        return self.ratios_of([endpoint])[0]

    def ratios_of(self, endpoints: typing.Iterable[str]) -> list[float]:
        """Return the ratios of several endpoints, read at one moment."""
        now_s = self.clock()
        with self.lock:
            find = self.ratios.get
            return [
                1.0
                if (average := find(name)) is None
                else average.value(now_s)
                for name in endpoints
            ]

    def record(
        self, service: str, endpoint: str, tokens: int, took_s: float
    ) -> None:
        """Add a sample of a prompt that fetched nothing.

        Parameters
        ----------
        service, endpoint
            The service, and the start of an endpoint that answered.
        tokens
            Tokens that had to be prefilled until the first event.
        took_s
            Time to the first event, in seconds.
        """
        speed = self.speed(service)
        prefill_s = tokens * speed.s_per_token
        if tokens < prefill_time.MIN_SAMPLE_TOKENS:
            self.floor_of(service).record(took_s - prefill_s)
            return
        clear_s = took_s - speed.floor_s
        self.prefill_times.of(service).record(tokens, clear_s)
        self.clear_time_of(service).record(tokens, clear_s)
        ratio = took_s / (prefill_s + speed.floor_s)
        now_s = self.clock()
        with self.lock:
            average = self.ratios.setdefault(endpoint, RatioAverage())
            average.add(ratio, now_s)

    def forget(self, endpoint: str) -> None:
        """Drop the start of an endpoint that is gone."""
        with self.lock:
            self.ratios.pop(endpoint, None)

    def keep_only(self, endpoints: typing.Collection[str]) -> None:
        """Drop all endpoints but these.

        A sample that arrives after its endpoint was dropped adds the
        endpoint again.
        """
        with self.lock:
            for name in [
                name for name in self.ratios if name not in endpoints
            ]:
                del self.ratios[name]
