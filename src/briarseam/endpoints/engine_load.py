"""Client of a model engine's load reports, for an agent."""

from __future__ import annotations

import dataclasses

from briarseam import bounded_http
from briarseam.endpoints import reading

READ_TIMEOUT_S = 1.0


class LoadUnavailableError(Exception):
    """The engine did not report its load."""


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Load of an engine at a time in the recent past.

    Attributes
    ----------
    time_ms
        When the engine measured its load, by its own clock, in ms since the
        Unix epoch.
    boot_id
        Identifies the engine's start.
    running, queued
        Number of runs in a slot and of those waiting for one.
    slots
        Maximum number of concurrent runs.
    prefill_tokens_queued
        Prompt tokens that are not yet computed.
    cached_tokens, cache_capacity_tokens
        Used size and capacity of the prefix cache.
    """

    time_ms: float
    boot_id: str
    running: int
    queued: int
    slots: int
    prefill_tokens_queued: int
    cached_tokens: int
    cache_capacity_tokens: int


class LoadClient:
    """Reads load reports, without retries: the next poll is the retry."""

    def __init__(self) -> None:
        self.pool = bounded_http.pool_manager(maxsize=1, retries=False)

    def read(self, address: str) -> LoadReport:
        """Return an engine's load report.

        Raises
        ------
        LoadUnavailableError
            If it gives no valid answer.
        """
        return reading.read(
            self.pool,
            f"http://{address}/load",
            LoadReport,
            LoadUnavailableError,
            READ_TIMEOUT_S,
        )
