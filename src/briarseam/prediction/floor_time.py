"""Estimate of the time to first events of prompts with few tokens."""

from __future__ import annotations

import threading

# Estimate before the first sample, in seconds.
INITIAL_S = 0.01
MIN_S = 0.001
MAX_S = 1.0
# Relative change of the estimate per sample; about ten samples correct an
# estimate that is wrong by a factor of two.
STEP_FACTOR = 0.07


class FloorTime:
    """Median time to first events beyond the prefill; thread-safe."""

    def __init__(self) -> None:
        self.floor_s = INITIAL_S
        self.lock = threading.Lock()

    def record(self, took_s: float) -> None:
        """Add a sample: a prompt's time without its prefill, in seconds."""
        with self.lock:
            factor = (
                1 + STEP_FACTOR if took_s > self.floor_s else 1 - STEP_FACTOR
            )
            self.floor_s = min(max(self.floor_s * factor, MIN_S), MAX_S)
