"""Frees stored parts of weight versions that no engine has any more."""

from __future__ import annotations

import collections
import typing

import structlog

from briarseam import clocks
from briarseam import repeating
from briarseam.lookup import rank
from briarseam.placement import salts
from briarseam.placement import store_watch

if typing.TYPE_CHECKING:
    from briarseam.placement import kept as kept_module

REVIEW_S = 0.5
# Parts of a version are freed once all engines have had newer weights for this
# time.  A fetch started before takes less: one that would have to wait for 2 s
# is not started.
GRACE_S = 4.0
# Parts freed per call.
BATCH_SIZE = 500
log = structlog.get_logger("briarseam.placement")


class StoreClient(typing.Protocol):
    """Calls that free parts."""

    def free(
        self,
        address: str,
        epoch: int,
        parts: typing.Sequence[tuple[str, str]],
    ) -> None:
        """Free parts, unless the store's epoch has changed."""


class Sweeper:
    """Frees stale parts of the stores that this instance owns.

    A part must not be freed while it is fetched.  Requests name the weight
    version that they must run on, so no fetch of its parts can start once no
    engine has that version.

    Parameters
    ----------
    stores
        Calls to stores.
    index
        Index of all stores.
    oldest
        Returns the oldest weight version that any engine of a model may
        have; ``None`` while unknown.
    local_name, members
        Name of this instance, and a function that returns the names of all
        live instances.
    clock
        Seconds.
    """

    def __init__(
        self,
        stores: StoreClient,
        index: kept_module.KeptIndex,
        oldest: typing.Callable[[str], int | None],
        local_name: str,
        members: typing.Callable[[], typing.Sequence[str]],
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.stores = stores
        self.index = index
        self.oldest = oldest
        self.local_name = local_name
        self.members = members
        self.clock = clock
        self.stale_at_s: dict[tuple[str, int], float] = {}
        self.reviews = repeating.Repeater("sweeper", self.review, REVIEW_S)

    def start(self) -> None:
        """Start the reviews."""
        self.reviews.start()

    def stop(self) -> None:
        """Stop the reviews."""
        self.reviews.stop()

    def review(self) -> None:
        """Sweep each store that this instance owns once."""
        for address in list(self.index.stores):
            if self.owns(address):
                self.sweep(address)

    def owns(self, address: str) -> bool:
        """Return whether this instance frees parts of a store."""
        members = list(self.members())
        if self.local_name not in members:
            return False
        return rank.ranked(address, members, str)[0] == self.local_name

    def sweep(self, address: str) -> None:
        """Free the stale parts of one store."""
        epoch, parts = self.index.stale_parts(address, self.is_stale)
        if not parts:
            return
        batch = parts[:BATCH_SIZE]
        try:
            self.stores.free(address, epoch, batch)
        except store_watch.StoreUnavailableError as error:
            log.warning("parts_not_freed", address=address, detail=str(error))
            return
        counts = collections.Counter(salt for salt, _part in batch)
        log.info("parts_freed", address=address, salts=dict(counts))

    def is_stale(self, text: str) -> bool:
        """Return whether no engine can use parts with a salt."""
        salt = salts.parse(text)
        if salt is None:
            return False
        oldest = self.oldest(salt.model)
        key = (salt.model, salt.version)
        if oldest is None or salt.version >= oldest:
            self.stale_at_s.pop(key, None)
            return False
        stale_at_s = self.stale_at_s.setdefault(key, self.clock())
        return self.clock() - stale_at_s >= GRACE_S
