"""Assigns stores to the readers of a cell, and follows all stores."""

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
# After joining, all peers' heartbeats arrive within two intervals of 0.5 s.
# Until then the instance seems to be alone and would read all stores.
SETTLE_S = 1.5
# Instances of a cell among which the stores are divided.  A store accepts
# twelve callers at once, of which each cell is one.  Each instance of the cell
# queries this many peers.
READERS_PER_CELL = 3
READERS_KEY = "store-readers"
# Up to this number of instances, each reads all stores directly and depends on
# no reader: prompts are prefilled again while a reader is lost or suspended.
MAX_DIRECT_INSTANCES = 10


class StoreWatches:
    """Follows all stores; large deployments use one reader per store and cell.

    A store refuses callers beyond a limit and sends each change to every
    caller.  Therefore few instances read it, and the others query those.

    Parameters
    ----------
    stores
        Calls to stores.
    readers
        Calls to instances that read stores directly.
    index
        Index of all stores.
    local_name
        Name of this instance.
    cell_members
        Returns the instances of this cell that are not leaving, this one
        included; empty before peers are known.
    instance_count
        Returns the number of all instances.
    weight_of
        Returns an instance's relative capacity: an instance with a slow link
        can't send the content of fifteen stores to thirty others.
    clock
        Seconds.
    """

    def __init__(
        self,
        stores: store_watch.Stores,
        readers: shared_watch.Readers,
        index: kept_module.KeptIndex,
        local_name: str,
        cell_members: typing.Callable[[], collections.abc.Collection[str]],
        instance_count: typing.Callable[[], int],
        weight_of: typing.Callable[[str], float] = rank.equal_weight,
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.stores = stores
        self.readers = readers
        self.index = index
        self.local_name = local_name
        self.cell_members = cell_members
        self.instance_count = instance_count
        self.weight_of = weight_of
        self.clock = clock
        self.peers_known_s: float | None = None
        self.addresses: frozenset[str] = frozenset()
        self.direct: dict[str, store_watch.StoreWatch] = {}
        self.shared: dict[str, shared_watch.SharedWatch] = {}
        self.reviews = repeating.Repeater(
            "store-watches", self.review, REVIEW_S
        )

    def start(self) -> None:
        """Start following."""
        self.reviews.start()

    def stop(self) -> None:
        """Stop all watches."""
        self.reviews.stop()
        for direct in self.direct.values():
            direct.stop()
        for shared in self.shared.values():
            shared.stop()

    def follow(self, addresses: collections.abc.Iterable[str]) -> None:
        """Set the stores to follow, effective from the next review."""
        self.addresses = frozenset(addresses)

    def reads(self, address: str) -> bool:
        """Return whether this instance reads a store directly."""
        return address in self.direct

    def review(self) -> None:
        """Match the watches to the current assignment of stores."""
        if self.instance_count() <= MAX_DIRECT_INSTANCES:
            self.match_shared({})
            self.match_direct(self.addresses)
            return
        members = self.cell_members()
        if not members:
            return
        if self.peers_known_s is None:
            self.peers_known_s = self.clock()
        if self.clock() - self.peers_known_s < SETTLE_S:
            return
        assigned = self.assign(members)
        self.match_direct(assigned.pop(self.local_name, frozenset()))
        self.match_shared(assigned)

    def assign(
        self, members: collections.abc.Iterable[str]
    ) -> dict[str, frozenset[str]]:
        """Assign the stores to readers; return them by reader."""
        readers = rank.strongest(READERS_KEY, members, self.weight_of)[
            :READERS_PER_CELL
        ]
        assigned: dict[str, set[str]] = collections.defaultdict(set)
        for address in self.addresses:
            assigned[rank.ranked(address, readers, str)[0]].add(address)
        return {
            reader: frozenset(addresses)
            for reader, addresses in assigned.items()
        }

    def match_direct(self, addresses: frozenset[str]) -> None:
        """Read exactly these stores directly."""
        for address in self.direct.keys() - addresses:
            self.direct.pop(address).stop()
        for address in addresses - self.direct.keys():
            watch = store_watch.StoreWatch(self.stores, address, self.index)
            watch.start()
            self.direct[address] = watch

    def match_shared(self, assigned: dict[str, frozenset[str]]) -> None:
        """Query exactly these readers, each about its stores."""
        for reader, watch in list(self.shared.items()):
            if assigned.get(reader) != watch.cursors.keys():
                self.shared.pop(reader).stop()
        for reader in assigned.keys() - self.shared.keys():
            watch = shared_watch.SharedWatch(
                self.readers, reader, assigned[reader], self.index
            )
            watch.start()
            self.shared[reader] = watch
