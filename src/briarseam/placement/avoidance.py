"""Endpoints that get no requests for a while after a failed send."""

from __future__ import annotations

import dataclasses
import typing

from briarseam import clocks

if typing.TYPE_CHECKING:
    import collections.abc

# An endpoint that broke off an answer is avoided for about the time that a
# restart takes.
AVOID_S = 1.0
# An endpoint that can't be reached, or whose address another one has, is
# avoided until it writes an entry.  One that is running writes an entry about
# every second, but none while the store is unavailable.
UNCONFIRMED_S = 6.0


@dataclasses.dataclass(frozen=True)
class Avoidance:
    """How long an endpoint is avoided.

    Attributes
    ----------
    until_s
        The end, by the clock.
    until_entry_after_s
        An entry read after this time ends it earlier.
    """

    until_s: float
    until_entry_after_s: float = float("inf")


class Avoided:
    """The avoided endpoints, by the id of their start; thread-safe.

    Parameters
    ----------
    clock
        Seconds.
    """

    def __init__(
        self, clock: typing.Callable[[], float] = clocks.boot_clock
    ) -> None:
        self.clock = clock
        self.by_id: dict[str, Avoidance] = {}

    def __contains__(self, endpoint_id: object) -> bool:
        """Return whether an endpoint is avoided now."""
        found = self.by_id.get(typing.cast("str", endpoint_id))
        return found is not None and self.clock() < found.until_s

    def add(self, endpoint_id: str) -> None:
        """Avoid an endpoint that broke off an answer."""
        self.by_id[endpoint_id] = Avoidance(self.clock() + AVOID_S)

    def add_unconfirmed(self, endpoint_id: str, at_least_s: float) -> None:
        """Avoid an endpoint that may be gone until it writes an entry.

        Parameters
        ----------
        endpoint_id
            The endpoint.
        at_least_s
            How long it is avoided in any case, in seconds.
        """
        now_s = self.clock()
        self.by_id[endpoint_id] = Avoidance(
            now_s + UNCONFIRMED_S, now_s + at_least_s
        )

    def record_entry(self, endpoint_id: str) -> None:
        """Record that an endpoint has written an entry."""
        found = self.by_id.get(endpoint_id)
        if found is not None and self.clock() >= found.until_entry_after_s:
            self.by_id.pop(endpoint_id, None)

    def forget_old(self, endpoint_ids: collections.abc.Container[str]) -> None:
        """Drop what has ended, and all endpoints but these."""
        now_s = self.clock()
        for endpoint_id, found in list(self.by_id.items()):
            if found.until_s <= now_s or endpoint_id not in endpoint_ids:
                self.by_id.pop(endpoint_id, None)
