"""Frees stored parts that no request can use any more.

They are of replaced weights, or shared by a group of organisations of which
one has been isolated.
"""

from __future__ import annotations

import collections
import dataclasses
import typing

import structlog

from briarseam import clocks
from briarseam import repeating
from briarseam.lookup import rank
from briarseam.placement import fetch_leases
from briarseam.placement import retirement
from briarseam.placement import salts
from briarseam.placement import store_watch

if typing.TYPE_CHECKING:
    from briarseam.placement import kept as kept_module

REVIEW_S = 0.5
# What is freed is decided on a reading of the operators' changes just before,
# and a store rejects what reaches it this long after the reading.  Less than
# `fetch_leases.START_WAIT_S`.
MAX_DELAY_S = 0.3
# Parts freed per call.
BATCH_SIZE = 500
# Parts that are named in the log.
LOGGED_PARTS = 5
log = structlog.get_logger("briarseam.placement")


def is_never_superseded(scope: salts.Scope) -> bool:
    """Return that a group is still in use; the default."""
    del scope
    return False


class StoreClient(typing.Protocol):
    """Calls that free parts."""

    def free(
        self,
        address: str,
        epoch: int,
        parts: typing.Sequence[tuple[str, str]],
        until_ms: float,
    ) -> None:
        """Free parts, unless the epoch has changed or the time is over."""


@dataclasses.dataclass(frozen=True)
class Sources:
    """What decides which parts are freed.

    Attributes
    ----------
    named
        Returns the newest weights by model that the store names.
    readings
        Returns how often all that the store names was read anew.
    confirm
        Reads the store of the operators' changes; returns until when there
        are no others than those known, or ``None`` if that can't be said.
    is_superseded
        Returns whether no request has the parts of a group any more.
    """

    named: typing.Callable[[], typing.Mapping[str, int]]
    readings: typing.Callable[[], int]
    confirm: typing.Callable[[], float | None]
    is_superseded: typing.Callable[[salts.Scope], bool] = is_never_superseded


class Sweeper:
    """Frees stale parts of the stores that this instance owns.

    A part must not be freed while it is fetched.  Whether it is can't be
    known, so a part is freed when each fetch that any instance may have
    started has ended; see :mod:`briarseam.placement.fetch_leases`.

    Parameters
    ----------
    stores
        Calls to stores.
    index
        Index of all stores.
    sources
        What decides which parts are freed.
    local_name, members
        Name of this instance, and a function that returns the names of all
        live instances.
    clock
        Seconds; goes on while the process is suspended.
    """

    def __init__(
        self,
        stores: StoreClient,
        index: kept_module.KeptIndex,
        sources: Sources,
        local_name: str,
        members: typing.Callable[[], typing.Sequence[str]],
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.stores = stores
        self.index = index
        self.sources = sources
        self.local_name = local_name
        self.members = members
        self.clock = clock
        self.retirement = retirement.Retirement(clock)
        # Since when groups have been superseded.
        self.superseded_since_s: dict[salts.Scope, float] = {}
        self.readings = 0
        self.reviews = repeating.Repeater("sweeper", self.review, REVIEW_S)

    def start(self) -> None:
        """Start the reviews."""
        self.reviews.start()

    def stop(self) -> None:
        """Stop the reviews."""
        self.reviews.stop()

    def review(self) -> None:
        """Sweep each store that this instance owns once."""
        self.review_sources()
        for address in list(self.index.stores):
            if self.owns(address):
                self.sweep(address)

    def review_sources(self) -> None:
        """Apply what the store names now."""
        named = self.sources.named()
        self.review_readings()
        self.retirement.review(named)
        self.retirement.forget_before(fetch_leases.free_after_s())

    def review_readings(self) -> None:
        """Count all times anew once the store was read anew.

        It may have been restored from a backup, and have named older weights
        and isolated fewer organisations between two readings.  Instances that
        read it meanwhile go by that.
        """
        readings = self.sources.readings()
        if readings != self.readings:
            self.readings = readings
            self.retirement.reset()
            self.superseded_since_s.clear()

    def owns(self, address: str) -> bool:
        """Return whether this instance frees parts of a store."""
        members = list(self.members())
        if self.local_name not in members:
            return False
        return rank.ranked(address, members, str)[0] == self.local_name

    def sweep(self, address: str) -> None:
        """Free the stale parts of one store."""
        if not self.index.stale_parts(address, self.is_stale)[1]:
            return
        confirmed_s = self.sources.confirm()
        if confirmed_s is None:
            return
        # Changes may have been applied just before they were confirmed.
        self.review_sources()
        epoch, parts = self.index.stale_parts(address, self.is_stale)
        until_ms = self.index.endpoint_clocks.shown_by(
            address, confirmed_s + MAX_DELAY_S
        )
        if not parts or until_ms is None:
            return
        batch = parts[:BATCH_SIZE]
        try:
            self.stores.free(address, epoch, batch, until_ms)
        except store_watch.StoreUnavailableError as error:
            log.warning("parts_not_freed", address=address, detail=str(error))
            return
        # The store's event may be lost, and the part may be saved again.
        self.index.record_freed(address, epoch, batch)
        counts = collections.Counter(salt for salt, _part in batch)
        log.info(
            "parts_freed",
            address=address,
            epoch=epoch,
            salts=dict(counts),
            parts=[part for _salt, part in batch[:LOGGED_PARTS]],
            named=dict(self.sources.named()),
            until_ms=round(until_ms),
        )

    def is_stale(self, text: str) -> bool:
        """Return whether no request can use parts with a salt."""
        salt = salts.parse(text)
        if salt is None:
            return False
        replaced_s = self.retirement.replaced_s(salt.model, salt.version)
        wait_s = fetch_leases.free_after_s()
        if replaced_s >= wait_s:
            return True
        return self.superseded_s(salt.scope) >= wait_s

    def superseded_s(self, scope: salts.Scope) -> float:
        """Return for how long a group has been superseded, in seconds.

        Negative if it is not.
        """
        if not self.sources.is_superseded(scope):
            self.superseded_since_s.pop(scope, None)
            return -1.0
        now_s = self.clock()
        return now_s - self.superseded_since_s.setdefault(scope, now_s)
