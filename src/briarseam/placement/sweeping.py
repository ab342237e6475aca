"""Freeing what stores keep of weights that no engine has any more."""

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
# All engines must have been seen beyond a version for this long before its
# parts are freed.  A fetch that began before takes no longer than this: one
# that would wait for two seconds is not started.
GRACE_S = 4.0
# Parts freed with one call.
BATCH = 500
log = structlog.get_logger("briarseam.placement")


class Freeing(typing.Protocol):
    """Calls that free parts."""

    def free(
        self,
        address: str,
        epoch: int,
        parts: typing.Sequence[tuple[str, str]],
    ) -> None:
        """Free parts at once, if the store has not started anew."""


class Sweeper:
    """Frees stale parts of the stores that fall to this instance.

    A part must not be freed while it is fetched.  Requests name the weights
    that they must run on, so once no engine has a version any more, nothing
    that would fetch its parts can start.

    Parameters
    ----------
    stores
        Calls to stores.
    index
        What stores keep.
    oldest
        Returns the oldest weights that any engine of a model may have;
        ``None`` while that is not known.
    me, members
        This instance, and all that are alive.
    clock
        Seconds.
    """

    def __init__(
        self,
        stores: Freeing,
        index: kept_module.KeptIndex,
        oldest: typing.Callable[[str], int | None],
        me: str,
        members: typing.Callable[[], typing.Sequence[str]],
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.stores = stores
        self.index = index
        self.oldest = oldest
        self.me = me
        self.members = members
        self.clock = clock
        self.since: dict[tuple[str, int], float] = {}
        self.reviews = repeating.Repeater("sweeper", self.review, REVIEW_S)

    def start(self) -> None:
        """Begin."""
        self.reviews.start()

    def stop(self) -> None:
        """Free nothing further."""
        self.reviews.stop()

    def review(self) -> None:
        """Sweep all stores that fall to this instance once."""
        for address in list(self.index.stores):
            if self.owns(address):
                self.sweep(address)

    def owns(self, address: str) -> bool:
        """Tell whether a store falls to this instance."""
        members = list(self.members())
        if self.me not in members:
            return False
        return rank.ranked(address, members, str)[0] == self.me

    def sweep(self, address: str) -> None:
        """Free the stale parts of one store."""
        epoch, parts = self.index.stale(address, self.is_stale)
        if not parts:
            return
        batch = parts[:BATCH]
        try:
            self.stores.free(address, epoch, batch)
        except store_watch.StoreUnavailableError as error:
            log.warning("parts_not_freed", address=address, detail=str(error))
            return
        salts_of = collections.Counter(salt for salt, _part in batch)
        log.info("parts_freed", address=address, salts=dict(salts_of))

    def is_stale(self, text: str) -> bool:
        """Tell whether parts under a salt can be used by no engine."""
        salt = salts.parse(text)
        if salt is None:
            return False
        oldest = self.oldest(salt.model)
        key = (salt.model, salt.version)
        if oldest is None or salt.version >= oldest:
            self.since.pop(key, None)
            return False
        since_s = self.since.setdefault(key, self.clock())
        return self.clock() - since_s >= GRACE_S
