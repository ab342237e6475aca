"""Pauses between tries that grow from failure to failure."""

from __future__ import annotations

import random


def jittered(pause_s: float, part: float) -> float:
    """Return a pause that differs by up to a part of itself either way.

    Many callers that began together then do not act together for ever.
    """
    return pause_s * random.uniform(1 - part, 1 + part)


class Backoff:
    """Gives the pauses; used by one thread.

    Parameters
    ----------
    first_s
        Pause after a first failure, in seconds.
    most_s
        Longest pause, in seconds.
    jitter
        Part of itself by which each pause may differ either way, so that
        many callers do not try again at once.
    """

    def __init__(
        self, first_s: float, most_s: float, jitter: float = 0.0
    ) -> None:
        self.first_s = first_s
        self.most_s = most_s
        self.jitter = jitter
        self.pause_s = first_s

    def reset(self) -> None:
        """Begin with the shortest pause again, after a success."""
        self.pause_s = self.first_s

    def next_s(self) -> float:
        """Return the next pause; the one after it is twice as long."""
        pause_s = self.pause_s
        self.pause_s = min(2 * pause_s, self.most_s)
        return jittered(pause_s, self.jitter)
