"""Frees stored parts that no request can use any more.

They are of weight versions that no engine has, or shared by a group of
organisations of which one has been isolated.
"""

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
# Parts of a former group are freed after this time.  An instance that has not
# heard of the change fetches them meanwhile: changes take about two seconds,
# and longer to one that reaches neither the store nor its peers.
GROUP_GRACE_S = 60.0
# Parts freed per call.
BATCH_SIZE = 500
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
    is_superseded
        Returns whether no request has the parts of a group any more.
    """

    def __init__(
        self,
        stores: StoreClient,
        index: kept_module.KeptIndex,
        oldest: typing.Callable[[str], int | None],
        local_name: str,
        members: typing.Callable[[], typing.Sequence[str]],
        clock: typing.Callable[[], float] = clocks.boot_clock,
        is_superseded: typing.Callable[
            [salts.Scope], bool
        ] = is_never_superseded,
    ) -> None:
        self.stores = stores
        self.index = index
        self.oldest = oldest
        self.local_name = local_name
        self.members = members
        self.is_superseded = is_superseded
        self.clock = clock
        # Since when weights, by model and version, and groups are unused.
        self.unused_since_s: dict[typing.Hashable, float] = {}
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
        """Return whether no request can use parts with a salt."""
        salt = salts.parse(text)
        if salt is None:
            return False
        oldest = self.oldest(salt.model)
        is_old = oldest is not None and salt.version < oldest
        weights = (salt.model, salt.version)
        if self.unused_s(weights, is_old) >= GRACE_S:
            return True
        is_superseded = self.is_superseded(salt.scope)
        return self.unused_s(salt.scope, is_superseded) >= GROUP_GRACE_S

    def unused_s(self, key: typing.Hashable, is_unused: bool) -> float:
        """Return for how long weights or a group have been unused.

        Parameters
        ----------
        key
            The weights or the group.
        is_unused
            Whether they are unused now.

        Returns
        -------
        float
            Seconds; negative if they are in use.
        """
        now_s = self.clock()
        if not is_unused:
            self.unused_since_s.pop(key, None)
            return -1.0
        return now_s - self.unused_since_s.setdefault(key, now_s)
