"""Which requests may be placed before others that found no capacity."""

from __future__ import annotations

import typing

from briarseam.placement import requests

if typing.TYPE_CHECKING:
    from briarseam.queueing import tickets
    from briarseam.queueing import waiters


class Passing:
    """Which requests may pass others in one round.

    If one lacks memory, others may pass it at all engines but the one that
    will have memory first.  If it lacks anything else, others that may be
    sent to the same endpoints would only delay it.

    Attributes
    ----------
    kept_free
        Endpoints that are kept free for requests before.
    """

    def __init__(self) -> None:
        self.kept_free: frozenset[str] = frozenset()
        self.closed: set[typing.Hashable] = set()

    def allows(self, waiter: waiters.Waiter) -> bool:
        """Return whether a request may be placed at all."""
        return waiter.constraints not in self.closed

    def record(
        self, waiter: waiters.Waiter, obstacle: tickets.Obstacle | None
    ) -> None:
        """Record what a request met that comes before the next one."""
        match obstacle:
            case requests.NoCapacity(free_slots=slots, soonest=soonest) if (
                slots > 0 and soonest
            ):
                self.kept_free = self.kept_free or frozenset({soonest})
            case (
                requests.NoCapacity()
                | requests.QueueFull()
                | requests.AtLimit()
            ):
                self.closed.add(waiter.constraints)
