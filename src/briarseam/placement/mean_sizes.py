"""Mean size of prompts by route."""

from __future__ import annotations

import collections
import threading

# Approximate number of recent prompts that a mean covers.
WINDOW_PROMPTS = 100
# Beyond this number, the least recently used routes are dropped.
MAX_ROUTES = 1000


class MeanSizes:
    """Mean memory use of prompts at engines, by route; thread-safe."""

    def __init__(self) -> None:
        self.means: collections.OrderedDict[str, tuple[int, float]] = (
            collections.OrderedDict()
        )
        self.lock = threading.Lock()

    def record(self, route: str, tokens: int) -> None:
        """Add the size of a prompt that has arrived."""
        with self.lock:
            count, mean = self.means.pop(route, (0, 0.0))
            count = min(count + 1, WINDOW_PROMPTS)
            self.means[route] = (count, mean + (tokens - mean) / count)
            if len(self.means) > MAX_ROUTES:
                self.means.popitem(last=False)

    def of(self, route: str) -> float | None:
        """Return the mean size in tokens; ``None`` without any prompt."""
        with self.lock:
            known = self.means.get(route)
        return known[1] if known else None
