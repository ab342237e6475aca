"""Sweeping a store's listing for blocks that this agent has lost.

After a restart, or when this agent becomes the owner of more groups, its
index lacks blocks that are in the stores.  It takes in the listing page by
page, adopts what is certainly whole, and frees what nobody ever will.
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

PAGE = 500
REST_S = 300.0
REST_FACTOR = 9.0
MAX_UNKNOWN = 10000
MS = 1000.0
ANY_GROUP = bytes(names.GROUP_BYTES)


@dataclasses.dataclass(frozen=True)
class Unknown:
    """A listed block that can't be adopted as yet.

    Attributes
    ----------
    block
        As listed.
    time_ms
        When it was written, by the store's clock.
    """

    block: state.Block
    time_ms: float


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
    began
        When this pass began.
    rest_until
        When it may begin.
    epoch
        Set of agents that the pass before has seen.
    """

    after: str = ""
    unknown: dict[bytes, Unknown] = dataclasses.field(default_factory=dict)
    seen_before: dict[bytes, Unknown] = dataclasses.field(default_factory=dict)
    passes: int = 0
    began: float = 0.0
    rest_until: float = 0.0
    epoch: int = -1


class Sweeper:
    """Sweeps one store.

    Parameters
    ----------
    store
        The store.
    tools
        Index, adapters and the like.
    view
        Gives the present configuration.
    wall_clock
        Seconds since the epoch, to tell the age of listed blocks.
    rest_s
        Least seconds between two passes.
    """

    def __init__(
        self,
        store: store_state.Store,
        tools: exporting.Tools,
        view: typing.Callable[[], schema.View],
        wall_clock: typing.Callable[[], float],
        rest_s: float = REST_S,
    ) -> None:
        self.store = store
        self.tools = tools
        self.view = view
        self.wall_clock = wall_clock
        self.rest_s = rest_s
        self.sweep = Sweep()

    def begin_anew(self) -> None:
        """Forget what was seen: it was another boot's."""
        self.sweep = Sweep()

    def unknown_bytes(self) -> int:
        """Return the bytes of blocks that can't be adopted as yet."""
        unknown = {**self.sweep.seen_before, **self.sweep.unknown}
        return sum(one.block.size for one in unknown.values())

    def take_page(self) -> None:
        """Take in the next part of the store's listing.

        Listings are long, so between two passes there is a rest, at least
        ``REST_FACTOR`` times as long as a pass.  A change in the set of
        agents ends it, since this agent may have become the owner of
        groups.
        """
        sweep = self.sweep
        now = self.tools.clock()
        epoch = self.tools.sharing.holders(ANY_GROUP).epoch
        if not sweep.after:
            if now < sweep.rest_until and sweep.epoch == epoch:
                self.adopt_known()
                return
            sweep.began = now
            sweep.epoch = epoch
        page = self.tools.client.listing(self.store.address, sweep.after, PAGE)
        if page.boot_id != self.store.boot_id:
            return
        for listed in page.blocks:
            self.take_listed(listed, page.boot_id)
        if page.more:
            sweep.after = page.blocks[-1].name
            return
        self.end_pass()

    def adopt_known(self) -> None:
        """Adopt what was passed over, once its whole size is known."""
        for packed, unknown in list(self.sweep.seen_before.items()):
            if self.adopt(unknown.block, unknown.time_ms):
                del self.sweep.seen_before[packed]

    def end_pass(self) -> None:
        """Free what two passes could not adopt, and begin anew.

        A write that is under way when it is listed is whole by the next
        pass or has failed.
        """
        sweep = self.sweep
        now = self.tools.clock()
        for packed, unknown in sweep.seen_before.items():
            if packed in sweep.unknown and self.is_waste(unknown.block):
                self.tools.index.free(unknown.block, now)
                self.tools.metrics.count("orphans_freed")
        rest_s = max(self.rest_s, REST_FACTOR * (now - sweep.began))
        self.sweep = Sweep(
            seen_before=sweep.unknown,
            passes=sweep.passes + 1,
            rest_until=now + rest_s,
            epoch=sweep.epoch,
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
        if self.adopt(block, listed.time_ms):
            return
        if len(self.sweep.unknown) < MAX_UNKNOWN:
            self.sweep.unknown[packed] = Unknown(block, listed.time_ms)

    def adopt(self, block: state.Block, time_ms: float) -> bool:
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
        age_s = max(self.wall_clock() - time_ms / MS, 0.0)
        until = tools.sharing.learned_until(True)
        adopted = tools.index.add(block, tools.clock() - age_s, until)
        if adopted:
            tools.metrics.count("adopted_blocks")
        return adopted

    def free_unknown(self, need: float) -> int:
        """Free blocks that can't be adopted; return their bytes."""
        freed = 0
        for packed in list(self.sweep.seen_before):
            if freed >= need:
                break
            block = self.sweep.seen_before.pop(packed).block
            self.sweep.unknown.pop(packed, None)
            if not self.tools.index.holds(block):
                self.tools.index.free(block, self.tools.clock())
                freed += block.size
        return freed
