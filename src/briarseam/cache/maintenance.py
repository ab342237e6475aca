"""Maintenance of one store: polling its state, sweeping and deleting.

One thread per store polls its state, removes the blocks of earlier boots from
the index, adopts blocks of this agent's groups that the index has lost, frees
the blocks of lowest value when the store fills, and deletes freed blocks that
have no readers left.  A single thread does all this, so that no listing is
applied after a deletion that it doesn't contain.
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
    """Maintains one store.

    Parameters
    ----------
    store
        The store.
    context
        Objects shared by the parts of the kept cache.
    ranker
        Returns the ranker of the current policy.
    view
        Returns the current configuration.
    stopping
        Set to stop the thread.
    wall_clock
        Seconds since the epoch, for the age of listed blocks.
    poll_s
        Seconds between steps.
    sweep_pause_s
        Minimum seconds between two passes over the listing.
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
        """Maintain the store until stopped."""
        while self.running():
            try:
                self.step()
            except store_client.StoreUnavailableError as error:
                self.context.stores.record_failure(self.store, str(error))
            self.stopping.wait(self.poll_s)

    def running(self) -> bool:
        """Return whether the thread should continue."""
        current = self.context.stores.is_current(self.store)
        return current and not self.stopping.is_set()

    def step(self) -> None:
        """Run each maintenance task once.

        Raises
        ------
        StoreUnavailableError
            If the store does not answer.
        """
        self.poll()
        self.delete_freed()
        self.sweeper.read_page()
        self.make_room()

    def poll(self) -> None:
        """Poll the store's state and handle a reboot."""
        state = self.context.client.state(self.store.address)
        if self.context.stores.apply_state(self.store, state):
            dropped = self.context.index.drop_earlier_boots(
                self.store.name, state.boot_id
            )
            self.context.metrics.count("lost_blocks", len(dropped))
            self.sweeper.restart()

    def delete_freed(self) -> None:
        """Delete freed blocks that have no readers left."""
        now = self.context.clock()
        for block in self.context.index.deletable(self.store.name, now):
            text = self.context.names.format(block.packed)
            self.context.client.delete(self.store.address, text)
            self.context.index.finish_deletion(block)
            self.store.used = max(self.store.used - block.size, 0)
            self.context.metrics.count("deleted_blocks")

    def make_room(self) -> None:
        """Free the groups of lowest value while the store is too full.

        Each agent frees its own share of the excess.
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
        """Return the bytes of blocks that are freed but not yet deleted."""
        with self.context.index.lock:
            return sum(
                deletion.block.size
                for deletion in self.context.index.pending_deletions.values()
                if deletion.block.store == self.store.name
            )

    def owned_bytes(self) -> int:
        """Return the bytes in the store that this agent manages."""
        unadopted = self.sweeper.unadopted_bytes()
        return (
            self.context.index.bytes_by_store.get(self.store.name, 0)
            + unadopted
        )

    def store_groups(self) -> list[bytes]:
        """Return groups in this store that may be freed."""
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
        """Free the end of the group of lowest value; return its bytes."""
        ranker = self.ranker()
        victim = ranker.victim(self.candidates(groups))
        if victim is None:
            return 0
        self.store.min_value = ranker.value(victim)
        return self.free_from_end(victim.group, needed)

    def candidates(self, groups: list[bytes]) -> list[retention.Candidate]:
        """Return candidates from a sample of groups, if owned."""
        now = self.context.clock()
        holders = self.context.sharing.holders
        with self.context.index.lock:
            return [
                self.candidate(name, now)
                for name in retention.sample_groups(groups, self.rng)
                if name in self.context.index.groups and holders(name).is_owner
            ]

    def candidate(self, name: bytes, now: float) -> retention.Candidate:
        """Return a group as a candidate."""
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
        """Return the hashes of organisations that exceed their share."""
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

        The last blocks are freed first, since a block is useless without
        those before it.
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
