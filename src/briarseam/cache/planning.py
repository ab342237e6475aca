"""Plans: which blocks a prompt can import, and how long that takes."""

from __future__ import annotations

import dataclasses
import typing

from briarseam.cache import exporting
from briarseam.cache import links
from briarseam.cache import pieces
from briarseam.cache import state
from briarseam.configuration import schema


class Planner:
    """Creates plans from the index and the state of the links.

    Parameters
    ----------
    context
        Objects shared by the parts of the kept cache.
    view
        Returns the current configuration.
    salt
        Returns the salt of the prefixes of an organisation and an adapter
        in engines.
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
        """Yield the keys of pieces of a prompt."""
        return self.context.names.keys(
            prompt.organisation,
            prompt.model,
            prompt.adapter,
            prompt.version,
            chain,
        )

    def engine_salt(self, prompt: state.Prompt) -> str:
        """Return the salt of a prompt's prefixes in engines."""
        return self.salt(prompt.organisation, prompt.adapter)

    def group(self, prompt: state.Prompt) -> bytes:
        """Return a prompt's group; without a session, by its first piece."""
        session = prompt.session or prompt.chain[0].hex()
        return self.context.names.group(prompt.organisation, session)

    def readable(
        self, blocks: typing.Iterable[state.Block]
    ) -> typing.Iterator[state.Block]:
        """Yield blocks up to the first whose store can't be read."""
        for block in blocks:
            if not self.context.stores.readable(block.store, block.boot_id):
                return
            yield block

    def predict(
        self, blocks: typing.Sequence[state.Planned]
    ) -> tuple[float, ...]:
        """Return the predicted seconds until each block is imported.

        An engine fetches blocks in order, so the times on several links
        add up.
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
    """The part of a plan that is transferred over one link.

    Attributes
    ----------
    estimate
        Expected start and rate on the link.
    size
        Bytes so far.
    elapsed_s
        Seconds so far.
    """

    estimate: links.TransferEstimate
    size: int = 0
    elapsed_s: float = 0.0

    def add(self, size: int) -> float:
        """Add a block; return the additional seconds."""
        self.size += size
        arrival_s = self.estimate.duration_s(self.size)
        added_s = arrival_s - self.elapsed_s
        self.elapsed_s = arrival_s
        return added_s
