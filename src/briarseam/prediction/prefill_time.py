"""Estimates of the time that engines take to prefill prompts."""

from __future__ import annotations

import threading

# Estimate before the first sample, in ms per token.
INITIAL_MS = 0.02
MIN_MS = 0.001
MAX_MS = 1.0
# The time to a first event of fewer tokens is mostly that of one step.
MIN_SAMPLE_TOKENS = 2000
# Relative change of the estimate per sample; about ten samples correct an
# initial estimate that is wrong by a factor of two.
STEP_FACTOR = 0.07


class PrefillTime:
    """Median time to prefill a token at one service's engines; thread-safe.

    Samples include the engines' other work, so the estimate rises under load.
    """

    def __init__(self) -> None:
        self.ms_per_token = INITIAL_MS
        self.lock = threading.Lock()

    def record(self, tokens: int, took_s: float) -> None:
        """Add a sample: tokens prefilled without a fetch, and their time."""
        if tokens < MIN_SAMPLE_TOKENS:
            return
        with self.lock:
            is_longer = took_s * 1000 > tokens * self.ms_per_token
            estimate = self.ms_per_token * (
                1 + STEP_FACTOR if is_longer else 1 - STEP_FACTOR
            )
            self.ms_per_token = min(max(estimate, MIN_MS), MAX_MS)

    def seconds(self, tokens: int) -> float:
        """Return the estimated time to prefill tokens, in seconds."""
        return tokens * self.ms_per_token / 1000


class PrefillTimes:
    """The estimate of each service; thread-safe."""

    def __init__(self) -> None:
        self.by_service: dict[str, PrefillTime] = {}

    def of(self, service: str) -> PrefillTime:
        """Return the estimate of a service."""
        # If two threads get here at once, the first one's object stays.
        return self.by_service.setdefault(service, PrefillTime())
