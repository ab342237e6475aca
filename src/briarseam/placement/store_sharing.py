"""Answering other instances about the stores that this one reads."""

from __future__ import annotations

import itertools
import typing

from briarseam.placement import store_messages as messages

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.placement import kept as kept_module
    from briarseam.placement import store_index

# Longest wait for a change, in seconds; a reader that is gone without a word
# shows at its end.
MAX_WAIT_S = 1.0
# Parts of whole contents in one answer, some 60 bytes each: far below the
# largest frame.  What is left out is asked for next.
MAX_PARTS = 20_000


class StoreSharing:
    """Answers from the index of the stores; thread-safe.

    Parameters
    ----------
    index
        What is known of all stores.
    reads
        Tells whether this instance reads a store itself.
    """

    def __init__(
        self,
        index: kept_module.KeptIndex,
        reads: typing.Callable[[str], bool],
    ) -> None:
        self.index = index
        self.reads = reads

    async def await_changes(self, asked: messages.StoresAsked) -> None:
        """Wait until there is a change to answer with."""
        if self.reads_all(asked):
            await self.index.changed.reached(
                lambda: self.is_behind(asked.cursors),
                min(asked.wait_s, MAX_WAIT_S),
            )

    def reads_all(self, asked: messages.StoresAsked) -> bool:
        """Tell whether this instance reads all stores that are meant."""
        return all(self.reads(address) for address, *_ in asked.cursors)

    def answer(self, asked: messages.StoresAsked) -> messages.StoresTold:
        """Answer with the changes that there are, at once."""
        if not self.reads_all(asked):
            return messages.StoresTold(False, ())
        with self.index.lock:
            return messages.StoresTold(True, self.told(asked.cursors))

    def is_behind(
        self, cursors: collections.abc.Iterable[tuple[str, str, int]]
    ) -> bool:
        """Tell whether anything is new; call it under the index's lock."""
        for address, generation, sequence in cursors:
            index = self.index.stores.get(address)
            if index is None:
                continue
            if (index.generation, index.sequence) != (generation, sequence):
                return True
        return False

    def told(
        self, cursors: collections.abc.Iterable[tuple[str, str, int]]
    ) -> tuple[messages.StoreUpdate, ...]:
        """Return what is new; call it under the index's lock."""
        found: list[messages.StoreUpdate] = []
        parts = 0
        for address, generation, sequence in cursors:
            index = self.index.stores.get(address)
            if index is None or not index.generation:
                continue
            told = self.store_told(index, generation, sequence)
            parts += len(told.parts)
            if found and parts > MAX_PARTS:
                break
            found.append(told)
        return tuple(found)

    def store_told(
        self, index: store_index.StoreIndex, generation: str, sequence: int
    ) -> messages.StoreUpdate:
        """Return what is new of one store."""
        behind = index.sequence - sequence
        whole = generation != index.generation or not 0 <= behind <= len(
            index.history
        )
        if whole:
            parts = tuple(
                (salt, part, tokens)
                for (salt, part), tokens in index.held.items()
            )
        else:
            first = len(index.history) - behind
            newest = itertools.islice(index.history, first, None)
            parts = tuple(
                (event.salt, event.part, event.tokens) for event in newest
            )
        return messages.StoreUpdate(
            address=index.traits.address,
            readable=index.readable,
            epoch=index.epoch,
            generation=index.generation,
            sequence=index.sequence,
            age_s=max(0.0, self.index.clock() - index.confirmed_s),
            whole=whole,
            parts=parts,
            born_ms=index.born_ms,
        )
