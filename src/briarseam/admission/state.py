"""The table of granted runs that have not ended."""

from __future__ import annotations

import dataclasses
import threading


@dataclasses.dataclass(frozen=True)
class Run:
    """One granted run.

    Attributes
    ----------
    run_id, endpoint, organisation
        Id of the run, its endpoint and the caller's organisation.
    session
        The caller's session; may be empty.
    model, version, adapter
        Model, weight version and adapter; empty for service calls.
    chain
        Chain digests of the prompt's complete pieces.
    key, attempt
        Idempotency key and claim attempt; empty without a claim.
    answer_id
        The caller's token for the answer; empty for service calls.
    granted_at
        Monotonic time of the grant, in seconds.
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
    """Granted runs by run id; thread-safe."""

    def __init__(self) -> None:
        self.runs: dict[str, Run] = {}
        self.lock = threading.Lock()

    def add(self, run: Run) -> None:
        """Add a granted run."""
        with self.lock:
            self.runs[run.run_id] = run

    def get(self, run_id: str) -> Run | None:
        """Return a run; ``None`` when it has ended."""
        return self.runs.get(run_id)

    def pop(self, run_id: str) -> Run | None:
        """Remove and return a run; ``None`` when it ended earlier."""
        with self.lock:
            return self.runs.pop(run_id, None)

    def pop_older(self, granted_before: float) -> list[Run]:
        """Remove and return the runs granted before a monotonic time."""
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
        """Return the number of runs."""
        return len(self.runs)
