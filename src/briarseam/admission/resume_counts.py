"""Resumes of answers, counted so that a resumed run is not cancelled.

An answer id names the agent that granted its run.  That agent counts the
answer's resumes, whichever entry they arrive at.  An entry whose caller
disconnected may cancel the run only if the answer has not been resumed in
the meantime.
"""

from __future__ import annotations

import collections
import threading

MAX_ANSWERS = 20_000
UNKNOWN = -1


class ResumeCounts:
    """Number of resumes by run id; thread-safe and bounded."""

    def __init__(self, max_answers: int = MAX_ANSWERS) -> None:
        self.max_answers = max_answers
        self.counts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.cancelled: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.lock = threading.Lock()

    def count_resume(self, run_id: str) -> int | None:
        """Count a resume and return the new generation.

        Returns
        -------
        int or None
            Number of resumes so far; ``None`` if the run is cancelled.
        """
        with self.lock:
            if run_id in self.cancelled:
                return None
            generation = self.counts.pop(run_id, 0) + 1
            self.counts[run_id] = generation
            if len(self.counts) > self.max_answers:
                self.counts.popitem(last=False)
            return generation

    def cancel(self, run_id: str, generation: int) -> bool:
        """Cancel a run unless it was resumed after a generation.

        Returns
        -------
        bool
            Whether the run is cancelled.
        """
        with self.lock:
            if self.counts.get(run_id, 0) != generation:
                return False
            self.cancelled[run_id] = None
            if len(self.cancelled) > self.max_answers:
                self.cancelled.popitem(last=False)
            return True
