"""Estimates of the time that endpoints without a model take to answer."""

from __future__ import annotations

import threading

# Relative change of the estimate per sample; about ten samples correct an
# estimate that is wrong by a factor of two.
STEP_FACTOR = 0.07


class QueueTime:
    """Median time that one request takes at a service; thread-safe.

    An endpoint answers as many requests at once as it has slots; more wait
    for those before them.
    """

    def __init__(self) -> None:
        self.request_s: float | None = None
        self.lock = threading.Lock()

    def record(self, requests_before: int, slots: int, took_s: float) -> None:
        """Add a sample: an answer, and the requests there when it was sent."""
        sample_s = took_s / rounds(requests_before, slots)
        with self.lock:
            if self.request_s is None:
                self.request_s = sample_s
            elif sample_s > self.request_s:
                self.request_s *= 1 + STEP_FACTOR
            else:
                self.request_s *= 1 - STEP_FACTOR

    def seconds(self, requests_before: int, slots: int) -> float:
        """Return the estimated time to an answer; 0 without a sample."""
        return (self.request_s or 0.0) * rounds(requests_before, slots)


def rounds(requests_before: int, slots: int) -> float:
    """Return how many times the slots are filled until a request is done."""
    return max(1.0, (requests_before + 1) / slots)
