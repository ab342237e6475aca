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
READING_S = 10.0
log = structlog.get_logger("briarseam.cache")


class Keeper:
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
        tools: exporting.Tools,
        ranker: typing.Callable[[], retention.Ranker],
        view: typing.Callable[[], schema.View],
        stopping: threading.Event,
        wall_clock: typing.Callable[[], float],
        poll_s: float = POLL_S,
        rest_s: float = sweeping.REST_S,
    ) -> None:
        self.store = store
        self.tools = tools
        self.ranker = ranker
        self.view = view
        self.stopping = stopping
        self.poll_s = poll_s
        self.sweeper = sweeping.Sweeper(store, tools, view, wall_clock, rest_s)
        self.chance = random.Random(store.name)
        self.thread = threading.Thread(
            target=self.work, name=f"keep-{store.name}", daemon=True
        )

    def work(self) -> None:
        """Keep the store in order until stopped."""
        while self.running():
            try:
                self.step()
            except store_client.StoreUnavailableError as error:
                self.tools.stores.failed(self.store, str(error))
            self.stopping.wait(self.poll_s)

    def running(self) -> bool:
        """Tell whether to go on."""
        current = self.tools.stores.is_current(self.store)
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
        self.sweeper.take_page()
        self.make_room()

    def poll(self) -> None:
        """Take in the store's state."""
        answered = self.tools.client.state(self.store.address)
        if self.tools.stores.answered(self.store, answered):
            gone = self.tools.index.drop_boot(
                self.store.name, answered.boot_id
            )
            self.tools.metrics.count("lost_blocks", len(gone))
            self.sweeper.begin_anew()

    def delete_freed(self) -> None:
        """Delete freed blocks that nobody reads any more."""
        now = self.tools.clock()
        for block in self.tools.index.deletable(self.store.name, now):
            text = self.tools.names.text(block.packed)
            self.tools.client.delete(self.store.address, text)
            self.tools.index.deleted(block)
            self.store.used = max(self.store.used - block.size, 0)
            self.tools.metrics.count("deleted_blocks")

    def make_room(self) -> None:
        """Free what is worth least while the store is too full.

        Each agent frees the part that it answers for.
        """
        fill = self.view().kept_cache.fill
        limit = fill * self.store.capacity
        used = self.store.used - self.dying_bytes()
        if used <= limit:
            self.store.bar = 0.0
            return
        excess = used - max(fill - LOW_WATER, 0.0) * self.store.capacity
        mine = self.my_bytes()
        need = excess * min(mine / used, 1.0) if used else 0.0
        need -= self.sweeper.free_unknown(need)
        groups = self.groups_here() if need > 0 else []
        while need > 0 and groups:
            freed = self.free_one(groups, need)
            if not freed:
                return
            need -= freed

    def dying_bytes(self) -> int:
        """Return the bytes that are freed but not yet deleted."""
        with self.tools.index.lock:
            return sum(
                dying.block.size
                for dying in self.tools.index.dying.values()
                if dying.block.store == self.store.name
            )

    def my_bytes(self) -> int:
        """Return the bytes that this agent answers for."""
        lost = self.sweeper.unknown_bytes()
        return self.tools.index.stored.get(self.store.name, 0) + lost

    def groups_here(self) -> list[bytes]:
        """Return groups with blocks here that may have to go."""
        index = self.tools.index
        with index.lock:
            over = self.organisations_over()
            return [
                name
                for name, group in index.groups.items()
                if group.blocks[0].store == self.store.name
                and (not over or name[:4] in over)
            ]

    def free_one(self, groups: list[bytes], need: float) -> int:
        """Free the end of the worst of some groups; return its bytes."""
        ranker = self.ranker()
        victim = ranker.victim(self.candidates(groups))
        if victim is None:
            return 0
        self.store.bar = ranker.worth(victim)
        return self.free_tail(victim.group, need)

    def candidates(self, groups: list[bytes]) -> list[retention.Candidate]:
        """Return what is known of some groups that this agent owns."""
        now = self.tools.clock()
        holders = self.tools.sharing.holders
        with self.tools.index.lock:
            return [
                self.candidate(name, now)
                for name in retention.sample_groups(groups, self.chance)
                if name in self.tools.index.groups and holders(name).mine
            ]

    def candidate(self, name: bytes, now: float) -> retention.Candidate:
        """Return what is known of a group."""
        group = self.tools.index.groups[name]
        model = self.ranker().model
        group_class = model.group_class(name, len(group.blocks))
        cost = 1.0
        if group.blocks[-1].variant not in self.sweeper.current_variants():
            cost = 0.0
        return retention.Candidate(
            name, group_class, now - group.used_at, cost
        )

    def organisations_over(self) -> set[bytes]:
        """Return organisations that fill more than their share."""
        view = self.view()
        shares = {
            self.tools.names.organisation(name): organisation.cache_share
            for name, organisation in view.organisations.items()
            if organisation.cache_share < 1.0
        }
        if not shares:
            return set()
        total = max(self.my_bytes(), 1)
        filled: dict[bytes, int] = {}
        for name, group in self.tools.index.groups.items():
            if group.blocks[0].store == self.store.name:
                filled[name[:4]] = filled.get(name[:4], 0) + group.size
        return {
            name
            for name, size in filled.items()
            if size > shares.get(name, 1.0) * total
        }

    def free_tail(self, name: bytes, need: float) -> int:
        """Free a group's blocks from its end; return their bytes.

        The end goes first: a block is of no use without those in front
        of it.
        """
        tools = self.tools
        wait_s = tools.sharing.free_wait_s(
            tools.sharing.holders(name), READING_S
        )
        not_before = tools.clock() + wait_s
        with tools.index.lock:
            group = tools.index.groups.get(name)
            blocks = list(group.blocks) if group is not None else []
        blocks.sort(key=lambda block: block.depth, reverse=True)
        freed = 0
        for block in blocks:
            if freed >= need:
                break
            if tools.index.free(block, not_before):
                freed += block.size
                tools.sharing.freed(block)
                tools.metrics.count("freed_blocks")
        return freed
