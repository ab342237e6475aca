"""Costs of runs, learned from observed runs."""

from __future__ import annotations

import dataclasses
import threading

SMOOTHING = 0.1
INITIAL_PREFILL_S_PER_PIECE = 0.2
INITIAL_RUN_S = 1.0
MIN_PIECES = 0.5
# Largest factor by which one observation may differ from the average: a run
# that waited at a frozen endpoint says nothing about the cost of prefill.
MAX_FACTOR = 4.0


@dataclasses.dataclass
class Average:
    """An exponentially weighted average that limits the effect of outliers.

    Attributes
    ----------
    value
        The average.
    """

    value: float

    def add(self, observed: float) -> None:
        """Update the average with an observation."""
        low = self.value / MAX_FACTOR
        high = self.value * MAX_FACTOR
        bounded = min(max(observed, low), high)
        self.value += SMOOTHING * (bounded - self.value)


class Rates:
    """Averages by model; thread-safe."""

    def __init__(self) -> None:
        self.prefill: dict[str, Average] = {}
        self.run: dict[str, Average] = {}
        self.lock = threading.Lock()

    def prefill_s_per_piece(self, model: str) -> float:
        """Return the time to compute one piece of a prompt, in seconds."""
        known = self.prefill.get(model)
        return known.value if known else INITIAL_PREFILL_S_PER_PIECE

    def run_s(self, model: str) -> float:
        """Return the time that a run occupies a slot, in seconds."""
        known = self.run.get(model)
        return known.value if known else INITIAL_RUN_S

    def add_prefill(self, model: str, seconds: float, pieces: float) -> None:
        """Record the time of a first token that waited only for prefill."""
        if pieces < MIN_PIECES:
            return
        with self.lock:
            average = self.prefill.setdefault(
                model, Average(INITIAL_PREFILL_S_PER_PIECE)
            )
            average.add(seconds / pieces)

    def add_run(self, model: str, seconds: float) -> None:
        """Record the duration of a complete run."""
        with self.lock:
            average = self.run.setdefault(model, Average(INITIAL_RUN_S))
            average.add(seconds)
