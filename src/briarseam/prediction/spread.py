"""Distribution of actual times relative to predicted ones."""

from __future__ import annotations

import math
import threading

# Range of the histogram, and its number of bins for each factor of two.
MIN_RATIO = 0.25
MAX_RATIO = 16.0
BINS_PER_OCTAVE = 8
BINS = round(math.log2(MAX_RATIO / MIN_RATIO) * BINS_PER_OCTAVE)
# Log-logistic prior: half of the times are longer than predicted, one in
# nine is twice as long, one in 65 four times.
PRIOR_EXPONENT = 3.0
# Fewer samples say little about the tail that matters.
MIN_SAMPLES = 50
# Weight of the prior thereafter, in samples, so that no share is 0 or 1.
PRIOR_SAMPLES = 1.0
# Number of samples after which a sample counts half.  At 20 prompts per
# second of an instance, this takes half a minute.
HALF_LIFE_SAMPLES = 500
GROWTH = 2.0 ** (1.0 / HALF_LIFE_SAMPLES)
# The weight of a new sample grows instead of all others shrinking; all are
# divided by it once it exceeds this.
MAX_WEIGHT = 1e6


def prior_exceeds(ratio: float) -> float:
    """Return the assumed share of times above a ratio to the predicted."""
    return 1.0 / (1.0 + math.pow(ratio, PRIOR_EXPONENT))


class Spread:
    """Ratios of actual to predicted times of a service; thread-safe.

    A histogram over the logarithm of the ratio, in which older samples count
    less.

    Attributes
    ----------
    samples
        Number of samples.
    tails
        Share of the times above the lower limit of each bin, and above the
        upper limit of the last one; replaced as a whole, so that it is read
        without the lock.
    """

    def __init__(self) -> None:
        self.samples = 0
        self.weights = [0.0] * BINS
        self.weight = 1.0
        self.lock = threading.Lock()
        self.prior = tuple(
            prior_exceeds(MIN_RATIO * 2.0 ** (index / BINS_PER_OCTAVE))
            for index in range(BINS + 1)
        )
        self.tails = self.prior

    def record(self, ratio: float) -> None:
        """Add the ratio of an actual to a predicted time."""
        index = bin_of(ratio)
        with self.lock:
            self.samples += 1
            self.weights[index] += self.weight
            self.weight *= GROWTH
            if self.weight > MAX_WEIGHT:
                self.weights = [
                    weight / self.weight for weight in self.weights
                ]
                self.weight = 1.0
            if self.samples >= MIN_SAMPLES:
                self.tails = self.computed_tails()

    def computed_tails(self) -> tuple[float, ...]:
        """Return the shares for `tails`; requires the lock."""
        prior_weight = PRIOR_SAMPLES * self.weight
        total = sum(self.weights) + prior_weight
        above = 0.0
        tails = [self.prior[BINS] * prior_weight / total]
        for index in range(BINS - 1, -1, -1):
            above += self.weights[index]
            tails.append((above + self.prior[index] * prior_weight) / total)
        tails.reverse()
        return tuple(tails)

    def exceeds(self, ratio: float) -> float:
        """Return the share of times above a ratio to the predicted time.

        Greater than 0 and less than 1, whatever the ratio.
        """
        tails = self.tails
        if ratio >= MAX_RATIO:
            # Continues with the prior's decrease.
            excess = min(ratio / MAX_RATIO, 1e3)
            return tails[BINS] / math.pow(excess, PRIOR_EXPONENT)
        if ratio <= MIN_RATIO:
            return tails[0]
        position = math.log2(ratio / MIN_RATIO) * BINS_PER_OCTAVE
        index = int(position)
        lower = tails[index]
        return lower + (tails[index + 1] - lower) * (position - index)


def bin_of(ratio: float) -> int:
    """Return the bin of a ratio; the nearest one outside the range."""
    if ratio <= MIN_RATIO:
        return 0
    index = int(math.log2(ratio / MIN_RATIO) * BINS_PER_OCTAVE)
    return min(index, BINS - 1)


class Spreads:
    """The spread of each service; thread-safe."""

    def __init__(self) -> None:
        self.by_service: dict[str, Spread] = {}

    def of(self, service: str) -> Spread:
        """Return the spread of a service."""
        found = self.by_service.get(service)
        if found is not None:
            return found
        # If two threads get here at once, the first one's object stays.
        return self.by_service.setdefault(service, Spread())
