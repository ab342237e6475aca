"""Plans: what could be imported for a prompt, and how long it would take."""

from __future__ import annotations

import dataclasses
import typing

from briarseam.cache import exporting
from briarseam.cache import links
from briarseam.cache import pieces
from briarseam.cache import state
from briarseam.configuration import schema


class Planner:
    """Makes plans from the index and the links.

    Parameters
    ----------
    tools
        Index, stores and the like.
    view
        Gives the present configuration.
    salt
        Salt under which engines name the prefixes of an organisation and
        an adapter.
    """

    def __init__(
        self,
        context: exporting.CacheContext,
        view: typing.Callable[[], schema.View],
        salt: typing.Callable[[str, str], str],
    ) -> None:
        self.context = context
        self.view = view
        self.salt = salt

    def plan(self, prompt: state.Prompt, cached_pieces: int) -> state.Plan:
        """Return what can be imported after the cached pieces."""
        missing = prompt.chain[cached_pieces:]
        if not missing or self.view().kept_cache.policy == "off":
            return state.Plan(prompt.model, prompt.version, cached_pieces)
        context = self.context
        group = self.group(prompt)
        variant = context.names.variant(
            prompt.model, prompt.adapter, prompt.version
        )
        context.sharing.query(group, variant)
        now = context.clock()
        owned_group = group if context.sharing.holders(group).is_owner else b""
        keys = self.keys(prompt, missing)
        blocks_found = context.index.longest_prefix(keys, now, owned_group)
        salt = self.engine_salt(prompt)
        blocks = tuple(
            state.Planned(pieces.salted(digest, salt), block)
            for digest, block in zip(
                missing, self.readable(blocks_found), strict=False
            )
        )
        arrival_s = self.predict(blocks)
        return state.Plan(
            prompt.model, prompt.version, cached_pieces, blocks, arrival_s, now
        )

    def keys(
        self, prompt: state.Prompt, chain: typing.Sequence[bytes]
    ) -> typing.Iterator[bytes]:
        """Yield the keys of some pieces of a prompt."""
        return self.context.names.keys(
            prompt.organisation,
            prompt.model,
            prompt.adapter,
            prompt.version,
            chain,
        )

    def engine_salt(self, prompt: state.Prompt) -> str:
        """Return the salt under which an engine names a prompt's pieces."""
        return self.salt(prompt.organisation, prompt.adapter)

    def group(self, prompt: state.Prompt) -> bytes:
        """Return a prompt's group; without a session, its start's."""
        session = prompt.session or prompt.chain[0].hex()
        return self.context.names.group(prompt.organisation, session)

    def readable(
        self, blocks: typing.Iterable[state.Block]
    ) -> typing.Iterator[state.Block]:
        """Yield blocks up to the first whose store is away."""
        for block in blocks:
            if not self.context.stores.readable(block.store, block.boot_id):
                return
            yield block

    def predict(
        self, blocks: typing.Sequence[state.Planned]
    ) -> tuple[float, ...]:
        """Return the predicted seconds until each block is in.

        An engine fetches in order, so times over several links add up.
        """
        transfers: dict[str, LinkTransfer] = {}
        total_s = 0.0
        arrival_s = []
        for planned in blocks:
            block = planned.block
            transfer = transfers.get(block.store)
            if transfer is None:
                store = self.context.stores.get(block.store)
                if store is None:
                    break
                transfer = transfers[block.store] = LinkTransfer(
                    store.link.estimate()
                )
            total_s += transfer.add(block.size)
            arrival_s.append(total_s)
        return tuple(arrival_s)


@dataclasses.dataclass(slots=True)
class LinkTransfer:
    """What a plan moves over one link.

    Attributes
    ----------
    outlook
        What it must expect there.
    size
        Bytes so far.
    spent_s
        Seconds so far.
    """

    estimate: links.TransferEstimate
    size: int = 0
    elapsed_s: float = 0.0

    def add(self, size: int) -> float:
        """Add a block; return the seconds that it takes longer."""
        self.size += size
        arrival_s = self.estimate.duration_s(self.size)
        added_s = arrival_s - self.elapsed_s
        self.elapsed_s = arrival_s
        return added_s
