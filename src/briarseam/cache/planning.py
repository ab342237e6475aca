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
        tools: exporting.Tools,
        view: typing.Callable[[], schema.View],
        salt: typing.Callable[[str, str], str],
    ) -> None:
        self.tools = tools
        self.view = view
        self.salt = salt

    def plan(self, prompt: state.Prompt, cached_pieces: int) -> state.Plan:
        """Return what can be imported after the cached pieces."""
        wanted = prompt.chain[cached_pieces:]
        if not wanted or self.view().kept_cache.policy == "off":
            return state.Plan(prompt.model, prompt.version, cached_pieces)
        tools = self.tools
        group = self.group(prompt)
        variant = tools.names.variant(
            prompt.model, prompt.adapter, prompt.version
        )
        tools.sharing.ask(group, variant)
        now = tools.clock()
        own = group if tools.sharing.holders(group).mine else b""
        keys = self.keys(prompt, wanted)
        found = tools.index.prefix(keys, now, own)
        salt = self.engine_salt(prompt)
        blocks = tuple(
            state.Planned(pieces.salted(digest, salt), block)
            for digest, block in zip(
                wanted, self.readable(found), strict=False
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
        return self.tools.names.keys(
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
        return self.tools.names.group(prompt.organisation, session)

    def readable(
        self, blocks: typing.Iterable[state.Block]
    ) -> typing.Iterator[state.Block]:
        """Yield blocks up to the first whose store is away."""
        for block in blocks:
            if not self.tools.stores.readable(block.store, block.boot_id):
                return
            yield block

    def predict(
        self, blocks: typing.Sequence[state.Planned]
    ) -> tuple[float, ...]:
        """Return the predicted seconds until each block is in.

        An engine fetches in order, so times over several links add up.
        """
        lanes: dict[str, Lane] = {}
        total_s = 0.0
        arrival_s = []
        for planned in blocks:
            block = planned.block
            lane = lanes.get(block.store)
            if lane is None:
                store = self.tools.stores.get(block.store)
                if store is None:
                    break
                lane = lanes[block.store] = Lane(store.link.outlook())
            total_s += lane.add(block.size)
            arrival_s.append(total_s)
        return tuple(arrival_s)


@dataclasses.dataclass(slots=True)
class Lane:
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

    outlook: links.Outlook
    size: int = 0
    spent_s: float = 0.0

    def add(self, size: int) -> float:
        """Add a block; return the seconds that it takes longer."""
        self.size += size
        arrival_s = self.outlook.after_s(self.size)
        longer_s = arrival_s - self.spent_s
        self.spent_s = arrival_s
        return longer_s
