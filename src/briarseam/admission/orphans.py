"""Granted runs whose entry died: nobody will tell how they ended."""

from __future__ import annotations

import dataclasses
import threading
import time
import typing

from briarseam import repeating
from briarseam.admission import entry_liveness
from briarseam.admission import messages

SWEEP_S = 0.25
# An entry that has no connection for so long is gone.
GRACE_S = 2.0
# No run is longer: its end was missed.
BOUND_S = 3600.0


@dataclasses.dataclass(frozen=True)
class Granted:
    """A run, who holds it, and since when (monotonic seconds)."""

    run_id: str
    endpoint: str
    entry: str
    since: float


class Orphans:
    """Ends runs in the place of entries that are gone.

    A run left in the table would count against its organisation's limits
    and its endpoint's load until the agent is replaced.

    Parameters
    ----------
    connected
        Names of the entry processes that have a connection open.
    end
        Takes in how a run ended.
    clock
        Monotonic seconds.
    """

    def __init__(
        self,
        connected: typing.Callable[[], frozenset[str]],
        end: typing.Callable[[messages.RunEnded], typing.Any],
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self.entry_liveness = entry_liveness.EntryLiveness(
            connected, GRACE_S, clock
        )
        self.end = end
        self.clock = clock
        self.granted: dict[str, Granted] = {}
        self.lock = threading.Lock()
        self.reviews = repeating.Repeater("orphans", self.review, SWEEP_S)

    def start(self) -> None:
        """Begin looking for entries that are gone."""
        self.reviews.start()

    def stop(self) -> None:
        """Stop looking."""
        self.reviews.stop()

    def note(self, granted: messages.Granted, entry: str) -> None:
        """Remember whose run it is."""
        run = Granted(granted.run_id, granted.endpoint, entry, self.clock())
        with self.lock:
            self.granted[granted.run_id] = run

    def forget(self, run_id: str) -> None:
        """Forget a run whose end was told."""
        with self.lock:
            self.granted.pop(run_id, None)

    def review(self) -> None:
        """End the runs of entries that have been gone for a while."""
        now = self.clock()
        with self.lock:
            runs = list(self.granted.values())
        gone = self.entry_liveness.gone({run.entry for run in runs})
        for run in runs:
            if run.entry in gone or now - run.since >= BOUND_S:
                self.end(ended(run))


def ended(run: Granted) -> messages.RunEnded:
    """Return the report that a gone entry never gave.

    Without an attempt: what becomes of a claim is settled elsewhere.
    """
    return messages.RunEnded(
        run.run_id, "", run.endpoint, messages.RunResult.LOST_AFTER_FIRST
    )
