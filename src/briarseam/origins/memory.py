"""Origins of streams, as far as one instance knows them."""

from __future__ import annotations

import collections
import dataclasses
import threading
import typing

from briarseam import clocks

# Callers take a stream up again within its deadline, which is shorter.
ORIGIN_TTL_S = 120.0
# About 5 MB.  An instance holds three origins for each stream that one begins
# within the time above.
MAX_ORIGINS = 20_000
# Callers choose the ids of their requests.
MAX_ID_CHARACTERS = 200


@dataclasses.dataclass(frozen=True)
class Origin:
    """Where a stream began.

    Attributes
    ----------
    service
        Name of the service.
    software
        Software version of the endpoint that sent its first event.
    """

    service: str
    software: str


class OriginMemory:
    """Origins by stream, of which the newest are retained; thread-safe.

    Parameters
    ----------
    clock
        Seconds.
    """

    def __init__(
        self, clock: typing.Callable[[], float] = clocks.boot_clock
    ) -> None:
        self.clock = clock
        self.origins: collections.OrderedDict[str, tuple[Origin, float]] = (
            collections.OrderedDict()
        )
        self.lock = threading.Lock()

    def record(self, stream: str, origin: Origin) -> None:
        """Record where a stream began; the first record stays."""
        now_s = self.clock()
        with self.lock:
            known = self.origins.pop(stream, None)
            if known is not None and now_s < known[1]:
                origin = known[0]
            self.origins[stream] = (origin, now_s + ORIGIN_TTL_S)
            self.forget_old(now_s)

    def find(self, stream: str) -> Origin | None:
        """Return where a stream began, if it is known."""
        with self.lock:
            known = self.origins.get(stream)
        if known is None or self.clock() >= known[1]:
            return None
        return known[0]

    def forget_old(self, now_s: float) -> None:
        """Forget expired origins and excess ones; requires the lock."""
        while self.origins:
            _origin, until_s = next(iter(self.origins.values()))
            if now_s < until_s and len(self.origins) <= MAX_ORIGINS:
                return
            self.origins.popitem(last=False)
