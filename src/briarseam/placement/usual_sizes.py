"""The usual size of prompts, by kind of request."""

from __future__ import annotations

import collections
import threading

# Prompts over which the mean is taken, about, once there were as many.
WINDOW_PROMPTS = 100
# Kinds of request beyond these are forgotten, the longest unseen first.
MOST_KINDS = 1000


class UsualSizes:
    """Means of what prompts take of an engine's memory; thread-safe."""

    def __init__(self) -> None:
        self.means: collections.OrderedDict[str, tuple[int, float]] = (
            collections.OrderedDict()
        )
        self.lock = threading.Lock()

    def note(self, kind: str, tokens: int) -> None:
        """Take in the size of a prompt that has arrived."""
        with self.lock:
            seen, mean = self.means.pop(kind, (0, 0.0))
            seen = min(seen + 1, WINDOW_PROMPTS)
            self.means[kind] = (seen, mean + (tokens - mean) / seen)
            if len(self.means) > MOST_KINDS:
                self.means.popitem(last=False)

    def of(self, kind: str) -> float | None:
        """Return the usual size in tokens; ``None`` if none was seen."""
        with self.lock:
            known = self.means.get(kind)
        return known[1] if known else None
