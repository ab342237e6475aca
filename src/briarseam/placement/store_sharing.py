"""Answers other instances' queries about the stores this one reads."""

from __future__ import annotations

import itertools
import typing

from briarseam.placement import store_index
from briarseam.placement import store_messages as messages

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.placement import kept as kept_module

# Longest wait for a change.  It bounds the time to detect a lost reader.
MAX_WAIT_S = 1.0
# Parts in one answer, some 60 bytes each: far below the largest frame.  The
# next query returns the remaining stores.
MAX_PARTS = 20_000


class StoreSharing:
    """Answers queries from the index of the stores; thread-safe.

    Parameters
    ----------
    index
        Index of all stores.
    reads
        Returns whether this instance reads a store directly.
    """

    def __init__(
        self,
        index: kept_module.KeptIndex,
        reads: typing.Callable[[str], bool],
    ) -> None:
        self.index = index
        self.reads = reads

    async def await_changes(self, query: messages.StoresAsked) -> None:
        """Wait until the answer to a query holds a change."""
        if self.reads_all(query):
            await self.index.changed.reached(
                lambda: self.is_behind(query.cursors),
                min(query.wait_s, MAX_WAIT_S),
            )

    def reads_all(self, query: messages.StoresAsked) -> bool:
        """Return whether this instance reads all queried stores."""
        return all(self.reads(address) for address, *_ in query.cursors)

    def answer(self, query: messages.StoresAsked) -> messages.StoresTold:
        """Answer a query with the current changes, without waiting."""
        if not self.reads_all(query):
            return messages.StoresTold(False, ())
        with self.index.lock:
            return messages.StoresTold(True, self.updates(query.cursors))

    def is_behind(
        self, cursors: collections.abc.Iterable[tuple[str, str, int]]
    ) -> bool:
        """Return whether there are changes; requires the index's lock."""
        for address, generation, sequence in cursors:
            index = self.index.stores.get(address)
            if index is None:
                continue
            if (index.generation, index.sequence) != (generation, sequence):
                return True
        return False

    def updates(
        self, cursors: collections.abc.Iterable[tuple[str, str, int]]
    ) -> tuple[messages.StoreUpdate, ...]:
        """Return the changes of stores; requires the index's lock."""
        updates: list[messages.StoreUpdate] = []
        parts = 0
        for address, generation, sequence in cursors:
            index = self.index.stores.get(address)
            if index is None or not index.generation:
                continue
            update = self.store_update(index, generation, sequence)
            parts += len(update.parts)
            if updates and parts > MAX_PARTS:
                break
            updates.append(update)
        return tuple(updates)

    def store_update(
        self, index: store_index.StoreIndex, generation: str, sequence: int
    ) -> messages.StoreUpdate:
        """Return the changes of one store, or its complete content."""
        behind = index.sequence - sequence
        complete = generation != index.generation or not 0 <= behind <= len(
            index.history
        )
        if complete:
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
        clock_ms = self.index.endpoint_clocks.shown_by(
            index.traits.address, self.index.clock()
        )
        return messages.StoreUpdate(
            address=index.traits.address,
            readable=index.readable,
            epoch=index.epoch,
            generation=index.generation,
            sequence=index.sequence,
            age_s=max(0.0, self.index.clock() - index.confirmed_s),
            whole=complete,
            parts=parts,
            born_ms=index.born_ms,
            clock_ms=clock_ms or store_index.UNKNOWN_CLOCK_MS,
        )
