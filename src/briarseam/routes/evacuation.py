"""Availability zones whose endpoints must get no requests."""

from __future__ import annotations

import threading
import typing

import structlog

from briarseam import clocks

if typing.TYPE_CHECKING:
    import collections.abc

# A store that was restored from an older copy lacks recent records until
# operators have written them again.
RESTORE_HOLD_S = 5.0
log = structlog.get_logger("briarseam.routes")


def ignore_release(zone: str) -> None:
    """Ignore that an evacuation has ended."""
    del zone


class Evacuations:
    """The evacuated availability zones; thread-safe.

    An evacuation ends when its record is deleted, or when a complete read of
    the store's records doesn't have it.  Shortly after an outage or restore
    of the store the latter is not trusted: the record may only be missing
    until operators have written it again.

    Parameters
    ----------
    on_release
        Called with each zone whose evacuation has ended.
    clock
        Seconds.
    """

    def __init__(
        self,
        on_release: typing.Callable[[str], None] = ignore_release,
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.on_release = on_release
        self.clock = clock
        self.zones: frozenset[str] = frozenset()
        self.unconfirmed: frozenset[str] = frozenset()
        self.hold_until_s = float("-inf")
        self.lock = threading.Lock()

    def begin(self, zone: str) -> None:
        """Record that a zone is evacuated."""
        with self.lock:
            self.unconfirmed -= {zone}
            if zone in self.zones:
                return
            self.zones |= {zone}
        log.warning("zone_evacuated", zone=zone)

    def end(self, zone: str, why: str = "record deleted") -> None:
        """Record that a zone's evacuation was taken back."""
        with self.lock:
            self.unconfirmed -= {zone}
            if zone not in self.zones:
                return
            self.zones -= {zone}
        log.warning("zone_evacuation_ended", zone=zone, why=why)
        self.on_release(zone)

    def replace(self, listed: collections.abc.Collection[str]) -> None:
        """Apply a complete read of the store's records."""
        with self.lock:
            self.unconfirmed = self.zones.difference(listed)
            held = self.unconfirmed
        for zone in listed:
            self.begin(zone)
        if held and self.clock() < self.hold_until_s:
            log.warning("evacuation_record_missing", zones=sorted(held))
        self.review()

    def store_lost(self) -> None:
        """Keep evacuations whose records are missing after an outage."""
        self.hold_until_s = self.clock() + RESTORE_HOLD_S

    def review(self) -> None:
        """End the evacuations whose records are still missing."""
        if not self.unconfirmed or self.clock() < self.hold_until_s:
            return
        for zone in self.unconfirmed:
            self.end(zone, "record missing")
