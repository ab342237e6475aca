"""How fast engines read prompts, learned from what they did."""

from __future__ import annotations

import threading

# Before any reading was seen, in ms a token.
FIRST_GUESS_MS = 0.02
LEAST_MS = 0.001
MOST_MS = 1.0
# Shorter readings are mostly the time of a step, which is no reading.
TELLING_TOKENS = 2000
# How far one reading moves the estimate: ten or so readings make up for a
# wrong first guess by a factor of two.
STEP = 0.07


class ReadingTime:
    """The time in which engines of one service read a token; thread-safe.

    The median follows what prompts took, with all that the engines did beside
    them, so that it is longer under load.
    """

    def __init__(self) -> None:
        self.ms_a_token = FIRST_GUESS_MS
        self.lock = threading.Lock()

    def note(self, tokens: int, took_s: float) -> None:
        """Take in in which time tokens were read, with nothing fetched."""
        if tokens < TELLING_TOKENS:
            return
        with self.lock:
            is_longer = took_s * 1000 > tokens * self.ms_a_token
            moved = self.ms_a_token * (1 + STEP if is_longer else 1 - STEP)
            self.ms_a_token = min(max(moved, LEAST_MS), MOST_MS)

    def of(self, tokens: int) -> float:
        """Return the seconds in which so many tokens are read."""
        return tokens * self.ms_a_token / 1000
