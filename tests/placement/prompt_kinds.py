"""Kinds of prompts of a played load."""

from __future__ import annotations

import dataclasses
import random

# The largest session, as a multiple of the mean.
MOST_SPREAD = 2.7


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of prompt.

    Attributes
    ----------
    name
        For the results.
    per_s
        How many come in a second.
    shared, own
        Tokens of its session and of itself.
    aim_s
        When its first event should be there.
    stream_s
        How long it runs then.
    deadline_s
        How long its caller waits.
    spread
        Of the sessions' sizes around `shared`, as the sigma of a log-normal
        distribution.
    """

    name: str
    per_s: float
    shared: int
    own: int
    aim_s: float
    stream_s: float
    deadline_s: float
    spread: float = 0.0

    def shared_of(self, session: str) -> int:
        """Return the tokens of a session."""
        if not self.spread:
            return self.shared
        mean = -(self.spread**2) / 2
        factor = random.Random(session).lognormvariate(mean, self.spread)
        return round(self.shared * min(factor, MOST_SPREAD))


LONG = Kind("long", 15.0, 7500, 1700, 0.8, 0.3, 6.0)
SHORT = Kind("short", 18.0, 650, 180, 0.5, 1.5, 15.0)
