"""The model engine's load report, seen by an agent."""

from __future__ import annotations

import dataclasses

import urllib3

from briarseam.endpoints import reading

READ_TIMEOUT_S = 1.0


class LoadUnavailableError(Exception):
    """The engine did not report its load."""


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """What an engine says of itself, as of a while ago.

    Attributes
    ----------
    time_ms
        The engine's clock when this was true, in ms since the epoch.
    boot_id
        Differs after each start of the engine.
    running, queued
        Runs in a slot and waiting for one.
    slots
        Runs at a time.
    prefill_tokens_queued
        Prompt tokens that are still to be computed.
    cached_tokens, cache_capacity_tokens
        Fill and size of the prefix cache.
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
    """Reads load reports; library retries off, the next poll is the retry."""

    def __init__(self) -> None:
        self.pool = urllib3.PoolManager(maxsize=1, retries=False)

    def read(self, address: str) -> LoadReport:
        """Return an engine's load report.

        Raises
        ------
        LoadUnavailableError
            When it does not answer properly.
        """
        return reading.read(
            self.pool,
            f"http://{address}/load",
            LoadReport,
            LoadUnavailableError,
            READ_TIMEOUT_S,
        )
