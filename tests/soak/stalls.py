"""How much processor time the machine withheld from a run."""

from __future__ import annotations

import dataclasses
import threading
import time

PERIOD_S = 0.02
# A thread may wake up so late on a machine that is merely busy.
USUAL_S = 0.05


@dataclasses.dataclass(frozen=True)
class Stall:
    """A time in which a thread that was due did not run.

    Attributes
    ----------
    began_s, ended_s
        When it was due, and when it ran, monotonic seconds.
    """

    began_s: float
    ended_s: float


class StallWatch:
    """A thread that records how late it wakes up.

    Instances are other processes, so nothing that they do makes it late.

    Attributes
    ----------
    stalls
        All that were seen, in order.
    """

    def __init__(self) -> None:
        self.stalls: list[Stall] = []
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self) -> None:
        """Watch until stopped."""
        due_s = time.monotonic() + PERIOD_S
        while not self.stopping.wait(PERIOD_S):
            now_s = time.monotonic()
            self.note(due_s, now_s)
            due_s = now_s + PERIOD_S

    def note(self, due_s: float, now_s: float) -> None:
        """Note when the thread was due, and when it ran."""
        if now_s - due_s > USUAL_S:
            self.stalls.append(Stall(due_s, now_s))

    def stalled_s(self, since_s: float, until_s: float) -> float:
        """Return how long the machine stalled between two moments."""
        return sum(
            max(
                0.0,
                min(stall.ended_s, until_s) - max(stall.began_s, since_s),
            )
            for stall in list(self.stalls)
        )
