"""Which instance of a cell reads which store, and following them all."""

from __future__ import annotations

import collections
import typing

from briarseam import clocks
from briarseam import repeating
from briarseam.lookup import rank
from briarseam.placement import shared_watch
from briarseam.placement import store_watch

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.placement import kept as kept_module

REVIEW_S = 0.25
# Peers are heard within two heartbeats of half a second after they are met;
# before, this instance alone seems to be there, and would read all stores.
SETTLE_S = 1.5
# Instances of a cell among which the stores are divided.  A store takes
# twelve callers at once, and each cell has one; each of its instances asks
# as many peers as this.
READERS = 3
READERS_KEY = "store-readers"
# Up to so many instances each reads all stores itself, and depends on no
# other: while a reader is lost or suspended, prompts are computed again.
DIRECT_UP_TO = 10


class StoreWatches:
    """Follows all stores; in large deployments one reader a store and cell.

    A store refuses callers beyond some number, and each of its changes is a
    message to each caller.  So few instances read it, and the others ask
    those.

    Parameters
    ----------
    stores
        Calls to stores.
    readers
        Calls to instances that read stores.
    index
        What is known of all stores.
    me
        Name of this instance.
    cell
        Returns the instances of this cell that stay, this one included;
        empty before peers are met.
    count
        Returns the number of all instances.
    weight_of
        Returns the work an instance can take, relative to others: a weak
        link cannot tell thirty others what fifteen stores keep.
    clock
        Seconds.
    """

    def __init__(
        self,
        stores: store_watch.Stores,
        readers: shared_watch.Readers,
        index: kept_module.KeptIndex,
        me: str,
        cell: typing.Callable[[], collections.abc.Collection[str]],
        count: typing.Callable[[], int],
        weight_of: typing.Callable[[str], float] = rank.equal_weight,
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.stores = stores
        self.readers = readers
        self.index = index
        self.me = me
        self.cell = cell
        self.count = count
        self.weight_of = weight_of
        self.clock = clock
        self.met_s: float | None = None
        self.addresses: frozenset[str] = frozenset()
        self.direct: dict[str, store_watch.StoreWatch] = {}
        self.shared: dict[str, shared_watch.SharedWatch] = {}
        self.reviews = repeating.Repeater(
            "store-watches", self.review, REVIEW_S
        )

    def start(self) -> None:
        """Begin following."""
        self.reviews.start()

    def stop(self) -> None:
        """Stop all watches."""
        self.reviews.stop()
        for direct in self.direct.values():
            direct.stop()
        for shared in self.shared.values():
            shared.stop()

    def follow(self, addresses: collections.abc.Iterable[str]) -> None:
        """Follow these stores and no others, from the next review on."""
        self.addresses = frozenset(addresses)

    def reads(self, address: str) -> bool:
        """Tell whether this instance reads a store itself."""
        return address in self.direct

    def review(self) -> None:
        """Watch each store as falls to this instance just now."""
        if self.count() <= DIRECT_UP_TO:
            self.match_shared({})
            self.match_direct(self.addresses)
            return
        cell = self.cell()
        if not cell:
            return
        if self.met_s is None:
            self.met_s = self.clock()
        if self.clock() - self.met_s < SETTLE_S:
            return
        assigned = self.assign(cell)
        self.match_direct(assigned.pop(self.me, frozenset()))
        self.match_shared(assigned)

    def assign(
        self, cell: collections.abc.Iterable[str]
    ) -> dict[str, frozenset[str]]:
        """Return the stores by the instance that reads them."""
        pool = rank.strongest(READERS_KEY, cell, self.weight_of)[:READERS]
        found: dict[str, set[str]] = collections.defaultdict(set)
        for address in self.addresses:
            found[rank.ranked(address, pool, str)[0]].add(address)
        return {
            reader: frozenset(addresses) for reader, addresses in found.items()
        }

    def match_direct(self, addresses: frozenset[str]) -> None:
        """Read these stores here, and no others."""
        for address in self.direct.keys() - addresses:
            self.direct.pop(address).stop()
        for address in addresses - self.direct.keys():
            watch = store_watch.StoreWatch(self.stores, address, self.index)
            watch.start()
            self.direct[address] = watch

    def match_shared(self, assigned: dict[str, frozenset[str]]) -> None:
        """Ask these instances about these stores, and no others."""
        for reader, watch in list(self.shared.items()):
            if assigned.get(reader) != watch.cursors.keys():
                self.shared.pop(reader).stop()
        for reader in assigned.keys() - self.shared.keys():
            watch = shared_watch.SharedWatch(
                self.readers, reader, assigned[reader], self.index
            )
            watch.start()
            self.shared[reader] = watch
