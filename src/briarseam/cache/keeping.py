"""Keeping one store in order: its state, its listing, and deletions.

One thread per store polls its state, forgets what an earlier boot held,
adopts blocks of this agent's groups that its index has lost, frees what is
worth least when the store fills, and deletes freed blocks once nobody can
read them.  All of it is in one thread, so a listing is never taken in after
a deletion that it doesn't know of.
"""

from __future__ import annotations

import dataclasses
import random
import threading
import typing

import structlog

from briarseam.cache import exporting
from briarseam.cache import retention
from briarseam.cache import state
from briarseam.cache import stores as store_state
from briarseam.configuration import schema
from briarseam.endpoints import store as store_client

POLL_S = 1.0
PAGE = 500
LOW_WATER = 0.05
MAX_UNKNOWN = 10000
READING_S = 10.0
MS = 1000.0
log = structlog.get_logger("briarseam.cache")


@dataclasses.dataclass
class Sweep:
    """One pass over a store's listing.

    Attributes
    ----------
    after
        Last name taken in.
    unknown
        This agent's blocks that can't be adopted, as far as seen.
    seen_before
        The same from the pass before.
    passes
        Passes completed in this boot of the store.
    """

    after: str = ""
    unknown: dict[bytes, state.Block] = dataclasses.field(default_factory=dict)
    seen_before: dict[bytes, state.Block] = dataclasses.field(
        default_factory=dict
    )
    passes: int = 0


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
    ) -> None:
        self.store = store
        self.tools = tools
        self.ranker = ranker
        self.view = view
        self.stopping = stopping
        self.wall_clock = wall_clock
        self.poll_s = poll_s
        self.sweep = Sweep()
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
        self.take_page()
        self.make_room()

    def poll(self) -> None:
        """Take in the store's state."""
        answered = self.tools.client.state(self.store.address)
        if self.tools.stores.answered(self.store, answered):
            gone = self.tools.index.drop_boot(
                self.store.name, answered.boot_id
            )
            self.tools.metrics.count("lost_blocks", len(gone))
            self.sweep = Sweep()

    def delete_freed(self) -> None:
        """Delete freed blocks that nobody reads any more."""
        now = self.tools.clock()
        for block in self.tools.index.deletable(self.store.name, now):
            text = self.tools.names.text(block.packed)
            self.tools.client.delete(self.store.address, text)
            self.tools.index.deleted(block)
            self.store.used = max(self.store.used - block.size, 0)
            self.tools.metrics.count("deleted_blocks")

    def take_page(self) -> None:
        """Take in the next part of the store's listing."""
        page = self.tools.client.listing(
            self.store.address, self.sweep.after, PAGE
        )
        if page.boot_id != self.store.boot_id:
            return
        for listed in page.blocks:
            self.take_listed(listed, page.boot_id)
        if page.more:
            self.sweep.after = page.blocks[-1].name
            return
        self.end_pass()

    def end_pass(self) -> None:
        """Free what two passes could not adopt, and begin anew.

        A write that is under way when it is listed is whole by the next
        pass or has failed.
        """
        for packed, block in self.sweep.seen_before.items():
            if packed in self.sweep.unknown and self.is_waste(block):
                self.tools.index.free(block, self.tools.clock())
                self.tools.metrics.count("orphans_freed")
        self.sweep = Sweep(
            seen_before=self.sweep.unknown, passes=self.sweep.passes + 1
        )

    def is_waste(self, block: state.Block) -> bool:
        """Tell whether a block that can't be adopted never will be."""
        if self.tools.index.holds(block):
            return False
        size = self.tools.sizes.expected(block.variant)
        if size is not None and size != block.size:
            return True
        if self.tools.index.by_key.get(block.key) is not None:
            return True
        return block.variant not in self.current_variants()

    def current_variants(self) -> set[bytes]:
        """Return what new requests are computed with."""
        return {
            self.tools.names.variant(name, model.adapter, model.version)
            for name, model in self.view().models.items()
        }

    def take_listed(self, listed: store_client.Listed, boot_id: str) -> None:
        """Adopt a listed block if it is this agent's to keep."""
        packed = self.tools.names.parse(listed.name)
        if packed is None:
            return
        block = state.Block(
            packed,
            listed.bytes,
            bytes.fromhex(listed.checksum),
            self.store.name,
            boot_id,
        )
        tools = self.tools
        if not tools.sharing.holders(block.group).mine:
            return
        index = tools.index
        if packed in index.writing or packed in index.dying:
            return
        if index.holds(block):
            return
        if not self.adopt(block, listed) and (
            len(self.sweep.unknown) < MAX_UNKNOWN
        ):
            self.sweep.unknown[packed] = block

    def adopt(self, block: state.Block, listed: store_client.Listed) -> bool:
        """Index a listed block if it is certainly whole.

        Guard: a listing also shows blocks that are half written and whose
        writer is gone.  Only a block of the size that whole blocks of its
        variant have is taken; its engine still checks its checksum.
        """
        tools = self.tools
        if block.variant not in self.current_variants():
            return False
        if tools.sizes.expected(block.variant) != block.size:
            return False
        age_s = max(self.wall_clock() - listed.time_ms / MS, 0.0)
        until = tools.sharing.learned_until(True)
        adopted = tools.index.add(block, tools.clock() - age_s, until)
        if adopted:
            tools.metrics.count("adopted_blocks")
        return adopted

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
        need -= self.free_unknown(need)
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
        unknown = {**self.sweep.seen_before, **self.sweep.unknown}
        lost = sum(block.size for block in unknown.values())
        return self.tools.index.stored.get(self.store.name, 0) + lost

    def free_unknown(self, need: float) -> int:
        """Free blocks that can't be adopted; return their bytes."""
        freed = 0
        for packed in list(self.sweep.seen_before):
            if freed >= need:
                break
            block = self.sweep.seen_before.pop(packed)
            self.sweep.unknown.pop(packed, None)
            if not self.tools.index.holds(block):
                self.tools.index.free(block, self.tools.clock())
                freed += block.size
        return freed

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
                for name in retention.sampled(groups, self.chance)
                if name in self.tools.index.groups and holders(name).mine
            ]

    def candidate(self, name: bytes, now: float) -> retention.Candidate:
        """Return what is known of a group."""
        group = self.tools.index.groups[name]
        model = self.ranker().model
        kind = model.kind(name, len(group.blocks))
        cost = 1.0
        if group.blocks[-1].variant not in self.current_variants():
            cost = 0.0
        return retention.Candidate(name, kind, now - group.used_at, cost)

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
