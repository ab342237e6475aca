"""Keeping one store in order: its state, its listing, and deletions.

One thread per store polls its state, forgets what an earlier boot held,
adopts blocks of this agent's groups that its index has lost, frees what is
worth least when the store fills, and deletes freed blocks once nobody can
read them.  All of it is in one thread, so a listing is never taken in after
a deletion that it doesn't know of.
"""

from __future__ import annotations

import random
import threading
import typing

import structlog

from briarseam.cache import exporting
from briarseam.cache import retention
from briarseam.cache import stores as store_state
from briarseam.cache import sweeping
from briarseam.configuration import schema
from briarseam.endpoints import store as store_client

POLL_S = 1.0
LOW_WATER = 0.05
MAX_IMPORT_S = 10.0
log = structlog.get_logger("briarseam.cache")


class StoreMaintainer:
    """Keeps one store in order.

    Parameters
    ----------
    store
        The store.
    tools
        Index, adapters and the like.
    ranker
        Gives the present policy's order of victims.
    view
        Gives the present configuration.
    stopping
        Set to end it.
    wall_clock
        Seconds since the epoch, to tell the age of listed blocks.
    poll_s
        Seconds between steps.
    rest_s
        Least seconds between two passes over the listing.
    """

    def __init__(
        self,
        store: store_state.Store,
        context: exporting.CacheContext,
        ranker: typing.Callable[[], retention.Ranker],
        view: typing.Callable[[], schema.View],
        stopping: threading.Event,
        wall_clock: typing.Callable[[], float],
        poll_s: float = POLL_S,
        sweep_pause_s: float = sweeping.MIN_PAUSE_S,
    ) -> None:
        self.store = store
        self.context = context
        self.ranker = ranker
        self.view = view
        self.stopping = stopping
        self.poll_s = poll_s
        self.sweeper = sweeping.Sweeper(
            store, context, view, wall_clock, sweep_pause_s
        )
        self.rng = random.Random(store.name)
        self.thread = threading.Thread(
            target=self.work, name=f"keep-{store.name}", daemon=True
        )

    def work(self) -> None:
        """Keep the store in order until stopped."""
        while self.running():
            try:
                self.step()
            except store_client.StoreUnavailableError as error:
                self.context.stores.record_failure(self.store, str(error))
            self.stopping.wait(self.poll_s)

    def running(self) -> bool:
        """Tell whether to go on."""
        current = self.context.stores.is_current(self.store)
        return current and not self.stopping.is_set()

    def step(self) -> None:
        """Do each duty once.

        Raises
        ------
        StoreUnavailableError
            When the store does not answer.
        """
        self.poll()
        self.delete_freed()
        self.sweeper.read_page()
        self.make_room()

    def poll(self) -> None:
        """Take in the store's state."""
        answered = self.context.client.state(self.store.address)
        if self.context.stores.apply_state(self.store, answered):
            dropped = self.context.index.drop_earlier_boots(
                self.store.name, answered.boot_id
            )
            self.context.metrics.count("lost_blocks", len(dropped))
            self.sweeper.restart()

    def delete_freed(self) -> None:
        """Delete freed blocks that nobody reads any more."""
        now = self.context.clock()
        for block in self.context.index.deletable(self.store.name, now):
            text = self.context.names.format(block.packed)
            self.context.client.delete(self.store.address, text)
            self.context.index.finish_deletion(block)
            self.store.used = max(self.store.used - block.size, 0)
            self.context.metrics.count("deleted_blocks")

    def make_room(self) -> None:
        """Free what is worth least while the store is too full.

        Each agent frees the part that it answers for.
        """
        fill = self.view().kept_cache.fill
        limit = fill * self.store.capacity
        used = self.store.used - self.pending_deletion_bytes()
        if used <= limit:
            self.store.min_value = 0.0
            return
        excess = used - max(fill - LOW_WATER, 0.0) * self.store.capacity
        owned = self.owned_bytes()
        needed = excess * min(owned / used, 1.0) if used else 0.0
        needed -= self.sweeper.free_unadopted(needed)
        groups = self.store_groups() if needed > 0 else []
        while needed > 0 and groups:
            freed = self.free_lowest(groups, needed)
            if not freed:
                return
            needed -= freed

    def pending_deletion_bytes(self) -> int:
        """Return the bytes that are freed but not yet deleted."""
        with self.context.index.lock:
            return sum(
                deletion.block.size
                for deletion in self.context.index.pending_deletions.values()
                if deletion.block.store == self.store.name
            )

    def owned_bytes(self) -> int:
        """Return the bytes that this agent answers for."""
        lost = self.sweeper.unadopted_bytes()
        return self.context.index.bytes_by_store.get(self.store.name, 0) + lost

    def store_groups(self) -> list[bytes]:
        """Return groups with blocks here that may have to go."""
        index = self.context.index
        with index.lock:
            over_share = self.organisations_over_share()
            return [
                name
                for name, group in index.groups.items()
                if group.blocks[0].store == self.store.name
                and (not over_share or name[:4] in over_share)
            ]

    def free_lowest(self, groups: list[bytes], needed: float) -> int:
        """Free the end of the worst of some groups; return its bytes."""
        ranker = self.ranker()
        victim = ranker.victim(self.candidates(groups))
        if victim is None:
            return 0
        self.store.min_value = ranker.value(victim)
        return self.free_from_end(victim.group, needed)

    def candidates(self, groups: list[bytes]) -> list[retention.Candidate]:
        """Return what is known of some groups that this agent owns."""
        now = self.context.clock()
        holders = self.context.sharing.holders
        with self.context.index.lock:
            return [
                self.candidate(name, now)
                for name in retention.sample_groups(groups, self.rng)
                if name in self.context.index.groups and holders(name).is_owner
            ]

    def candidate(self, name: bytes, now: float) -> retention.Candidate:
        """Return what is known of a group."""
        group = self.context.index.groups[name]
        model = self.ranker().model
        group_class = model.group_class(name, len(group.blocks))
        cost = 1.0
        if group.blocks[-1].variant not in self.sweeper.current_variants():
            cost = 0.0
        return retention.Candidate(
            name, group_class, now - group.used_at, cost
        )

    def organisations_over_share(self) -> set[bytes]:
        """Return organisations that fill more than their share."""
        view = self.view()
        shares = {
            self.context.names.organisation(name): organisation.cache_share
            for name, organisation in view.organisations.items()
            if organisation.cache_share < 1.0
        }
        if not shares:
            return set()
        total = max(self.owned_bytes(), 1)
        filled: dict[bytes, int] = {}
        for name, group in self.context.index.groups.items():
            if group.blocks[0].store == self.store.name:
                filled[name[:4]] = filled.get(name[:4], 0) + group.size
        return {
            name
            for name, size in filled.items()
            if size > shares.get(name, 1.0) * total
        }

    def free_from_end(self, name: bytes, needed: float) -> int:
        """Free a group's blocks from its end; return their bytes.

        The end goes first: a block is of no use without those in front
        of it.
        """
        context = self.context
        wait_s = context.sharing.deletion_delay_s(
            context.sharing.holders(name), MAX_IMPORT_S
        )
        not_before = context.clock() + wait_s
        with context.index.lock:
            group = context.index.groups.get(name)
            blocks = list(group.blocks) if group is not None else []
        blocks.sort(key=lambda block: block.depth, reverse=True)
        freed = 0
        for block in blocks:
            if freed >= needed:
                break
            if context.index.free(block, not_before):
                freed += block.size
                context.sharing.announce_freed(block)
                context.metrics.count("freed_blocks")
        return freed
