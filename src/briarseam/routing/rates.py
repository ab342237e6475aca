"""What runs cost, learned from how they go."""

from __future__ import annotations

import dataclasses
import threading

SMOOTHING = 0.1
FIRST_PREFILL_S_PER_PIECE = 0.2
FIRST_RUN_S = 1.0
MIN_PIECES = 0.5
# One observation may move an average by this factor at most: a run that
# sat behind a frozen endpoint says nothing about the cost of prefill.
MAX_FACTOR = 4.0


@dataclasses.dataclass
class Average:
    """An exponentially weighted average that one outlier cannot move far.

    Attributes
    ----------
    value
        The average.
    """

    value: float

    def learn(self, observed: float) -> None:
        """Take in one observation."""
        low = self.value / MAX_FACTOR
        high = self.value * MAX_FACTOR
        bounded = min(max(observed, low), high)
        self.value += SMOOTHING * (bounded - self.value)


class Rates:
    """Averages by model; safe for several threads."""

    def __init__(self) -> None:
        self.prefill: dict[str, Average] = {}
        self.run: dict[str, Average] = {}
        self.lock = threading.Lock()

    def prefill_s_per_piece(self, model: str) -> float:
        """Return the seconds to compute one piece of a prompt."""
        known = self.prefill.get(model)
        return known.value if known else FIRST_PREFILL_S_PER_PIECE

    def run_s(self, model: str) -> float:
        """Return the seconds that a run takes a slot."""
        known = self.run.get(model)
        return known.value if known else FIRST_RUN_S

    def learn_prefill(self, model: str, seconds: float, pieces: float) -> None:
        """Take in a first token that waited for nothing but prefill."""
        if pieces < MIN_PIECES:
            return
        with self.lock:
            average = self.prefill.setdefault(
                model, Average(FIRST_PREFILL_S_PER_PIECE)
            )
            average.learn(seconds / pieces)

    def learn_run(self, model: str, seconds: float) -> None:
        """Take in how long a whole run took."""
        with self.lock:
            average = self.run.setdefault(model, Average(FIRST_RUN_S))
            average.learn(seconds)
