"""Removes the registrations of instances that are lost."""

from __future__ import annotations

import typing

import structlog

from briarseam import clocks
from briarseam import repeating
from briarseam.feeds import records
from briarseam.lookup import rank

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.peers import registrations

REVIEW_S = 5.0
# A restart takes seconds, and most network partitions end within a minute.
# An instance that is removed while it runs registers again by itself.
REMOVE_AFTER_S = 60.0
RANK_KEY = "expiry"
log = structlog.get_logger("briarseam.peers")


class Expiry:
    """Removes the registrations of instances that did not shut down.

    Peers keep trying to reach a registered instance, and cells are sized
    by the number of registrations.  Only one instance removes them: the
    first by rank of those that are live.

    Parameters
    ----------
    registered
        The registrations.
    live
        Returns the names of all live instances of all cells, the local one
        included; empty while the local view is not fresh.
    clock
        Seconds; advances while the machine is suspended.
    """

    def __init__(
        self,
        registered: registrations.Registrations,
        live: typing.Callable[[], collections.abc.Collection[str]],
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.registered = registered
        self.live = live
        self.clock = clock
        self.silent_from_s: dict[str, float] = {}
        self.reviewed_s = clock()
        self.reviews = repeating.Repeater("expiry", self.review, REVIEW_S)

    def start(self) -> None:
        """Start the reviews."""
        self.reviews.start()

    def stop(self) -> None:
        """Stop the reviews; no more registrations are removed."""
        self.reviews.stop()

    def review(self) -> None:
        """Remove registrations of lost instances, if this one ranks first.

        After a suspension of the machine every peer appears to have been
        silent for its whole duration, so all times are reset.
        """
        now_s = self.clock()
        suspended = now_s - self.reviewed_s > 2 * REVIEW_S
        self.reviewed_s = now_s
        live = self.live()
        if suspended or not live:
            self.silent_from_s.clear()
            return
        silent = self.registered.by_name.keys() - set(live)
        self.silent_from_s = {
            name: self.silent_from_s.get(name, now_s) for name in silent
        }
        if rank.ranked(RANK_KEY, live, str)[0] != self.registered.local.name:
            return
        for name, from_s in self.silent_from_s.items():
            if now_s - from_s >= REMOVE_AFTER_S:
                self.remove(name, now_s - from_s)

    def remove(self, name: str, silent_s: float) -> None:
        """Remove one registration."""
        try:
            self.registered.store.put(self.registered.topic, name, None)
        except records.StoreUnavailableError as error:
            log.warning(
                "registration_not_removed", instance=name, detail=str(error)
            )
            return
        log.info(
            "registration_removed", instance=name, silent_s=round(silent_s)
        )
