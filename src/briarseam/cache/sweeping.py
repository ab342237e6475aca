"""Sweeping a store's listing for blocks that the index lacks.

After a restart, or when this agent becomes the owner of more groups, its
index lacks blocks that are in the stores.  It reads the listing page by page,
adopts blocks that are certainly complete, and frees blocks that can never be
adopted.
"""

from __future__ import annotations

import dataclasses
import typing

from briarseam.cache import exporting
from briarseam.cache import names
from briarseam.cache import state
from briarseam.cache import stores as store_state
from briarseam.configuration import schema
from briarseam.endpoints import store as store_client

PAGE_BLOCKS = 500
MIN_PAUSE_S = 300.0
PAUSE_FACTOR = 9.0
MAX_UNADOPTED = 10000
MS = 1000.0
ANY_GROUP = bytes(names.GROUP_BYTES)


@dataclasses.dataclass(frozen=True)
class UnadoptedBlock:
    """A listed block that can't be adopted yet.

    Attributes
    ----------
    block
        The block, as listed.
    time_ms
        Time of its write, by the store's clock.
    """

    block: state.Block
    time_ms: float


@dataclasses.dataclass
class Sweep:
    """One pass over a store's listing.

    Attributes
    ----------
    after
        Last name read.
    unadopted
        This agent's blocks in this pass that could not be adopted.
    unadopted_before
        The same from the previous pass.
    passes
        Passes completed in this boot of the store.
    started_at
        Start time of this pass.
    paused_until
        Earliest start time of this pass.
    epoch
        Epoch of the set of agents in the last pass that started.
    """

    after: str = ""
    unadopted: dict[bytes, UnadoptedBlock] = dataclasses.field(
        default_factory=dict
    )
    unadopted_before: dict[bytes, UnadoptedBlock] = dataclasses.field(
        default_factory=dict
    )
    passes: int = 0
    started_at: float = 0.0
    paused_until: float = 0.0
    epoch: int = -1


class Sweeper:
    """Sweeps the listing of one store.

    Parameters
    ----------
    store
        The store.
    context
        Objects shared by the parts of the kept cache.
    view
        Returns the current configuration.
    wall_clock
        Seconds since the epoch, for the age of listed blocks.
    sweep_pause_s
        Minimum seconds between two passes.
    """

    def __init__(
        self,
        store: store_state.Store,
        context: exporting.CacheContext,
        view: typing.Callable[[], schema.View],
        wall_clock: typing.Callable[[], float],
        sweep_pause_s: float = MIN_PAUSE_S,
    ) -> None:
        self.store = store
        self.context = context
        self.view = view
        self.wall_clock = wall_clock
        self.sweep_pause_s = sweep_pause_s
        self.sweep = Sweep()

    def restart(self) -> None:
        """Discard the state of the sweep, after a reboot of the store."""
        self.sweep = Sweep()

    def unadopted_bytes(self) -> int:
        """Return the bytes of blocks that can't be adopted yet."""
        unadopted = {**self.sweep.unadopted_before, **self.sweep.unadopted}
        return sum(item.block.size for item in unadopted.values())

    def read_page(self) -> None:
        """Read the next page of the store's listing.

        Listings are long, so there is a pause between two passes, at least
        ``PAUSE_FACTOR`` times as long as a pass.  A change in the set of
        agents ends it, since this agent may have become the owner of more
        groups.
        """
        sweep = self.sweep
        now = self.context.clock()
        epoch = self.context.sharing.holders(ANY_GROUP).epoch
        if not sweep.after:
            if now < sweep.paused_until and sweep.epoch == epoch:
                self.retry_adoption()
                return
            sweep.started_at = now
            sweep.epoch = epoch
        page = self.context.client.listing(
            self.store.address, sweep.after, PAGE_BLOCKS
        )
        if page.boot_id != self.store.boot_id:
            return
        for listed in page.blocks:
            self.handle_listed(listed, page.boot_id)
        if page.more:
            sweep.after = page.blocks[-1].name
            return
        self.end_pass()

    def retry_adoption(self) -> None:
        """Adopt skipped blocks once the size of complete ones is known."""
        for packed, unadopted in list(self.sweep.unadopted_before.items()):
            if self.adopt(unadopted.block, unadopted.time_ms):
                del self.sweep.unadopted_before[packed]

    def end_pass(self) -> None:
        """Free blocks that two passes could not adopt, and end the pass.

        A write that is in progress during one pass has completed or failed
        by the next.
        """
        sweep = self.sweep
        now = self.context.clock()
        for packed, unadopted in sweep.unadopted_before.items():
            if packed in sweep.unadopted and self.is_orphan(unadopted.block):
                self.context.index.free(unadopted.block, now)
                self.context.metrics.count("orphans_freed")
        sweep_pause_s = max(
            self.sweep_pause_s, PAUSE_FACTOR * (now - sweep.started_at)
        )
        self.sweep = Sweep(
            unadopted_before=sweep.unadopted,
            passes=sweep.passes + 1,
            paused_until=now + sweep_pause_s,
            epoch=sweep.epoch,
        )

    def is_orphan(self, block: state.Block) -> bool:
        """Return whether a block can never be adopted."""
        if self.context.index.contains(block):
            return False
        size = self.context.sizes.expected(block.variant)
        if size is not None and size != block.size:
            return True
        if self.context.index.by_key.get(block.key) is not None:
            return True
        return block.variant not in self.current_variants()

    def current_variants(self) -> set[bytes]:
        """Return the variants with which new requests are computed."""
        return {
            self.context.names.variant(name, model.adapter, model.version)
            for name, model in self.view().models.items()
        }

    def handle_listed(
        self, listed: store_client.StoredBlock, boot_id: str
    ) -> None:
        """Adopt a listed block if this agent owns its group."""
        packed = self.context.names.parse(listed.name)
        if packed is None:
            return
        block = state.Block(
            packed,
            listed.bytes,
            bytes.fromhex(listed.checksum),
            self.store.name,
            boot_id,
        )
        context = self.context
        if not context.sharing.holders(block.group).is_owner:
            return
        index = context.index
        if (
            packed in index.in_flight_writes
            or packed in index.pending_deletions
        ):
            return
        if index.contains(block):
            return
        if self.adopt(block, listed.time_ms):
            return
        if len(self.sweep.unadopted) < MAX_UNADOPTED:
            self.sweep.unadopted[packed] = UnadoptedBlock(
                block, listed.time_ms
            )

    def adopt(self, block: state.Block, time_ms: float) -> bool:
        """Index a listed block if it is certainly complete.

        Guard: a listing may contain partially written blocks whose writer
        has crashed.  Only a block that has the size of complete blocks of
        its variant is adopted; engines still verify its checksum.
        """
        context = self.context
        if block.variant not in self.current_variants():
            return False
        if context.sizes.expected(block.variant) != block.size:
            return False
        age_s = max(self.wall_clock() - time_ms / MS, 0.0)
        valid_until = context.sharing.valid_until(True)
        adopted = context.index.add(
            block, context.clock() - age_s, valid_until
        )
        if adopted:
            context.metrics.count("adopted_blocks")
        return adopted

    def free_unadopted(self, need: float) -> int:
        """Free blocks that can't be adopted; return their bytes."""
        freed = 0
        for packed in list(self.sweep.unadopted_before):
            if freed >= need:
                break
            block = self.sweep.unadopted_before.pop(packed).block
            self.sweep.unadopted.pop(packed, None)
            if not self.context.index.contains(block):
                self.context.index.free(block, self.context.clock())
                freed += block.size
        return freed
