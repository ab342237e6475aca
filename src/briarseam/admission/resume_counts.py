"""Which answers were resumed, so that nobody cancels one that is read.

An answer id names the agent that granted its run.  That agent counts the
answer's resumes, at whatever entry they come; an entry whose caller went
away may cancel the run only if none came since.
"""

from __future__ import annotations

import collections
import threading

MAX_ANSWERS = 20_000
UNKNOWN = -1


class ResumeCounts:
    """Resumes by run id; thread-safe and bounded."""

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
        """Count a resume; ``None`` when the run was given up for good."""
        with self.lock:
            if run_id in self.cancelled:
                return None
            generation = self.counts.pop(run_id, 0) + 1
            self.counts[run_id] = generation
            if len(self.counts) > self.max_answers:
                self.counts.popitem(last=False)
            return generation

    def cancel(self, run_id: str, generation: int) -> bool:
        """Give a run up unless it was resumed since; tell whether."""
        with self.lock:
            if self.counts.get(run_id, 0) != generation:
                return False
            self.cancelled[run_id] = None
            if len(self.cancelled) > self.max_answers:
                self.cancelled.popitem(last=False)
            return True
