"""Estimate of the time to prefill a token without other work."""

from __future__ import annotations

import threading

from briarseam.prediction import prefill_time

# Share of the samples that are shorter than the estimate.  Most prompts wait
# for work that is not known yet or share steps with other prompts, which
# makes their times longer; hardly anything makes them shorter.
QUANTILE = 0.2


class ClearTime:
    """Low quantile of the time to prefill a token; thread-safe.

    Attributes
    ----------
    ms_per_token
        The estimate, in ms.
    """

    def __init__(self) -> None:
        self.ms_per_token = prefill_time.INITIAL_MS
        self.lock = threading.Lock()

    def record(self, tokens: int, took_s: float) -> None:
        """Add a sample: tokens prefilled without a fetch, and their time."""
        with self.lock:
            is_longer = took_s * 1000 > tokens * self.ms_per_token
            step = prefill_time.STEP_FACTOR * (
                QUANTILE if is_longer else QUANTILE - 1
            )
            estimate = self.ms_per_token * (1 + step)
            self.ms_per_token = min(
                max(estimate, prefill_time.MIN_MS), prefill_time.MAX_MS
            )

    def seconds(self) -> float:
        """Return the estimate, in seconds per token."""
        return self.ms_per_token / 1000
