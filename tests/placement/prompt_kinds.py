"""Kinds of prompts in simulated loads."""

from __future__ import annotations

import dataclasses
import random

# The largest session, as a multiple of the mean.
MAX_SPREAD = 2.7


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of prompt.

    Attributes
    ----------
    name
        Name of the kind and of its route.
    per_s
        Arrivals per second.
    shared, own
        Tokens of the session's shared part and of the prompt's own part.
    target_s
        Target time to the first event.
    stream_s
        Duration of the answer after the first event.
    deadline_s
        Longest time that the caller waits.
    spread
        Sigma of the log-normal distribution of the sessions' sizes around
        `shared`.
    """

    name: str
    per_s: float
    shared: int
    own: int
    target_s: float
    stream_s: float
    deadline_s: float
    spread: float = 0.0

    def shared_of(self, session: str) -> int:
        """Return the tokens of a session's shared part."""
        if not self.spread:
            return self.shared
        mean = -(self.spread**2) / 2
        factor = random.Random(session).lognormvariate(mean, self.spread)
        return round(self.shared * min(factor, MAX_SPREAD))


LONG = Kind("long", 15.0, 7500, 1700, 0.8, 0.3, 6.0)
SHORT = Kind("short", 18.0, 650, 180, 0.5, 1.5, 15.0)
