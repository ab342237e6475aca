"""Orphans: granted runs whose entry died and can't report their end."""

from __future__ import annotations

import dataclasses
import threading
import time
import typing

from briarseam import repeating
from briarseam.admission import entry_liveness
from briarseam.admission import messages

REVIEW_INTERVAL_S = 0.25
# An entry without a connection for this long is considered dead.
ENTRY_GRACE_S = 2.0
# No run takes longer, so the report of its end was lost.
MAX_RUN_S = 3600.0


@dataclasses.dataclass(frozen=True)
class GrantedRun:
    """A run, its entry, and when it was granted (monotonic seconds)."""

    run_id: str
    endpoint: str
    entry: str
    granted_at: float


class Orphans:
    """Ends runs on behalf of dead entries.

    A run that stayed in the table would count against its organisation's
    limits and its endpoint's load until the agent is replaced.

    Parameters
    ----------
    connected
        Returns the names of the entry processes that have an open
        connection.
    end_run
        Handles the report of a run's end.
    clock
        Returns monotonic time in seconds.
    """

    def __init__(
        self,
        connected: typing.Callable[[], frozenset[str]],
        end_run: typing.Callable[[messages.RunEnded], typing.Any],
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self.entry_liveness = entry_liveness.EntryLiveness(
            connected, ENTRY_GRACE_S, clock
        )
        self.end_run = end_run
        self.clock = clock
        self.runs: dict[str, GrantedRun] = {}
        self.lock = threading.Lock()
        self.reviews = repeating.Repeater(
            "orphans", self.review, REVIEW_INTERVAL_S
        )

    def start(self) -> None:
        """Start the periodic review."""
        self.reviews.start()

    def stop(self) -> None:
        """Stop the periodic review."""
        self.reviews.stop()

    def track(self, granted: messages.Granted, entry: str) -> None:
        """Record the entry that holds a granted run."""
        run = GrantedRun(granted.run_id, granted.endpoint, entry, self.clock())
        with self.lock:
            self.runs[granted.run_id] = run

    def forget(self, run_id: str) -> None:
        """Stop tracking a run whose end was reported."""
        with self.lock:
            self.runs.pop(run_id, None)

    def review(self) -> None:
        """End the runs of dead entries, and those that are too old."""
        now = self.clock()
        with self.lock:
            runs = list(self.runs.values())
        gone = self.entry_liveness.gone({run.entry for run in runs})
        for run in runs:
            if run.entry in gone or now - run.granted_at >= MAX_RUN_S:
                self.end_run(lost_report(run))


def lost_report(run: GrantedRun) -> messages.RunEnded:
    """Return the report of a run's end in place of its entry.

    It names no attempt, as the claim is settled by ``idempotency``.
    """
    return messages.RunEnded(
        run.run_id, "", run.endpoint, messages.RunResult.LOST_AFTER_FIRST
    )
