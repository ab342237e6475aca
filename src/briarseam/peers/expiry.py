"""Removing registrations of instances that are lost for good."""

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
# An instance that restarts is back within seconds, one behind a cut link
# within a minute mostly; should it live, it registers again by itself.
SILENT_S = 60.0
KEY = "expiry"
log = structlog.get_logger("briarseam.peers")


class Expiry:
    """Removes what instances left behind that did not stop by themselves.

    Peers go on trying to reach a registered instance, and cells are made
    for as many as are registered.  One instance removes for all: the first
    by rank of those that it hears.

    Parameters
    ----------
    rows
        The registrations.
    heard
        Returns the names of all instances that are heard somewhere, this
        one included; empty while this instance's own view is not fresh.
    clock
        Seconds, counting while the machine is suspended.
    """

    def __init__(
        self,
        rows: registrations.Registrations,
        heard: typing.Callable[[], collections.abc.Collection[str]],
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.rows = rows
        self.heard = heard
        self.clock = clock
        self.silent_since: dict[str, float] = {}
        self.reviewed_s = clock()
        self.reviews = repeating.Repeater("expiry", self.review, REVIEW_S)

    def start(self) -> None:
        """Begin."""
        self.reviews.start()

    def stop(self) -> None:
        """Remove nothing further."""
        self.reviews.stop()

    def review(self) -> None:
        """Remove what was silent for long, if that falls to this instance.

        After a suspension all seem to have been silent for as long, so
        counting begins anew.
        """
        now_s = self.clock()
        suspended = now_s - self.reviewed_s > 2 * REVIEW_S
        self.reviewed_s = now_s
        heard = self.heard()
        if suspended or not heard:
            self.silent_since.clear()
            return
        silent = self.rows.by_name.keys() - set(heard)
        self.silent_since = {
            name: self.silent_since.get(name, now_s) for name in silent
        }
        if rank.ranked(KEY, heard, str)[0] != self.rows.me.name:
            return
        for name, since_s in self.silent_since.items():
            if now_s - since_s >= SILENT_S:
                self.remove(name, now_s - since_s)

    def remove(self, name: str, silent_s: float) -> None:
        """Remove one registration."""
        try:
            self.rows.store.put(self.rows.topic, name, None)
        except records.StoreUnavailableError as error:
            log.warning(
                "registration_not_removed", instance=name, detail=str(error)
            )
            return
        log.info(
            "registration_removed", instance=name, silent_s=round(silent_s)
        )
