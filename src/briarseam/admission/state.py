"""Requests that were granted and have not ended."""

from __future__ import annotations

import dataclasses
import threading


@dataclasses.dataclass(frozen=True)
class Running:
    """One granted run.

    Attributes
    ----------
    run_id, endpoint, organisation
        Which run, where, whose.
    session
        The caller's session, may be empty.
    model, version, adapter
        What it uses; empty for service calls.
    chain
        Chain digests of the prompt's whole pieces.
    key, attempt
        Idempotency key and claim attempt; empty without a claim.
    answer_id
        The caller's token for the answer.
    granted_at
        Monotonic time, in seconds.
    """

    run_id: str
    endpoint: str
    organisation: str
    session: str
    model: str
    version: str
    adapter: str
    chain: tuple[bytes, ...]
    key: str
    attempt: str
    answer_id: str
    granted_at: float


class RunTable:
    """Granted runs by run id."""

    def __init__(self) -> None:
        self.runs: dict[str, Running] = {}
        self.lock = threading.Lock()

    def add(self, run: Running) -> None:
        """Remember a granted run."""
        with self.lock:
            self.runs[run.run_id] = run

    def get(self, run_id: str) -> Running | None:
        """Return a run that has not ended."""
        return self.runs.get(run_id)

    def pop(self, run_id: str) -> Running | None:
        """Forget a run and return it; ``None`` when it ended before."""
        with self.lock:
            return self.runs.pop(run_id, None)

    def pop_older(self, granted_before: float) -> list[Running]:
        """Forget and return runs granted before a monotonic time."""
        with self.lock:
            old = [
                run
                for run in self.runs.values()
                if run.granted_at < granted_before
            ]
            for run in old:
                del self.runs[run.run_id]
        return old

    def __len__(self) -> int:
        """Return how many runs are under way."""
        return len(self.runs)
